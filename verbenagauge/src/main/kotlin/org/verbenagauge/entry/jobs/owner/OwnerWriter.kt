package org.verbenagauge.entry.jobs.owner

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.jobs.engine.JobChange
import org.verbenagauge.entry.jobs.engine.JobEngine
import org.verbenagauge.entry.jobs.engine.RosterChange
import org.verbenagauge.entry.jobs.model.JobState
import org.verbenagauge.entry.jobs.ports.RowChange
import org.verbenagauge.entry.jobs.records.OwnerFigures
import org.verbenagauge.entry.jobs.records.ProgressRecord
import org.verbenagauge.entry.jobs.records.RecordCodec
import org.verbenagauge.entry.jobs.records.RosterRecord
import org.verbenagauge.entry.jobs.records.StateRecord

/** Stores the engine's decisions in batches and renews the owner's lease with each write. */
internal class OwnerWriter(
    private val lease: OwnerLease,
    private val engine: JobEngine,
    private val clock: Clock,
    private val settings: OwnerSettings,
    private val cleaner: EndedJobCleaner,
) {
    private val signal = Channel<Unit>(Channel.CONFLATED)
    private val writtenStateNames = HashMap<String, String>()
    private var flushed = CompletableDeferred<Unit>()

    // Jobs whose progress the store rejects; their state is still stored, since callers query it.
    private val unstorableProgress = HashSet<String>()

    private val suspension = SuspensionDetector(clock)
    private var leaseInvalidatedAtMillis = Long.MIN_VALUE

    /**
     * Whether the owner may send orders now: its lease cannot have passed to another entry. Checked right before each
     * order is sent, since the process may have been paused after the decision.
     */
    fun isLeaseValid(): Boolean {
        if (suspension.hasBeenSuspended()) invalidateLease()
        return lease.confirmedSentAtMillis > leaseInvalidatedAtMillis &&
            clock.monotonicMillis() - lease.confirmedSentAtMillis < settings.leaseMillis
    }

    // The monotonic clock may have missed time: the lease is valid again only after the next stored write.
    private fun invalidateLease() {
        leaseInvalidatedAtMillis = clock.monotonicMillis()
        wake()
    }

    /** Signals that there may be changes to store. */
    fun wake() {
        signal.trySend(Unit)
    }

    /** Waits until the ends known now are stored, for at most [timeoutMillis]. */
    suspend fun awaitFlush(timeoutMillis: Long) {
        val next = flushed
        withTimeoutOrNull(timeoutMillis) { next.await() }
    }

    /** Writes until ownership is lost; passes the written job states to [onStored] after each stored write. */
    suspend fun run(onStored: (Map<String, JobState>) -> Unit): ChainOutcome.Lost {
        while (true) {
            if (!engine.hasChanges) withTimeoutOrNull(settings.renewIntervalMillis) { signal.receive() }
            val sinceMillis = clock.monotonicMillis() - lease.confirmedSentAtMillis
            if (!engine.hasChanges && sinceMillis < settings.renewIntervalMillis && isLeaseValid()) continue
            val lost = writeOnce(onStored)
            if (lost != null) return lost
            delay(settings.minWriteIntervalMillis)
        }
    }

    private suspend fun writeOnce(onStored: (Map<String, JobState>) -> Unit): ChainOutcome.Lost? {
        val roster = engine.state.roster.takeChanges(MAX_WORKERS)
        val changes = engine.state.takeChanges(if (roster.isEmpty()) MAX_JOBS else MAX_JOBS_WITH_WORKERS)
        val marks = if (engine.state.hasChanges) emptyList() else engine.acknowledgeableEnds()
        val waiters = flushed
        if (marks.isNotEmpty()) flushed = CompletableDeferred()
        val expired = cleaner.takeExpiredStateKeys(MAX_EXPIRED_STATES).map { RowChange(StoredTables.states, it, null) }
        val isRosterComplete = engine.isRosterComplete(clock.monotonicMillis())
        val parts = roster.map(::rosterPart) + changes.map(::jobPart) + WritePart(expired)
        val lost = write(parts, ownerFigures(), isRosterComplete)
        if (lost != null) return lost
        // Includes ends whose progress the store rejects: workers could not discard any later end otherwise.
        engine.markEndsStored(marks)
        changes.filter { it.state.isFinal }.forEach { cleaner.recordEnd(it.jobId, clock.wallMillis()) }
        if (marks.isNotEmpty()) waiters.complete(Unit)
        onStored(changes.associate { it.jobId to it.state })
        return null
    }

    // Bisects a rejected write, so that one row that the store never accepts does not keep the others from being stored.
    private suspend fun write(
        parts: List<WritePart>,
        figures: OwnerFigures,
        isRosterComplete: Boolean,
    ): ChainOutcome.Lost? {
        lease.begin(parts.flatMap { it.rows }, figures, isRosterComplete)
        when (val outcome = lease.settle()) {
            is ChainOutcome.Lost -> return outcome
            is ChainOutcome.Stored -> parts.forEach { it.onStored() }
            is ChainOutcome.Rejected -> {
                parts.singleOrNull()?.let { it.onRejected() }
                if (parts.size < 2) return null
                val (first, second) = parts.chunked((parts.size + 1) / 2)
                // The row of the owner was accepted with its last figures.
                val known = OwnerFigures(lease.record.pendingByQueue)
                return write(first, known, isRosterComplete) ?: write(second, known, isRosterComplete)
            }
        }
        return null
    }

    private fun ownerFigures(): OwnerFigures {
        val now = clock.monotonicMillis()
        return fittingFigures(engine.pendingByQueue(), engine.state.pressure.read(now))
            .copy(pendingAgeMillis = now - engine.state.jobsHeardAtMillis)
    }

    private fun rosterPart(change: RosterChange): WritePart {
        val bytes = change.record?.let { RecordCodec.encode(RosterRecord.serializer(), it) }
        val row = RowChange(StoredTables.roster, change.workerId, bytes)
        return WritePart(listOf(row), onStored = { engine.state.roster.confirmStored(listOf(change)) })
    }

    private fun jobPart(change: JobChange): WritePart =
        WritePart(jobRows(change), onRejected = { writeWithoutProgress(change.jobId) })

    private fun writeWithoutProgress(jobId: String) {
        if (!unstorableProgress.add(jobId)) return
        writtenStateNames -= jobId
        engine.state.jobs[jobId]?.let(engine.state::markChanged)
    }

    private fun jobRows(change: JobChange): List<RowChange> {
        val rows = ArrayList<RowChange>()
        val progress = change.progress
        if (progress == null) {
            unstorableProgress -= change.jobId
            rows += RowChange(StoredTables.progress, change.jobId, null)
        } else if (change.jobId !in unstorableProgress) {
            val bytes = RecordCodec.encode(ProgressRecord.serializer(), progress)
            rows += RowChange(StoredTables.progress, change.jobId, bytes)
        }
        if (writtenStateNames[change.jobId] != change.state.name) {
            writtenStateNames[change.jobId] = change.state.name
            val record = StateRecord(change.queueName, change.state, clock.wallMillis())
            val bytes = RecordCodec.encode(StateRecord.serializer(), record)
            rows += RowChange(StoredTables.states, StoredTables.stateKey(change.jobId), bytes)
        }
        if (progress == null) writtenStateNames.remove(change.jobId)
        return rows
    }

    /**
     * Rows that are stored together or not at all.
     *
     * @property onStored called when the rows are stored.
     * @property onRejected called when the store never accepts them.
     */
    private class WritePart(
        val rows: List<RowChange>,
        val onStored: () -> Unit = {},
        val onRejected: () -> Unit = {},
    )

    private companion object {
        // Two rows per job, the expired state rows and the owner's row stay below the limit of 100 entries per
        // transaction.
        const val MAX_JOBS = 40
        const val MAX_WORKERS = 40
        const val MAX_JOBS_WITH_WORKERS = 20
        const val MAX_EXPIRED_STATES = 15
    }
}
