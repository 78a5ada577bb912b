package org.verbenagauge.entry.jobs.owner

import kotlinx.coroutines.delay
import org.verbenagauge.entry.jobs.ports.ReadResult
import org.verbenagauge.entry.jobs.ports.RowBatch
import org.verbenagauge.entry.jobs.ports.RowStore

/**
 * Follows one table: reads it whole, then its changes; reads it whole again when the history is gone or the feed failed
 * for a while.
 */
internal class TableFollower(
    private val store: RowStore,
    private val table: String,
    private val waitMillis: Long,
    private val pauseMillis: Long,
) {
    /** Runs until cancelled; [onContact] is told after each call whether the store answered. */
    suspend fun run(
        onAll: (RowBatch) -> Unit,
        onChanges: (RowBatch) -> Unit,
        onContact: (Boolean) -> Unit = {},
    ) {
        while (true) {
            when (val all = store.readAll(table)) {
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
        val feed = store.feed(table)
        var version = since
        try {
            while (true) {
                when (val read = feed.changesAfter(version, waitMillis)) {
                    is ReadResult.Read -> {
                        onContact(true)
                        if (read.value.rows.isNotEmpty()) onChanges(read.value)
                        version = maxOf(version, read.value.version)
                        delay(pauseMillis)
                    }

                    is ReadResult.Failed -> {
                        onContact(false)
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
    }
}
