package org.verbenagauge.entry.jobs.front

import kotlinx.coroutines.delay
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.jobs.model.JobState
import org.verbenagauge.entry.jobs.owner.StoredTables
import org.verbenagauge.entry.jobs.ports.RowChange
import org.verbenagauge.entry.jobs.ports.RowExpectation
import org.verbenagauge.entry.jobs.ports.RowStore
import org.verbenagauge.entry.jobs.ports.StoredRow
import org.verbenagauge.entry.jobs.ports.TransactionOutcome
import org.verbenagauge.entry.jobs.records.JobRecord
import org.verbenagauge.entry.jobs.records.RecordCodec
import org.verbenagauge.entry.jobs.records.RefusalRecord
import org.verbenagauge.entry.load.AdmissionDecision

/**
 * One attempt to submit a job. Stores either the job or a refusal record in the row of its id. Every attempt writes on
 * the condition that the row still has the version that the attempt expects, so an attempt that came before the refusal
 * record is never stored after it, no matter where it was delayed.
 *
 * A later attempt may replace the refusal record, since its caller has retried. An attempt is later if this entry knew
 * the store version of the refusal record before the attempt came ([KnownVersions]). Versions come from one counter, so
 * the comparison does not depend on the wall clock.
 *
 * @param knownVersion newest version of the store that this entry knew when the attempt came.
 * @param decide returns whether to accept a job that was refused the given number of times before.
 */
internal class JobWriter(
    private val store: RowStore,
    private val catalogue: StateCatalogue,
    private val clock: Clock,
    private val jobId: String,
    private var record: JobRecord,
    private val knownVersion: Long,
    private val decide: (refusals: Int) -> AdmissionDecision,
) {
    private val place = StoredTables.work(jobId)
    private val key = StoredTables.jobKey(jobId)

    // Version of the row that this attempt may replace: 0 for no row, else that of a refusal record known before.
    private var version = 0L
    private var refusals = 0
    private var decision = decide(0)
    private var mayBeStored = false
    private var unavailableCount = 0
    private var cause = "deadline exceeded"

    /** Writes until there is an outcome, with retries until [deadlineMillis] on the monotonic clock. */
    suspend fun write(deadlineMillis: Long): SubmitOutcome {
        while (clock.monotonicMillis() < deadlineMillis) {
            val timeoutMillis = attemptMillis(deadlineMillis - clock.monotonicMillis())
            when (
                val outcome =
                    store.transact(
                        listOf(RowExpectation(place, key, version)),
                        listOf(change()),
                        timeoutMillis,
                    )
            ) {
                is TransactionOutcome.Applied -> {
                    catalogue.recordVersion(outcome.version)
                    return storedOutcome()
                }

                is TransactionOutcome.Conflict -> {
                    val row = outcome.rows.firstOrNull { it.key == key && it.value != null }
                    if (row != null || version != 0L) {
                        onConflict(row)?.let { return it }
                        continue
                    }
                    // There is a row, but the answer does not show whether it is the job.
                    mayBeStored = true
                    cause = "conflict with a row that the answer lacks"
                }

                is TransactionOutcome.Unknown -> {
                    mayBeStored = true
                    cause = outcome.cause
                }

                is TransactionOutcome.Rejected -> {
                    cause = outcome.cause
                    // A job that exceeds the longest row only with the settings of its queue is stored without them.
                    if (isRefused || record.acceptedQueue == null) return unsettled()
                    record = record.copy(acceptedQueue = null)
                    continue
                }

                is TransactionOutcome.Unavailable -> {
                    cause = outcome.cause
                    if (++unavailableCount >= MAX_UNAVAILABLE_ANSWERS && (!mayBeStored || isRefused)) return unsettled()
                }
            }
            delay(RETRY_MILLIS)
        }
        return unsettled()
    }

    private val isRefused: Boolean get() = decision is AdmissionDecision.Refuse

    private fun change(): RowChange {
        val bytes =
            if (isRefused) {
                RecordCodec.encode(RefusalRecord.serializer(), RefusalRecord(refusals + 1))
            } else {
                RecordCodec.encode(JobRecord.serializer(), record)
            }
        return RowChange(place, key, bytes)
    }

    private fun storedOutcome(): SubmitOutcome {
        val refusal = decision as? AdmissionDecision.Refuse ?: return accepted()
        return SubmitOutcome.TurnedAway(refusal)
    }

    private fun accepted(): SubmitOutcome {
        catalogue.recordState(jobId, JobState.QUEUED)
        return SubmitOutcome.Accepted
    }

    // Returns null when the write is to be retried.
    private fun onConflict(row: StoredRow?): SubmitOutcome? {
        val value = row?.value
        if (value == null) {
            version = 0
            return null
        }
        if (StoredTables.isJob(value) || StoredTables.isEndedTombstone(value)) return accepted()
        val stored =
            RecordCodec.decode(RefusalRecord.serializer(), value)
                ?: return SubmitOutcome.Unsettled("the row in place of the job cannot be read")
        refusals = stored.refusals
        decision = decide(refusals)
        if (row.version > knownVersion) {
            catalogue.recordVersion(row.version)
            return SubmitOutcome.TurnedAway(decision as? AdmissionDecision.Refuse ?: refusedElsewhere)
        }
        version = row.version
        return null
    }

    // A refusal without a stored record must not be reported as one: an earlier attempt may be stored.
    private fun unsettled(): SubmitOutcome =
        if (mayBeStored ||
            isRefused
        ) {
            SubmitOutcome.Unsettled(cause)
        } else {
            SubmitOutcome.Refused(cause, RETRY_AFTER_MILLIS)
        }

    companion object {
        // The store answers within a few milliseconds; an answer that takes longer than this is probably lost.
        private const val ATTEMPT_MILLIS = 900L
        private const val MIN_ATTEMPT_MILLIS = 20L
        private const val RETRY_MILLIS = 50L
        private const val MAX_UNAVAILABLE_ANSWERS = 2
        private const val RETRY_AFTER_MILLIS = 1_000L

        // Another entry refused the same job while this attempt was in progress.
        private val refusedElsewhere = AdmissionDecision.Refuse(false, 0, 0, 0, RETRY_AFTER_MILLIS)

        /** Returns the timeout of one store call when [leftMillis] remain until the deadline, in milliseconds. */
        fun attemptMillis(leftMillis: Long): Long = minOf(ATTEMPT_MILLIS, leftMillis).coerceAtLeast(MIN_ATTEMPT_MILLIS)
    }
}
