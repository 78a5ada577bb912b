package org.verbenagauge.fake

import org.verbenagauge.entry.state.store.Row
import org.verbenagauge.entry.state.store.Transaction
import org.verbenagauge.entry.state.store.WriteOutcome
import java.util.TreeMap

/** Rows of a table service with the states before the last writes, for stale reads. */
class FakeRows {
    private var rows = TreeMap<String, Row>()
    private val earlier = ArrayDeque<TreeMap<String, Row>>()

    /** Returns the rows of [keys] as they were [writesAgo] transactions ago. */
    fun read(
        keys: List<String>,
        writesAgo: Int = 0,
    ): List<Row> = keys.map { at(writesAgo)[it] ?: Row(it, "", 0) }

    /** Returns up to [limit] rows with [prefix] after [afterKey] as they were [writesAgo] transactions ago. */
    fun scan(
        prefix: String,
        afterKey: String,
        limit: Int,
        writesAgo: Int = 0,
    ): List<Row> =
        at(writesAgo)
            .tailMap(afterKey, false)
            .values
            .filter { it.key.startsWith(prefix) }
            .take(limit)

    /** Applies [transaction] when all its conditions hold. */
    fun transact(transaction: Transaction): WriteOutcome {
        val current = read(transaction.conditions.map { it.key })
        val holds =
            transaction.conditions.zip(current).all { (condition, row) ->
                condition.expectedVersion ==
                    row.version
            }
        if (!holds) return WriteOutcome.Conflict(current)
        if (transaction.writes.isEmpty()) return WriteOutcome.Applied
        earlier.addFirst(TreeMap(rows))
        if (earlier.size > MAX_EARLIER) earlier.removeLast()
        transaction.writes.forEach { write ->
            val value = write.value
            if (value ==
                null
            ) {
                rows.remove(write.key)
            } else {
                rows[write.key] = Row(write.key, value, versionOf(write.key) + 1)
            }
        }
        return WriteOutcome.Applied
    }

    private fun versionOf(key: String): Long = rows[key]?.version ?: 0

    private fun at(writesAgo: Int): TreeMap<String, Row> =
        if (writesAgo ==
            0
        ) {
            rows
        } else {
            earlier.getOrNull(writesAgo - 1) ?: rows
        }

    private companion object {
        const val MAX_EARLIER = 16
    }
}
