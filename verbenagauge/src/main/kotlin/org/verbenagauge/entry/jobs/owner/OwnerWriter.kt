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

/** Stores what the engine decided, a batch at a time, and renews the owner's lease with it. */
internal class OwnerWriter(
    private val chain: OwnerChain,
    private val engine: JobEngine,
    private val clock: Clock,
    private val settings: OwnerSettings,
    private val janitor: Janitor,
) {
    private val signal = Channel<Unit>(Channel.CONFLATED)
    private val shownStates = HashMap<String, String>()
    private var flushed = CompletableDeferred<Unit>()

    private val suspension = SuspensionDetector(clock)
    private var doubtedAtMillis = Long.MIN_VALUE

    /**
     * Whether the owner may order now: its lease cannot have passed to another entry. Asked right before each order is
     * sent, since the process may have stood still after the decision.
     */
    fun isLeaseValid(): Boolean {
        if (suspension.hasBeenSuspended()) doubt()
        return chain.confirmedSentAtMillis > doubtedAtMillis &&
            clock.monotonicMillis() - chain.confirmedSentAtMillis < settings.leaseMillis
    }

    // Time may have passed unseen: the lease counts again after the next stored write.
    private fun doubt() {
        doubtedAtMillis = clock.monotonicMillis()
        wake()
    }

    /** Tells that there may be something to store. */
    fun wake() {
        signal.trySend(Unit)
    }

    /** Waits until what is known now is stored, at most [timeoutMillis]. */
    suspend fun awaitFlush(timeoutMillis: Long) {
        val next = flushed
        withTimeoutOrNull(timeoutMillis) { next.await() }
    }

    /** Writes until the duty is lost; [onStored] is told the states after each stored write. */
    suspend fun run(onStored: (Map<String, JobState>) -> Unit): ChainOutcome.Lost {
        while (true) {
            if (!engine.hasChanges) withTimeoutOrNull(settings.renewMillis) { signal.receive() }
            val sinceMillis = clock.monotonicMillis() - chain.confirmedSentAtMillis
            if (!engine.hasChanges && sinceMillis < settings.renewMillis && isLeaseValid()) continue
            val lost = writeOnce(onStored)
            if (lost != null) return lost
            delay(settings.writeGapMillis)
        }
    }

    private suspend fun writeOnce(onStored: (Map<String, JobState>) -> Unit): ChainOutcome.Lost? {
        val roster = engine.state.roster.takeChanges(MOST_WORKERS)
        val changes = engine.state.takeChanges(if (roster.isEmpty()) MOST_JOBS else MOST_JOBS_BESIDE_WORKERS)
        val marks = if (engine.state.hasChanges) emptyList() else engine.acknowledgeableEnds()
        val waiters = flushed
        if (marks.isNotEmpty()) flushed = CompletableDeferred()
        val retired = janitor.takeRetired(MOST_RETIRED).map { RowChange(StoredTables.states, it, null) }
        val isRosterComplete = engine.isRosterComplete(clock.monotonicMillis())
        chain.begin(roster.map(::row) + changes.flatMap(::rows) + retired, figures(), isRosterComplete)
        val lost = chain.settle()
        if (lost != null) return lost
        engine.state.roster.confirmStored(roster)
        engine.markEndsStored(marks)
        changes.filter { it.state.isFinal }.forEach { janitor.ended(it.jobId, clock.wallMillis()) }
        if (marks.isNotEmpty()) waiters.complete(Unit)
        onStored(changes.associate { it.jobId to it.state })
        return null
    }

    private fun figures() = OwnerFigures(engine.pendingByQueue(), engine.state.pressure.read(clock.monotonicMillis()))

    private fun row(change: RosterChange): RowChange {
        val bytes = change.record?.let { RecordCodec.encode(RosterRecord.serializer(), it) }
        return RowChange(StoredTables.roster, change.workerId, bytes)
    }

    private fun rows(change: JobChange): List<RowChange> {
        val rows = ArrayList<RowChange>()
        val progress = change.progress
        if (progress == null) {
            rows += RowChange(StoredTables.progress, change.jobId, null)
        } else {
            val bytes = RecordCodec.encode(ProgressRecord.serializer(), progress)
            rows += RowChange(StoredTables.progress, change.jobId, bytes)
        }
        if (shownStates[change.jobId] != change.state.name) {
            shownStates[change.jobId] = change.state.name
            val record = StateRecord(change.queueName, change.state, clock.wallMillis())
            val bytes = RecordCodec.encode(StateRecord.serializer(), record)
            rows += RowChange(StoredTables.states, StoredTables.stateKey(change.jobId), bytes)
        }
        if (progress == null) shownStates.remove(change.jobId)
        return rows
    }

    private companion object {
        // Two rows a job, what is retired and the row of the owner stay below the 100 entries of one transaction.
        const val MOST_JOBS = 40
        const val MOST_WORKERS = 40
        const val MOST_JOBS_BESIDE_WORKERS = 20
        const val MOST_RETIRED = 15
    }
}
