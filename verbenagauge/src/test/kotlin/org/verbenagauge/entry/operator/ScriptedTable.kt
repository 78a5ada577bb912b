package org.verbenagauge.entry.operator

import org.verbenagauge.entry.state.store.ReadOutcome
import org.verbenagauge.entry.state.store.Row
import org.verbenagauge.entry.state.store.RowWrite
import org.verbenagauge.entry.state.store.TableService
import org.verbenagauge.entry.state.store.Transaction
import org.verbenagauge.entry.state.store.WriteOutcome
import java.util.TreeMap

/** What happens to one transaction of a [ScriptedTable]. */
internal enum class TransactFault {
    NONE,
    UNAVAILABLE,
    LOST_BEFORE_EFFECT,
    LOST_AFTER_EFFECT,
}

/** Table service in memory that can lose answers and let others go first. */
internal class ScriptedTable : TableService {
    val rows = TreeMap<String, Row>()
    var nextFault: () -> TransactFault = { TransactFault.NONE }
    var beforeTransact: suspend () -> Unit = {}

    override suspend fun read(keys: List<String>) = ReadOutcome.Found(keys.map { rows[it] ?: Row(it, "", 0) })

    override suspend fun scan(
        prefix: String,
        afterKey: String,
        limit: Int,
    ) = ReadOutcome.Found(
        rows.values
            .filter { it.key.startsWith(prefix) && it.key > afterKey }
            .take(limit),
    )

    override suspend fun transact(transaction: Transaction): WriteOutcome {
        beforeTransact()
        return when (nextFault()) {
            TransactFault.NONE -> apply(transaction)
            TransactFault.UNAVAILABLE -> WriteOutcome.Unavailable("scripted")
            TransactFault.LOST_BEFORE_EFFECT -> WriteOutcome.Unknown("scripted")
            TransactFault.LOST_AFTER_EFFECT -> apply(transaction).let { WriteOutcome.Unknown("scripted") }
        }
    }

    private fun apply(transaction: Transaction): WriteOutcome {
        val current = transaction.conditions.map { rows[it.key] ?: Row(it.key, "", 0) }
        val holds =
            transaction.conditions.zip(current).all { (condition, row) ->
                condition.expectedVersion ==
                    row.version
            }
        if (!holds) return WriteOutcome.Conflict(current)
        transaction.writes.forEach(::write)
        return WriteOutcome.Applied
    }

    private fun write(write: RowWrite) {
        val value = write.value
        val version = rows[write.key]?.version ?: 0
        if (value == null) rows.remove(write.key) else rows[write.key] = Row(write.key, value, version + 1)
    }
}
