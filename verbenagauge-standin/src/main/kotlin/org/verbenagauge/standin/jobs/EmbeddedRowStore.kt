package org.verbenagauge.standin.jobs

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import org.verbenagauge.entry.jobs.ports.ReadResult
import org.verbenagauge.entry.jobs.ports.RowBatch
import org.verbenagauge.entry.jobs.ports.RowChange
import org.verbenagauge.entry.jobs.ports.RowExpectation
import org.verbenagauge.entry.jobs.ports.RowFeed
import org.verbenagauge.entry.jobs.ports.RowPlace
import org.verbenagauge.entry.jobs.ports.RowStore
import org.verbenagauge.entry.jobs.ports.StoredRow
import org.verbenagauge.entry.jobs.ports.TransactionOutcome

/** Store of one process, for demos and tests: always there, and gone with the process. */
public class EmbeddedRowStore : RowStore {
    private val rows = LinkedHashMap<Pair<RowPlace, String>, StoredRow>()
    private val history = ArrayDeque<StoredRow>()
    private val version = MutableStateFlow(0L)
    private var oldestVersion = 0L

    @Synchronized
    private fun apply(
        expectations: List<RowExpectation>,
        changes: List<RowChange>,
    ): TransactionOutcome {
        val isMet = expectations.all { (rows[it.place to it.key]?.version ?: 0) == it.version }
        if (!isMet) return TransactionOutcome.Conflict(expectations.mapNotNull { rows[it.place to it.key] })
        val next = version.value + 1
        changes.forEach { change ->
            val row = StoredRow(change.place.table, change.key, change.value, next)
            val place = change.place to change.key
            if (change.value == null) rows.remove(place) else rows[place] = row
            history += row
        }
        while (history.size > MOST_HISTORY) oldestVersion = history.removeFirst().version
        version.value = next
        return TransactionOutcome.Applied(next)
    }

    override suspend fun transact(
        expectations: List<RowExpectation>,
        changes: List<RowChange>,
        timeoutMillis: Long,
    ): TransactionOutcome = apply(expectations, changes)

    @Synchronized
    private fun row(
        place: RowPlace,
        key: String,
    ): StoredRow? = rows[place to key]

    override suspend fun read(
        place: RowPlace,
        key: String,
        timeoutMillis: Long,
    ): ReadResult<StoredRow?> = ReadResult.Read(row(place, key))

    @Synchronized
    private fun rowsAt(places: List<RowPlace>) =
        RowBatch(rows.filterKeys { it.first in places }.values.toList(), version.value)

    override suspend fun readAll(places: List<RowPlace>): ReadResult<RowBatch> = ReadResult.Read(rowsAt(places))

    override fun feed(table: String): RowFeed = EmbeddedFeed(table)

    @Synchronized
    private fun since(
        table: String,
        sinceVersion: Long,
    ): ReadResult<RowBatch> {
        if (sinceVersion < oldestVersion) return ReadResult.HistoryGone
        val changes = history.filter { it.version > sinceVersion && it.table == table }
        return ReadResult.Read(RowBatch(changes, version.value))
    }

    private inner class EmbeddedFeed(
        private val table: String,
    ) : RowFeed {
        override suspend fun changesAfter(
            version: Long,
            waitMillis: Long,
        ): ReadResult<RowBatch> {
            withTimeoutOrNull(waitMillis) { this@EmbeddedRowStore.version.first { it > version } }
            return since(table, version)
        }

        override fun close() = Unit
    }

    private companion object {
        // Far more than feeds of one process are ever behind.
        const val MOST_HISTORY = 20_000
    }
}
