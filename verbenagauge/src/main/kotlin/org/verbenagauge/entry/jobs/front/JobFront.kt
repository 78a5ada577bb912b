package org.verbenagauge.entry.jobs.front

import kotlinx.coroutines.delay
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.jobs.model.JobState
import org.verbenagauge.entry.jobs.owner.StoredTables
import org.verbenagauge.entry.jobs.ports.ReadResult
import org.verbenagauge.entry.jobs.ports.RowChange
import org.verbenagauge.entry.jobs.ports.RowStore
import org.verbenagauge.entry.jobs.ports.TransactionOutcome
import org.verbenagauge.entry.jobs.records.JobRecord
import org.verbenagauge.entry.jobs.records.RecordCodec
import org.verbenagauge.entry.jobs.records.StateRecord
import org.verbenagauge.entry.load.AdmissionDecision

/** Outcome of submitting a job. */
public sealed interface SubmitOutcome {
    /** The job is stored, by this call or an earlier one. */
    public data object Accepted : SubmitOutcome

    /** This call never stores the job, because of [cause]; a retry makes sense after [retryAfterMillis]. */
    public data class Refused(
        val cause: String,
        val retryAfterMillis: Long,
    ) : SubmitOutcome

    /** Refused because of load, see [refusal]. The refusal is stored: no attempt up to this one is ever run. */
    public data class TurnedAway(
        val refusal: AdmissionDecision.Refuse,
    ) : SubmitOutcome

    /** The store did not confirm an outcome, because of [cause]: the job may be stored, now or later. */
    public data class Unsettled(
        val cause: String,
    ) : SubmitOutcome
}

/** Outcome of looking up a job. */
public sealed interface JobLookup {
    /** The job is in [state]. */
    public data class Found(
        val state: JobState,
    ) : JobLookup

    /** There is no such job. */
    public data object Unknown : JobLookup

    /** The store did not tell, because of [cause]. */
    public data class Unavailable(
        val cause: String,
    ) : JobLookup
}

/** Outcome of cancelling a job. */
public sealed interface CancelOutcome {
    /** The cancellation is stored, or the job has already ended. */
    public data object Cancelled : CancelOutcome

    /** There is no such job, and an attempt to submit it that is still in flight starts nothing. */
    public data object Unknown : CancelOutcome

    /** The cancellation is not known to be stored, because of [cause]; a retry makes sense. */
    public data class Unsettled(
        val cause: String,
    ) : CancelOutcome
}

/** Submits, looks up and cancels jobs at one entry. Calls only the store, so that it works without an owner. */
internal class JobFront(
    private val store: RowStore,
    private val catalogue: StateCatalogue,
    private val clock: Clock,
) {
    private val unknownCancellations = RecentCancellations()

    /**
     * Stores [record] as the job [jobId], retrying until [deadlineMillis] on the monotonic clock. [decide] returns
     * whether to accept a job that was refused the given number of times before.
     */
    suspend fun submit(
        jobId: String,
        record: JobRecord,
        deadlineMillis: Long,
        decide: (refusals: Int) -> AdmissionDecision = { AdmissionDecision.Accept },
    ): SubmitOutcome =
        JobWriter(store, catalogue, clock, jobId, record, catalogue.knownVersion, decide).write(deadlineMillis)

    /** Returns the state of [jobId], from memory when it is final or fresh enough, else from the store. */
    suspend fun lookup(
        jobId: String,
        deadlineMillis: Long,
    ): JobLookup {
        val known = catalogue.state(jobId)
        if (known != null && (known.isFinal || catalogue.silenceMillis() < STALE_MILLIS)) return JobLookup.Found(known)
        return readThrough(jobId, deadlineMillis)
    }

    // The row of a job is kept until its state is no longer kept, so a job row without a state row means a queued job.
    private suspend fun readThrough(
        jobId: String,
        deadlineMillis: Long,
    ): JobLookup {
        val work = store.read(StoredTables.work(jobId), StoredTables.jobKey(jobId), attemptMillis(deadlineMillis))
        if (work !is ReadResult.Read) return JobLookup.Unavailable("$work")
        val state = store.read(StoredTables.states, StoredTables.stateKey(jobId), attemptMillis(deadlineMillis))
        if (state !is ReadResult.Read) return JobLookup.Unavailable("$state")
        val lookup = interpret(work.value?.value, state.value?.value)
        if (lookup is JobLookup.Found) catalogue.recordState(jobId, lookup.state)
        return lookup
    }

    private fun interpret(
        job: ByteArray?,
        state: ByteArray?,
    ): JobLookup {
        if (state != null) {
            val record = RecordCodec.decode(StateRecord.serializer(), state)
            return record?.let { JobLookup.Found(it.state) } ?: JobLookup.Unavailable("the state cannot be read")
        }
        return when {
            job == null || StoredTables.isBar(job) -> JobLookup.Unknown
            StoredTables.isJob(job) -> JobLookup.Found(JobState.QUEUED)
            else -> JobLookup.Unavailable("the row of the job does not tell its state")
        }
    }

    /**
     * Stores the cancellation of [jobId], retrying until [deadlineMillis] on the monotonic clock. A job that is not
     * stored may be on its way, since the store may carry out a write seconds after it was sent; so its cancellation is
     * stored as well, and the owner ends the job as cancelled when it comes.
     */
    suspend fun cancel(
        jobId: String,
        deadlineMillis: Long,
    ): CancelOutcome {
        val lookup = lookup(jobId, deadlineMillis)
        if (lookup is JobLookup.Unavailable) return CancelOutcome.Unsettled(lookup.cause)
        if (lookup is JobLookup.Found && lookup.state.isFinal) return CancelOutcome.Cancelled
        if (lookup is JobLookup.Found) return storeCancellation(jobId, deadlineMillis) ?: CancelOutcome.Cancelled
        if (!unknownCancellations.tryAdd(clock.monotonicMillis())) return tooManyCancellations
        return storeCancellation(jobId, deadlineMillis) ?: CancelOutcome.Unknown
    }

    // Returns null when the cancellation is stored.
    private suspend fun storeCancellation(
        jobId: String,
        deadlineMillis: Long,
    ): CancelOutcome? {
        val change = RowChange(StoredTables.work(jobId), StoredTables.cancelKey(jobId), CANCEL_MARK)
        var cause = "deadline exceeded"
        while (clock.monotonicMillis() < deadlineMillis) {
            when (val outcome = store.transact(emptyList(), listOf(change), attemptMillis(deadlineMillis))) {
                is TransactionOutcome.Applied -> return null
                is TransactionOutcome.Conflict -> return null
                is TransactionOutcome.Unknown -> cause = outcome.cause
                is TransactionOutcome.Unavailable -> cause = outcome.cause
                is TransactionOutcome.Rejected -> return CancelOutcome.Unsettled(outcome.cause)
            }
            delay(RETRY_MILLIS)
        }
        return CancelOutcome.Unsettled(cause)
    }

    private fun attemptMillis(deadlineMillis: Long): Long =
        JobWriter.attemptMillis(deadlineMillis - clock.monotonicMillis())

    private companion object {
        const val RETRY_MILLIS = 50L

        // Twice the wait of the change feed, so that one late answer does not make the cached states stale.
        const val STALE_MILLIS = 2_000L
        val CANCEL_MARK = byteArrayOf(1)
        val tooManyCancellations = CancelOutcome.Unsettled("too many cancellations of jobs that are not stored")
    }
}
