package org.verbenagauge.entry.jobs.owner

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.delay
import org.verbenagauge.entry.jobs.ports.ReadResult
import org.verbenagauge.entry.jobs.ports.RowBatch
import org.verbenagauge.entry.jobs.ports.RowPlace
import org.verbenagauge.entry.jobs.ports.RowStore
import org.verbenagauge.entry.jobs.ports.StoredRow
import org.verbenagauge.entry.logging.Event
import org.verbenagauge.entry.logging.EventLog

/**
 * Follows partitions of one table: reads them in full, then reads their changes. Reads them in full again when the
 * change history is gone or the feed has failed several times in a row. A row that cannot be applied is logged and left
 * out, so that it holds up neither the other rows nor later changes.
 */
internal class TableFollower(
    private val store: RowStore,
    private val places: List<RowPlace>,
    private val waitMillis: Long,
    private val pauseMillis: Long,
    private val log: EventLog,
) {
    /**
     * Runs until cancelled; reports after each call to [onContact] whether the store answered. Starts with the
     * changes after [readVersion] when the rows up to that version are known.
     */
    suspend fun run(
        onAll: (RowBatch) -> Unit,
        onChanges: (RowBatch) -> Unit,
        onContact: (Boolean) -> Unit = {},
        readVersion: Long? = null,
    ) {
        // Rows that were read before need not be read again.
        if (readVersion != null) follow(readVersion, onChanges, onContact)
        while (true) {
            when (val all = store.readAll(places)) {
                is ReadResult.Read -> {
                    onContact(true)
                    applyAll(all.value, onAll, onChanges)
                    follow(all.value.version, onChanges, onContact)
                }

                else -> {
                    onContact(false)
                    delay(RETRY_MILLIS)
                }
            }
        }
    }

    private suspend fun follow(
        since: Long,
        onChanges: (RowBatch) -> Unit,
        onContact: (Boolean) -> Unit,
    ) {
        val feed = store.feed(places.first().table)
        var version = since
        var failures = 0
        try {
            while (true) {
                when (val read = feed.changesAfter(version, waitMillis)) {
                    is ReadResult.Read -> {
                        onContact(true)
                        failures = 0
                        if (read.value.rows.isNotEmpty()) applyChanges(read.value, onChanges)
                        version = maxOf(version, read.value.version)
                        delay(pauseMillis)
                    }

                    is ReadResult.Failed -> {
                        onContact(false)
                        // The accumulated changes may be too many to arrive in time; the current rows are fewer.
                        if (++failures >= MAX_FAILURES) return
                        delay(RETRY_MILLIS)
                    }

                    is ReadResult.HistoryGone -> return
                }
            }
        } finally {
            feed.close()
        }
    }

    // A second failure is not due to any row and is passed on.
    private fun applyAll(
        batch: RowBatch,
        onAll: (RowBatch) -> Unit,
        onChanges: (RowBatch) -> Unit,
    ) {
        val failure = failureOf { onAll(batch) } ?: return
        onAll(RowBatch(applicableRows(batch, failure, onChanges), batch.version))
    }

    private fun applyChanges(
        batch: RowBatch,
        onChanges: (RowBatch) -> Unit,
    ) {
        val failure = failureOf { onChanges(batch) } ?: return
        applicableRows(batch, failure, onChanges)
    }

    // Applies the rows one by one and returns those that can be applied. Rows may be applied several times, as after a
    // gap in the feed. What failed at first may have taken effect and pass now, so [failure] is logged in any case.
    private fun applicableRows(
        batch: RowBatch,
        failure: Exception,
        onChanges: (RowBatch) -> Unit,
    ): List<StoredRow> {
        val rows = batch.rows.filter { row -> isApplied(row, batch.version, onChanges) }
        if (rows.size < batch.rows.size) return rows
        val keys = batch.rows.take(MAX_KEYS_LOGGED).joinToString { it.key }
        log.write(Event.DOCUMENT_UNREADABLE, places.first().table, "one of ${rows.size} rows ($keys): $failure")
        return rows
    }

    private fun isApplied(
        row: StoredRow,
        version: Long,
        onChanges: (RowBatch) -> Unit,
    ): Boolean {
        val failure = failureOf { onChanges(RowBatch(listOf(row), version)) } ?: return true
        log.write(Event.DOCUMENT_UNREADABLE, row.key, "${row.table}, version ${row.version}: $failure")
        return false
    }

    @Suppress("TooGenericExceptionCaught")
    private inline fun failureOf(apply: () -> Unit): Exception? =
        try {
            apply()
            null
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            e
        }

    private companion object {
        const val RETRY_MILLIS = 150L
        const val MAX_FAILURES = 3
        const val MAX_KEYS_LOGGED = 5
    }
}
