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
import org.verbenagauge.entry.jobs.records.RecordCodec
import org.verbenagauge.entry.jobs.records.RosterRecord
import org.verbenagauge.entry.jobs.records.StateRecord

/** Returns the change of the stored row that [change] stands for. */
internal fun rosterRow(change: RosterChange): RowChange {
    val bytes = change.record?.let { RecordCodec.encode(RosterRecord.serializer(), it) }
    return RowChange(StoredTables.roster, change.workerId, bytes)
}

/** Stores the engine's decisions in batches and renews the owner's lease with each write. */
internal class OwnerWriter(
    private val lease: OwnerLease,
    private val engine: JobEngine,
    private val clock: Clock,
    private val settings: OwnerSettings,
    private val cleaner: EndedJobCleaner,
    private val progressRows: ProgressRows = ProgressRows(),
) {
    private val signal = Channel<Unit>(Channel.CONFLATED)
    private val writtenStateNames = HashMap<String, String>()
    private var flushed = CompletableDeferred<Unit>()

    // Jobs whose progress the store rejects in rows of any size, with the time of the next attempt. Their state is still
    // stored, since callers query it.
    private val retryProgressAtMillis = HashMap<String, Long>()

    // Whether the last write stored all changes that it was made for.
    private var isWriteComplete = true

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
        retryRejectedProgress()
        isWriteComplete = true
        val roster = engine.state.roster.takeChanges(MAX_WORKERS)
        val changes = engine.state.takeChanges(if (roster.isEmpty()) MAX_JOBS else MAX_JOBS_WITH_WORKERS)
        val marks = if (engine.state.hasChanges) emptyList() else engine.acknowledgeableEnds()
        val waiters = flushed
        if (marks.isNotEmpty()) flushed = CompletableDeferred()
        val expired =
            cleaner.takeExpiredStateKeys(MAX_REMOVALS).map { RowChange(StoredTables.states, it, null) }
        val obsolete =
            progressRows
                .takeObsoleteKeys(MAX_REMOVALS - expired.size)
                .map { RowChange(StoredTables.progressPages, it, null) }
        val isRosterComplete = engine.isRosterComplete(clock.monotonicMillis())
        val parts = roster.map(::rosterPart) + changes.map(::jobPart) + WritePart(expired + obsolete)
        val figures = ownerFigures()
        transactions(parts).forEach { some -> write(some, figures, isRosterComplete)?.let { return it } }
        // An end is acknowledged only once its effect is stored; a worker forgets it then.
        if (isWriteComplete && retryProgressAtMillis.isEmpty()) engine.markEndsStored(marks)
        changes.filter { it.state.isFinal }.forEach { cleaner.recordEnd(it.jobId, clock.wallMillis()) }
        if (marks.isNotEmpty()) waiters.complete(Unit)
        onStored(changes.associate { it.jobId to it.state })
        return null
    }

    // Groups [parts] so that each group fits into one transaction; without parts, the owner's row alone is written.
    private fun transactions(parts: List<WritePart>): List<List<WritePart>> {
        val groups = arrayListOf(ArrayList<WritePart>())
        var rows = 0
        var bytes = 0
        parts.forEach { part ->
            val partBytes = part.rows.sumOf { it.value?.size ?: 0 }
            if (rows + part.rows.size > MAX_ROWS || bytes + partBytes > MAX_BYTES) {
                if (groups.last().isNotEmpty()) groups += ArrayList<WritePart>()
                rows = 0
                bytes = 0
            }
            groups.last() += part
            rows += part.rows.size
            bytes += partBytes
        }
        return groups
    }

    private fun retryRejectedProgress() {
        val now = clock.monotonicMillis()
        retryProgressAtMillis.keys.removeIf { it !in engine.state.jobs }
        retryProgressAtMillis.filterValues { it <= now }.keys.forEach { jobId ->
            engine.state.jobs[jobId]?.let(engine.state::markChanged)
        }
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

    private fun rosterPart(change: RosterChange): WritePart =
        WritePart(
            rows = listOf(rosterRow(change)),
            onStored = { engine.state.roster.confirmStored(listOf(change)) },
            onRejected = { engine.state.roster.recordRejected(change) },
        )

    private fun jobPart(change: JobChange): WritePart {
        val isHeldBack = (retryProgressAtMillis[change.jobId] ?: Long.MIN_VALUE) > clock.monotonicMillis()
        val progress =
            if (isHeldBack && change.progress != null) {
                ProgressWrite(emptyList(), isComplete = true)
            } else {
                progressRows.write(change)
            }
        return WritePart(
            rows = progress.rows + stateRows(change),
            onStored = {
                if (!isHeldBack) retryProgressAtMillis -= change.jobId
                progressRows.confirm(change.jobId, progress.rows, hasEnded = change.progress == null)
                if (!progress.isComplete) writeAgain(change.jobId)
            },
            onRejected = { retryInSmallerRows(change.jobId) },
        )
    }

    private fun writeAgain(jobId: String) {
        isWriteComplete = false
        engine.state.jobs[jobId]?.let(engine.state::markChanged)
    }

    private fun retryInSmallerRows(jobId: String) {
        writtenStateNames -= jobId
        if (!progressRows.shrink(jobId)) {
            retryProgressAtMillis[jobId] = clock.monotonicMillis() + REJECTED_RETRY_MILLIS
        }
        writeAgain(jobId)
    }

    private fun stateRows(change: JobChange): List<RowChange> {
        if (change.state.isFinal) writtenStateNames.remove(change.jobId)
        if (writtenStateNames[change.jobId] == change.state.name) return emptyList()
        if (!change.state.isFinal) writtenStateNames[change.jobId] = change.state.name
        val record = StateRecord(change.queueName, change.state, clock.wallMillis())
        val bytes = RecordCodec.encode(StateRecord.serializer(), record)
        return listOf(RowChange(StoredTables.states, StoredTables.stateKey(change.jobId), bytes))
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
        const val MAX_REMOVALS = 15

        // The condition and the row of the owner are entries as well.
        const val MAX_ROWS = 95

        // A transaction takes 1 MB, of which Base64 leaves three quarters.
        const val MAX_BYTES = 650_000

        // A store that rejects rows of any size is asked again at a rate that leaves its capacity to other writes.
        const val REJECTED_RETRY_MILLIS = 1_000L
    }
}
