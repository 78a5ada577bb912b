package org.verbenagauge.entry.jobs.owner

import kotlinx.coroutines.delay
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.jobs.ports.RowChange
import org.verbenagauge.entry.jobs.ports.RowExpectation
import org.verbenagauge.entry.jobs.ports.RowStore
import org.verbenagauge.entry.jobs.ports.TransactionOutcome

/**
 * Cleans up the rows of ended jobs. A job's row first shrinks to a tombstone, which keeps the id taken, and is
 * removed with the state row once callers may no longer query the job.
 *
 * @param fullRowRetentionMillis time after the end of a job for which its full row is kept, since the next owner
 * needs its contents.
 */
internal class EndedJobCleaner(
    private val store: RowStore,
    private val clock: Clock,
    private val fullRowRetentionMillis: Long = 0,
) {
    private val jobsWithFullRow = LinkedHashSet<String>()
    private val endedAtUnixMillis = LinkedHashMap<String, Long>()
    private val expiredStateKeys = ArrayDeque<String>()
    private val refusals = LinkedHashMap<String, SeenRow>()
    private val cancellations = LinkedHashMap<String, SeenRow>()

    private class SeenRow(
        val version: Long,
        val seenAtMillis: Long,
    )

    /** Called with the id of each job whose row was removed. */
    var onJobRemoved: (jobId: String) -> Unit = {}

    /** Called with the id of each job whose cancellation was removed. */
    var onCancellationRemoved: (jobId: String) -> Unit = {}

    /** Records that [jobId] ended at [unixMillis] and that its end is stored. */
    fun recordEnd(
        jobId: String,
        unixMillis: Long,
    ) {
        jobsWithFullRow += jobId
        endedAtUnixMillis[jobId] = unixMillis
    }

    /** Records that the row of [jobId], as of [version], marks the job as refused. */
    fun recordRefusal(
        jobId: String,
        version: Long,
    ) {
        refusals.remove(jobId)
        refusals[jobId] = SeenRow(version, clock.monotonicMillis())
    }

    /** Records that [jobId] is cancelled by a row, as of [version], and that no such job is stored or it has ended. */
    fun recordUnusedCancellation(
        jobId: String,
        version: Long,
    ) {
        cancellations.remove(jobId)
        cancellations[jobId] = SeenRow(version, clock.monotonicMillis())
    }

    /** Removes and returns up to [maxCount] keys of state rows that callers may no longer query. */
    fun takeExpiredStateKeys(maxCount: Int): List<String> =
        List(minOf(maxCount, expiredStateKeys.size)) { expiredStateKeys.removeFirst() }

    /** Runs until cancelled. */
    suspend fun run() {
        while (true) {
            delay(CLEANUP_INTERVAL_MILLIS)
            truncateEndedRows()
            removeExpiredRows()
            removeExpired(refusals, StoredTables::jobKey)
            removeExpired(cancellations, StoredTables::cancelKey, onCancellationRemoved)
        }
    }

    private suspend fun truncateEndedRows() {
        val newest = clock.wallMillis() - fullRowRetentionMillis
        val due =
            if (fullRowRetentionMillis ==
                0L
            ) {
                jobsWithFullRow
            } else {
                jobsWithFullRow.filter { endedAtUnixMillis.getValue(it) <= newest }
            }
        due.groupBy { StoredTables.work(it) }.forEach { (place, all) ->
            val jobIds = all.take(MAX_JOBS)
            val marks = jobIds.map { RowChange(place, StoredTables.jobKey(it), StoredTables.endedTombstone) }
            val cancels = jobIds.map { RowChange(place, StoredTables.cancelKey(it), null) }
            if (isApplied(marks + cancels)) jobsWithFullRow -= jobIds.toSet()
        }
    }

    private suspend fun removeExpiredRows() {
        val oldest = clock.wallMillis() - RETENTION_MILLIS
        val old = endedAtUnixMillis.entries.filter { it.value < oldest && it.key !in jobsWithFullRow }.map { it.key }
        old.groupBy { StoredTables.work(it) }.forEach { (place, all) ->
            val jobIds = all.take(MAX_JOBS)
            if (isApplied(jobIds.map { RowChange(place, StoredTables.jobKey(it), null) })) {
                endedAtUnixMillis -= jobIds.toSet()
                expiredStateKeys += jobIds.map { StoredTables.stateKey(it) }
                jobIds.forEach(onJobRemoved)
            }
        }
    }

    // Refusals and cancellations are kept as long as ended jobs: no attempt to store the job stays in flight for that
    // long. Removal is conditional on the version, since the caller may have submitted or cancelled the job again.
    private suspend fun removeExpired(
        rows: LinkedHashMap<String, SeenRow>,
        keyOf: (jobId: String) -> String,
        onRemoved: (jobId: String) -> Unit = {},
    ) {
        val oldest = clock.monotonicMillis() - RETENTION_MILLIS
        val old = rows.entries.takeWhile { it.value.seenAtMillis < oldest }.map { it.key to it.value }
        old.groupBy { StoredTables.work(it.first) }.forEach { (place, all) ->
            val some = all.take(MAX_JOBS)
            val conditions = some.map { (id, row) -> RowExpectation(place, keyOf(id), row.version) }
            val changes = some.map { (id, _) -> RowChange(place, keyOf(id), null) }
            val gone =
                when (val outcome = store.transact(conditions, changes, TIMEOUT_MILLIS)) {
                    is TransactionOutcome.Applied -> some
                    is TransactionOutcome.Conflict -> {
                        val versionByKey = outcome.rows.associate { it.key to it.version }
                        some.filter { (id, row) -> versionByKey[keyOf(id)] != row.version }
                    }

                    else -> emptyList()
                }
            // What was seen again meanwhile is kept.
            gone.filter { (id, row) -> rows[id] === row }.forEach { (id, _) ->
                rows -= id
                onRemoved(id)
            }
        }
    }

    private suspend fun isApplied(changes: List<RowChange>): Boolean =
        store.transact(emptyList(), changes, TIMEOUT_MILLIS) is TransactionOutcome.Applied

    private companion object {
        const val CLEANUP_INTERVAL_MILLIS = 4_000L

        // Two rows per job stay below the limit of 100 entries per transaction.
        const val MAX_JOBS = 45
        const val TIMEOUT_MILLIS = 1_000L

        // Callers may query a job for two minutes after its end (status_s). Each new owner and each starting entry
        // reads all rows that are kept.
        const val RETENTION_MILLIS = 180_000L
    }
}
