package org.verbenagauge.entry.jobs.owner

import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.jobs.engine.JobEngine
import org.verbenagauge.entry.jobs.ports.RowBatch
import org.verbenagauge.entry.jobs.ports.RowStore
import org.verbenagauge.entry.jobs.ports.StoredRow
import org.verbenagauge.entry.jobs.records.JobRecord
import org.verbenagauge.entry.jobs.records.RecordCodec
import org.verbenagauge.entry.logging.EventLog

/** Feeds accepted jobs and cancellations from the store to the engine. */
internal class WorkFollower(
    store: RowStore,
    private val engine: JobEngine,
    private val clock: Clock,
    private val readVersion: Long,
    log: EventLog,
    private val onRefusal: (jobId: String, version: Long) -> Unit = { _, _ -> },
    private val onUnusedCancellation: (jobId: String, version: Long) -> Unit = { _, _ -> },
    private val onChange: () -> Unit,
) {
    private val follower = TableFollower(store, StoredTables.work, FEED_WAIT_MILLIS, pauseMillis = 0, log)

    private var callSentAtMillis = clock.monotonicMillis()

    // The stored state was read after the epoch began, so it holds everything stored before.
    private var appliedAsOfMillis = engine.state.startedAtMillis

    /** Runs until cancelled. */
    suspend fun run() {
        follower.run(
            onAll = ::applyRows,
            onChanges = ::applyRows,
            onContact = ::recordContact,
            readVersion = readVersion,
        )
    }

    // Called before the rows of an answer are applied; those of the previous answer are applied by then. An answer
    // contains everything stored before its call was sent, and the call was sent after the previous one had ended.
    private fun recordContact(isAnswered: Boolean) {
        engine.markJobsRead(appliedAsOfMillis)
        val now = clock.monotonicMillis()
        if (isAnswered) {
            appliedAsOfMillis = callSentAtMillis
            engine.state.jobsHeardAtMillis = now
        }
        callSentAtMillis = now
    }

    private fun applyRows(batch: RowBatch) {
        val now = clock.monotonicMillis()
        batch.rows.forEach { applyRows(it, now) }
        onChange()
    }

    private fun applyRows(
        row: StoredRow,
        now: Long,
    ) {
        val value = row.value ?: return
        val cancelled = StoredTables.cancelledId(row.key)
        if (cancelled != null) {
            if (!engine.cancel(cancelled, now)) onUnusedCancellation(cancelled, row.version)
            return
        }
        if (StoredTables.isEndedTombstone(value)) return
        val jobId = StoredTables.jobIdOf(row.key) ?: return
        val record = RecordCodec.decode(JobRecord.serializer(), value)
        if (record == null) {
            if (StoredTables.isBar(value)) onRefusal(jobId, row.version)
            return
        }
        engine.accept(jobId, record, now)
    }

    private companion object {
        // Short enough to detect a silent connection before callers notice.
        const val FEED_WAIT_MILLIS = 1_000L
    }
}
