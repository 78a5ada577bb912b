package org.verbenagauge.entry.jobs.owner

import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.jobs.engine.JobEngine
import org.verbenagauge.entry.jobs.ports.RowBatch
import org.verbenagauge.entry.jobs.ports.RowStore
import org.verbenagauge.entry.jobs.ports.StoredRow
import org.verbenagauge.entry.jobs.records.JobRecord
import org.verbenagauge.entry.jobs.records.RecordCodec

/** Brings accepted jobs and cancellations to the engine. */
internal class WorkFollower(
    store: RowStore,
    private val engine: JobEngine,
    private val clock: Clock,
    private val readVersion: Long,
    private val onBarred: (jobId: String, version: Long) -> Unit = { _, _ -> },
    private val onChange: () -> Unit,
) {
    private val follower = TableFollower(store, StoredTables.work, FEED_WAIT_MILLIS, pauseMillis = 0)

    private var callSinceMillis = clock.monotonicMillis()

    // What is inherited was read some time after the epoch began.
    private var takenAsOfMillis = engine.state.startedAtMillis

    /** Runs until cancelled. */
    suspend fun run() {
        follower.run(onAll = ::take, onChanges = ::take, onContact = ::contact, readVersion = readVersion)
    }

    // Told before the rows of an answer are: those of the answer before are taken in. An answer holds all that was
    // stored before its call, which was sent after the call before had ended.
    private fun contact(isAnswered: Boolean) {
        engine.markJobsRead(takenAsOfMillis)
        if (isAnswered) takenAsOfMillis = callSinceMillis
        callSinceMillis = clock.monotonicMillis()
    }

    private fun take(batch: RowBatch) {
        val now = clock.monotonicMillis()
        batch.rows.forEach { take(it, now) }
        onChange()
    }

    private fun take(
        row: StoredRow,
        now: Long,
    ) {
        val value = row.value ?: return
        val cancelled = StoredTables.cancelledOf(row.key)
        if (cancelled != null) {
            engine.cancel(cancelled, now)
            return
        }
        if (StoredTables.isEndedMark(value)) return
        val jobId = StoredTables.jobOf(row.key) ?: return
        val record = RecordCodec.decode(JobRecord.serializer(), value)
        if (record == null) {
            if (StoredTables.isBar(value)) onBarred(jobId, row.version)
            return
        }
        engine.accept(jobId, record, now)
    }

    private companion object {
        // Short enough to find a connection that went silent before callers notice.
        const val FEED_WAIT_MILLIS = 1_000L
    }
}
