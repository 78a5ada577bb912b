package org.verbenagauge.entry.jobs.front

import kotlinx.coroutines.delay
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.jobs.model.JobState
import org.verbenagauge.entry.jobs.owner.StoredTables
import org.verbenagauge.entry.jobs.ports.ReadResult
import org.verbenagauge.entry.jobs.ports.RowChange
import org.verbenagauge.entry.jobs.ports.RowStore
import org.verbenagauge.entry.jobs.ports.StoredRow
import org.verbenagauge.entry.jobs.ports.TransactionOutcome
import org.verbenagauge.entry.jobs.records.JobRecord
import org.verbenagauge.entry.jobs.records.RecordCodec
import org.verbenagauge.entry.jobs.records.StateRecord
import org.verbenagauge.entry.load.AdmissionDecision

/** Outcome of handing a job in. */
public sealed interface SubmitOutcome {
    /** Stored, now or by an earlier call. */
    public data object Accepted : SubmitOutcome

    /** Not stored and never run by this call, for [cause]; worth another try after [retryAfterMillis]. */
    public data class Refused(
        val cause: String,
        val retryAfterMillis: Long,
    ) : SubmitOutcome

    /** Refused for load by [refusal], and barred in the store: no attempt up to this one is ever run. */
    public data class TurnedAway(
        val refusal: AdmissionDecision.Refuse,
    ) : SubmitOutcome

    /** The store has not told, for [cause]: the job may be stored, now or later. */
    public data class Unsettled(
        val cause: String,
    ) : SubmitOutcome
}

/** Outcome of asking for a job. */
public sealed interface JobLookup {
    /** The job is in [state]. */
    public data class Found(
        val state: JobState,
    ) : JobLookup

    /** There is no such job. */
    public data object Unknown : JobLookup

    /** The store did not answer, for [cause]. */
    public data class Unavailable(
        val cause: String,
    ) : JobLookup
}

/** Outcome of cancelling a job. */
public sealed interface CancelOutcome {
    /** Stored. */
    public data object Cancelled : CancelOutcome

    /** There is no such job. */
    public data object Unknown : CancelOutcome

    /** Not known to be stored, for [cause]; worth another try. */
    public data class Unsettled(
        val cause: String,
    ) : CancelOutcome
}

/** Takes in, shows and cancels jobs at one entry, with nothing but the store behind it. */
internal class JobFront(
    private val store: RowStore,
    private val catalogue: StateCatalogue,
    private val clock: Clock,
) {
    /**
     * Stores [record] as the job [jobId], giving up at [deadlineMillis] on the steady clock; [decide] says whether one that was
     * refused so many times before is taken in.
     */
    suspend fun submit(
        jobId: String,
        record: JobRecord,
        deadlineMillis: Long,
        decide: (refusals: Int) -> AdmissionDecision = { AdmissionDecision.Accept },
    ): SubmitOutcome =
        JobWriter(store, catalogue, clock, jobId, record, catalogue.knownVersion, decide).write(deadlineMillis)

    /** Tells the state of [jobId]. */
    suspend fun lookup(
        jobId: String,
        deadlineMillis: Long,
    ): JobLookup {
        val known = catalogue.state(jobId)
        if (known != null && (known.isFinal || catalogue.silenceMillis() < STALE_MILLIS)) return JobLookup.Found(known)
        return readThrough(jobId, deadlineMillis)
    }

    // The row of a job stays until its state is no longer kept.
    private suspend fun readThrough(
        jobId: String,
        deadlineMillis: Long,
    ): JobLookup {
        val work = store.read(StoredTables.work(jobId), StoredTables.jobKey(jobId), attemptMillis(deadlineMillis))
        if (work !is ReadResult.Read) return JobLookup.Unavailable("$work")
        val state = store.read(StoredTables.states, StoredTables.stateKey(jobId), attemptMillis(deadlineMillis))
        if (state !is ReadResult.Read) return JobLookup.Unavailable("$state")
        val record = state.value?.value?.let { RecordCodec.decode(StateRecord.serializer(), it) }
        val found =
            record?.state
                ?: JobState.QUEUED.takeIf { work.value?.isBar() == false }
                ?: return JobLookup.Unknown
        catalogue.recordState(jobId, found)
        return JobLookup.Found(found)
    }

    /** Cancels [jobId]. */
    suspend fun cancel(
        jobId: String,
        deadlineMillis: Long,
    ): CancelOutcome {
        when (val lookup = lookup(jobId, deadlineMillis)) {
            is JobLookup.Unknown -> return CancelOutcome.Unknown
            is JobLookup.Unavailable -> return CancelOutcome.Unsettled(lookup.cause)
            is JobLookup.Found -> if (lookup.state.isFinal) return CancelOutcome.Cancelled
        }
        val change = RowChange(StoredTables.work(jobId), StoredTables.cancelKey(jobId), CANCEL_MARK)
        var cause = "no time left"
        while (clock.monotonicMillis() < deadlineMillis) {
            when (val outcome = store.transact(emptyList(), listOf(change), attemptMillis(deadlineMillis))) {
                is TransactionOutcome.Applied -> return CancelOutcome.Cancelled
                is TransactionOutcome.Conflict -> return CancelOutcome.Cancelled
                is TransactionOutcome.Unknown -> cause = outcome.cause
                is TransactionOutcome.Unavailable -> cause = outcome.cause
            }
            delay(RETRY_MILLIS)
        }
        return CancelOutcome.Unsettled(cause)
    }

    /** Accepted jobs of [queueName] without a started task, as the owner last told. */
    fun pending(queueName: String): Int =
        catalogue.owner
            ?.record
            ?.pendingByQueue
            ?.get(queueName) ?: 0

    private fun StoredRow.isBar() = value?.let(StoredTables::isBar) == true

    private fun attemptMillis(deadlineMillis: Long): Long =
        JobWriter.attemptMillis(deadlineMillis - clock.monotonicMillis())

    private companion object {
        const val RETRY_MILLIS = 50L

        // Twice the wait of the feed, so that one answer may come late.
        const val STALE_MILLIS = 2_000L
        val CANCEL_MARK = byteArrayOf(1)
    }
}
