package org.verbenagauge.entry.jobs.owner

import kotlinx.coroutines.delay
import org.verbenagauge.entry.jobs.ports.ReadResult
import org.verbenagauge.entry.jobs.ports.RowBatch
import org.verbenagauge.entry.jobs.ports.RowPlace
import org.verbenagauge.entry.jobs.ports.RowStore

/**
 * Follows partitions of one table: reads them in full, then reads their changes. Reads them in full again when the
 * change history is gone or the feed has failed several times in a row.
 */
internal class TableFollower(
    private val store: RowStore,
    private val places: List<RowPlace>,
    private val waitMillis: Long,
    private val pauseMillis: Long,
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
                    onAll(all.value)
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
                        if (read.value.rows.isNotEmpty()) onChanges(read.value)
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

    private companion object {
        const val RETRY_MILLIS = 150L
        const val MAX_FAILURES = 3
    }
}
