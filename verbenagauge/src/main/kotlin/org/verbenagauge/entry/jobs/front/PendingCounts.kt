package org.verbenagauge.entry.jobs.front

import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.jobs.records.OwnerRecord

/**
 * Number of accepted jobs of a queue without a started task, with what it rests on.
 *
 * @property count number of jobs; null when it is not known.
 * @property isListed whether the owner's row names the queue.
 * @property ownerId entry that wrote the row; null when no row is known.
 * @property epoch epoch of the owner that wrote the row; null when no row is known.
 * @property version version of the row in the store; null when the table has not been read.
 * @property rowAgeMillis time since this entry first read the row; null when the table has not been read.
 * @property ageWhenWrittenMillis time for which the writer of the row had not read accepted jobs when it counted; null
 * when it has not counted.
 */
public data class PendingCount(
    val count: Int?,
    val isListed: Boolean,
    val ownerId: String?,
    val epoch: Long?,
    val version: Long?,
    val rowAgeMillis: Long?,
    val ageWhenWrittenMillis: Long?,
)

/** Counts of waiting jobs at one entry, from the newest row whose owner had counted them. */
internal class PendingCounts(
    private val catalogue: StateCatalogue,
    private val clock: Clock,
) {
    /** Returns the count of [queueName]. */
    fun of(queueName: String): PendingCount {
        val observed = catalogue.lastCount ?: catalogue.owner
        val record = observed?.record
        val listed = record?.pendingByQueue?.get(queueName)
        return PendingCount(
            count = currentRecord()?.let { listed ?: 0.takeIf { _ -> !it.omitsPending } },
            isListed = listed != null,
            ownerId = record?.entryId,
            epoch = record?.epoch,
            version = observed?.version,
            rowAgeMillis = observed?.let(::ageMillis),
            ageWhenWrittenMillis = record?.pendingAgeMillis,
        )
    }

    /** Returns the sum of the counts of all queues; null when it is not known. */
    fun total(): Int? =
        currentRecord()
            ?.takeIf { !it.omitsPending }
            ?.pendingByQueue
            ?.values
            ?.sum()

    private fun currentRecord(): OwnerRecord? {
        val observed = catalogue.lastCount ?: return null
        val ageWhenWrittenMillis = observed.record?.pendingAgeMillis ?: return null
        val rowAgeMillis = ageMillis(observed)
        if (rowAgeMillis > MAX_ROW_AGE_MILLIS) return null
        return observed.record.takeIf { ageWhenWrittenMillis + rowAgeMillis <= MAX_AGE_MILLIS }
    }

    private fun ageMillis(observed: ObservedOwner) = clock.monotonicMillis() - observed.observedAtMillis

    private companion object {
        // By the published protocol, a count may be 2 s old.
        const val MAX_ROW_AGE_MILLIS = 2_000L

        // By the same protocol, a job is visible 3 s after it was accepted, which makes 5 s. A row that is sent again
        // and again until the owner's lease has passed is under way for the last two of them.
        const val MAX_AGE_MILLIS = 3_000L
    }
}
