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
import org.verbenagauge.entry.jobs.records.BarRecord
import org.verbenagauge.entry.jobs.records.JobRecord
import org.verbenagauge.entry.jobs.records.RecordCodec
import org.verbenagauge.entry.load.AdmissionDecision

/**
 * One attempt to hand a job in. Stores the job, or a row that bars its id: every other attempt writes under the condition that
 * the row is as it knew it, so that none that came before the bar is stored after it, wherever it was held up.
 *
 * A later attempt may replace the bar, since its caller has come back. It is later when this entry knew the store's version of
 * the bar before the attempt came ([KnownVersions]); versions come from one counter, so no time of day is asked.
 *
 * @param knownVersion newest version of the store that this entry knew when the attempt came.
 * @param decide says what becomes of a job that was refused so many times before.
 */
internal class JobWriter(
    private val store: RowStore,
    private val catalogue: StateCatalogue,
    private val clock: Clock,
    private val jobId: String,
    private val record: JobRecord,
    private val knownVersion: Long,
    private val decide: (refusals: Int) -> AdmissionDecision,
) {
    private val place = StoredTables.work(jobId)
    private val key = StoredTables.jobKey(jobId)

    // What this attempt may replace: no row, or a bar that it knew of.
    private var version = 0L
    private var refusals = 0
    private var decision = decide(0)
    private var mayBeStored = false
    private var unavailableCount = 0
    private var cause = "no time left"

    /** Goes on until [deadlineMillis] on the steady clock. */
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
                    onConflict(outcome.rows.firstOrNull { it.key == key })?.let { return it }
                    continue
                }

                is TransactionOutcome.Unknown -> {
                    mayBeStored = true
                    cause = outcome.cause
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
                RecordCodec.encode(BarRecord.serializer(), BarRecord(refusals + 1))
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

    // Null when there is something to try again.
    private fun onConflict(row: StoredRow?): SubmitOutcome? {
        if (row == null && version != 0L) {
            version = 0
            return null
        }
        val bar = row?.value?.let { RecordCodec.decode(BarRecord.serializer(), it) } ?: return accepted()
        refusals = bar.refusals
        decision = decide(refusals)
        if (row.version > knownVersion) {
            catalogue.recordVersion(row.version)
            return SubmitOutcome.TurnedAway(decision as? AdmissionDecision.Refuse ?: refusedElsewhere)
        }
        version = row.version
        return null
    }

    // A refusal that is not barred would not be true: an earlier attempt may be stored.
    private fun unsettled(): SubmitOutcome =
        if (mayBeStored ||
            isRefused
        ) {
            SubmitOutcome.Unsettled(cause)
        } else {
            SubmitOutcome.Refused(cause, RETRY_AFTER_MILLIS)
        }

    companion object {
        // An answer takes some milliseconds; one that has not come by then was lost more likely than not.
        private const val ATTEMPT_MILLIS = 900L
        private const val MIN_ATTEMPT_MILLIS = 20L
        private const val RETRY_MILLIS = 50L
        private const val MAX_UNAVAILABLE_ANSWERS = 2
        private const val RETRY_AFTER_MILLIS = 1_000L

        // Another entry refused the same job while this attempt was on its way.
        private val refusedElsewhere = AdmissionDecision.Refuse(false, 0, 0, 0, RETRY_AFTER_MILLIS)

        /** How long one call of the store may take when [leftMillis] are left. */
        fun attemptMillis(leftMillis: Long): Long = minOf(ATTEMPT_MILLIS, leftMillis).coerceAtLeast(MIN_ATTEMPT_MILLIS)
    }
}
