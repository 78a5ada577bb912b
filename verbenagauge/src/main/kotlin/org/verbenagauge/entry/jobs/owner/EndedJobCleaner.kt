package org.verbenagauge.entry.jobs.owner

import kotlinx.coroutines.delay
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.jobs.ports.RowChange
import org.verbenagauge.entry.jobs.ports.RowExpectation
import org.verbenagauge.entry.jobs.ports.RowStore
import org.verbenagauge.entry.jobs.ports.TransactionOutcome

/**
 * Clears up after jobs that have ended: their rows shrink to a mark, which keeps the id taken, and are removed with their
 * state after the time for which callers may ask.
 *
 * @param fullRowRetentionMillis time after the end of a job for which its row is kept as it is, for what the next owner tells from it.
 */
internal class EndedJobCleaner(
    private val store: RowStore,
    private val clock: Clock,
    private val fullRowRetentionMillis: Long = 0,
) {
    private val jobsWithFullRow = LinkedHashSet<String>()
    private val endedAtUnixMillis = LinkedHashMap<String, Long>()
    private val expiredStateKeys = ArrayDeque<String>()
    private val refusals = LinkedHashMap<String, Refusal>()

    private class Refusal(
        val version: Long,
        val seenAtMillis: Long,
    )

    /** Told each job whose row is removed. */
    var onJobRemoved: (jobId: String) -> Unit = {}

    /** Takes note that [jobId] ended and that this is stored. */
    fun recordEnd(
        jobId: String,
        unixMillis: Long,
    ) {
        jobsWithFullRow += jobId
        endedAtUnixMillis[jobId] = unixMillis
    }

    /** Takes note that the row of [jobId] bars it, in [version] of that row. */
    fun recordRefusal(
        jobId: String,
        version: Long,
    ) {
        refusals.remove(jobId)
        refusals[jobId] = Refusal(version, clock.monotonicMillis())
    }

    /** Takes up to [maxCount] keys of states that nobody may ask for any more. */
    fun takeExpiredStateKeys(maxCount: Int): List<String> =
        List(minOf(maxCount, expiredStateKeys.size)) { expiredStateKeys.removeFirst() }

    /** Runs until cancelled. */
    suspend fun run() {
        while (true) {
            delay(CLEANUP_INTERVAL_MILLIS)
            truncateEndedRows()
            removeExpiredRows()
            removeExpiredRefusals()
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

    // Held as long as ended jobs are: no attempt is on its way for that long. Its caller may have come back meanwhile.
    private suspend fun removeExpiredRefusals() {
        val oldest = clock.monotonicMillis() - RETENTION_MILLIS
        val old = refusals.entries.takeWhile { it.value.seenAtMillis < oldest }.map { it.key to it.value }
        old.groupBy { StoredTables.work(it.first) }.forEach { (place, all) ->
            val some = all.take(MAX_JOBS)
            val conditions =
                some.map { (id, refusal) ->
                    RowExpectation(place, StoredTables.jobKey(id), refusal.version)
                }
            val changes = some.map { (id, _) -> RowChange(place, StoredTables.jobKey(id), null) }
            when (val outcome = store.transact(conditions, changes, TIMEOUT_MILLIS)) {
                is TransactionOutcome.Applied -> refusals -= some.map { it.first }.toSet()
                is TransactionOutcome.Conflict -> {
                    val versionByKey = outcome.rows.associate { it.key to it.version }
                    refusals -=
                        some
                            .filter { (id, refusal) ->
                                versionByKey[StoredTables.jobKey(id)] != refusal.version
                            }.map { it.first }
                            .toSet()
                }

                else -> Unit
            }
        }
    }

    private suspend fun isApplied(changes: List<RowChange>): Boolean =
        store.transact(emptyList(), changes, TIMEOUT_MILLIS) is TransactionOutcome.Applied

    private companion object {
        const val CLEANUP_INTERVAL_MILLIS = 4_000L

        // Two rows a job stay below the 100 entries of one transaction.
        const val MAX_JOBS = 45
        const val TIMEOUT_MILLIS = 1_000L

        // Callers may ask for two minutes (status_s); what is kept is read by each new owner and each entry that starts.
        const val RETENTION_MILLIS = 180_000L
    }
}
