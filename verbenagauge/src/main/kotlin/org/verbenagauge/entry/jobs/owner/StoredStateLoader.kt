package org.verbenagauge.entry.jobs.owner

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.yield
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.jobs.engine.JobEngine
import org.verbenagauge.entry.jobs.ports.ReadResult
import org.verbenagauge.entry.jobs.ports.RowBatch
import org.verbenagauge.entry.jobs.ports.RowPlace
import org.verbenagauge.entry.jobs.ports.RowStore
import org.verbenagauge.entry.jobs.ports.StoredRow
import org.verbenagauge.entry.jobs.records.JobRecord
import org.verbenagauge.entry.jobs.records.RecordCodec
import org.verbenagauge.entry.jobs.records.RosterRecord
import org.verbenagauge.entry.jobs.records.StateRecord
import org.verbenagauge.entry.jobs.records.TaskNumbers
import org.verbenagauge.entry.logging.Event
import org.verbenagauge.entry.logging.EventLog

/**
 * Loads the state that earlier owners stored into the engine of a new owner, after the takeover, when no earlier
 * owner can write any more.
 */
internal class StoredStateLoader(
    private val store: RowStore,
    private val clock: Clock,
    private val log: EventLog,
) {
    /**
     * Reads all tables, retrying until each read succeeds, and returns the version up to which accepted jobs were
     * read.
     */
    suspend fun read(
        engine: JobEngine,
        cleaner: EndedJobCleaner,
        progressRows: ProgressRows,
    ): Long {
        val places =
            listOf(
                listOf(StoredTables.states),
                StoredTables.work,
                listOf(StoredTables.progress),
                listOf(StoredTables.roster),
                listOf(StoredTables.progressPages),
            )
        val (states, work, progress, roster, pages) = coroutineScope { places.map { async { readAll(it) } }.awaitAll() }
        states.rows.forEachInBatches { loadState(it, engine, cleaner) }
        val progressByJob = progress.rows.associateBy { it.key }
        val pagesByJob = pages.rows.filter { it.value != null }.groupBy { StoredTables.jobIdOfPage(it.key) }
        work.rows.forEachInBatches { loadJob(it, progressByJob, pagesByJob, engine, cleaner) }
        val storedIds = work.rows.filter { !isEnded(it) }.mapNotNullTo(HashSet()) { StoredTables.jobIdOf(it.key) }
        pagesByJob.forEach { (jobId, rows) ->
            val isNeeded = jobId in storedIds && !engine.state.hasEnded(jobId)
            val keys = rows.map { it.key }
            if (isNeeded) progressRows.recordStored(jobId, keys) else progressRows.recordObsolete(keys)
        }
        work.rows.forEachInBatches { loadCancellation(it, engine, cleaner) }
        roster.rows.forEachInBatches { loadWorker(it, engine) }
        val progressCount = progress.rows.size + pages.rows.size
        val counts = "${work.rows.size} job rows, $progressCount progress rows, ${roster.rows.size} worker rows"
        val durationMillis = clock.monotonicMillis() - engine.state.startedAtMillis
        log.write(Event.JOBS_INHERITED, "$counts; completed $durationMillis ms after the takeover")
        return work.version
    }

    private fun isEnded(row: StoredRow) = row.value?.let(StoredTables::isEndedTombstone) ?: true

    // Yields between batches, since the same thread renews the lease.
    private suspend fun List<StoredRow>.forEachInBatches(action: (StoredRow) -> Unit) {
        chunked(BATCH_ROWS).forEach { rows ->
            rows.forEach(action)
            yield()
        }
    }

    private fun loadState(
        row: StoredRow,
        engine: JobEngine,
        cleaner: EndedJobCleaner,
    ) {
        val jobId = StoredTables.jobIdOf(row.key) ?: return
        val record = row.value?.let { RecordCodec.decode(StateRecord.serializer(), it) } ?: return
        if (!record.state.isFinal) return
        engine.state.rememberEnd(jobId)
        cleaner.recordEnd(jobId, record.sinceUnixMillis)
    }

    private fun loadJob(
        row: StoredRow,
        progressByJob: Map<String, StoredRow>,
        pagesByJob: Map<String, List<StoredRow>>,
        engine: JobEngine,
        cleaner: EndedJobCleaner,
    ) {
        val jobId = StoredTables.jobIdOf(row.key) ?: return
        val value = row.value ?: return
        if (StoredTables.isEndedTombstone(value)) return
        val record = RecordCodec.decode(JobRecord.serializer(), value)
        if (record == null) {
            if (StoredTables.isBar(value)) cleaner.recordRefusal(jobId, row.version)
            return
        }
        val pages = pagesByJob[jobId].orEmpty()
        val progress =
            mergeProgress(progressByJob[jobId], pages, TaskNumbers(record.specification)) { key ->
                log.write(Event.DOCUMENT_UNREADABLE, key, "progress of a job; its tasks may start again")
            }
        val ageMillis = (clock.wallMillis() - record.acceptedUnixMillis).coerceAtLeast(0)
        val now = clock.monotonicMillis()
        engine.inherit(jobId, record, progress, now - ageMillis, now)
    }

    private fun loadCancellation(
        row: StoredRow,
        engine: JobEngine,
        cleaner: EndedJobCleaner,
    ) {
        val jobId = StoredTables.cancelledId(row.key) ?: return
        if (!engine.cancel(jobId, clock.monotonicMillis())) cleaner.recordUnusedCancellation(jobId, row.version)
    }

    private fun loadWorker(
        row: StoredRow,
        engine: JobEngine,
    ) {
        val record = row.value?.let { RecordCodec.decode(RosterRecord.serializer(), it) }
        if (record != null) {
            engine.restoreWorker(row.key, record, clock.monotonicMillis())
            return
        }
        engine.state.isRosterKnown = false
        log.write(Event.DOCUMENT_UNREADABLE, row.key, "roster row of a worker; waiting for its leases to expire")
    }

    // Reads each partition separately, so that a lost answer repeats the read of only one partition.
    private suspend fun readAll(places: List<RowPlace>): RowBatch {
        val batches = coroutineScope { places.map { async { readPartition(it) } }.awaitAll() }
        return RowBatch(batches.flatMap { it.rows }, batches.minOf { it.version })
    }

    private suspend fun readPartition(place: RowPlace): RowBatch {
        while (true) {
            val read = store.readAll(listOf(place))
            if (read is ReadResult.Read) return read.value
            log.write(Event.INHERITANCE_DELAYED, place.table, "retrying partition '${place.partition}': $read")
            delay(RETRY_MILLIS)
        }
    }

    private companion object {
        // A batch takes some milliseconds on a slow machine.
        const val BATCH_ROWS = 20
        const val RETRY_MILLIS = 50L
    }
}
