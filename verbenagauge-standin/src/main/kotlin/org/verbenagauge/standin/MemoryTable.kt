package org.verbenagauge.standin

import org.verbenagauge.entry.state.store.Row
import org.verbenagauge.entry.state.store.RowWrite
import org.verbenagauge.entry.state.store.Transaction
import org.verbenagauge.entry.state.store.WriteOutcome
import java.util.TreeMap

/** Rows of the table service in memory; every transaction is atomic. */
public class MemoryTable {
    private val rows = TreeMap<String, Row>()

    /** Reads the rows of [keys]. */
    @Synchronized
    public fun read(keys: List<String>): List<Row> = keys.map { rows[it] ?: Row(it, "", 0) }

    /** Reads up to [limit] rows with [prefix] after [afterKey]. */
    @Synchronized
    public fun scan(
        prefix: String,
        afterKey: String,
        limit: Int,
    ): List<Row> =
        rows
            .tailMap(maxOf(prefix, afterKey), true)
            .values
            .asSequence()
            .filter { it.key > afterKey }
            .takeWhile { it.key.startsWith(prefix) }
            .take(limit)
            .toList()

    /** Applies [transaction] when all its conditions hold. */
    @Synchronized
    public fun transact(transaction: Transaction): WriteOutcome {
        val current = read(transaction.conditions.map { it.key })
        val holds =
            transaction.conditions.zip(current).all { (condition, row) ->
                condition.expectedVersion ==
                    row.version
            }
        if (!holds) return WriteOutcome.Conflict(current)
        transaction.writes.forEach { write(it) }
        return WriteOutcome.Applied
    }

    private fun write(write: RowWrite) {
        val value = write.value
        if (value == null) {
            rows.remove(write.key)
        } else {
            rows[write.key] = Row(write.key, value, (rows[write.key]?.version ?: 0) + 1)
        }
    }
}
