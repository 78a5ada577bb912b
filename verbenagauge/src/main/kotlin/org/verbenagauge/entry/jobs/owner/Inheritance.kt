package org.verbenagauge.entry.jobs.owner

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.yield
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.jobs.engine.JobEngine
import org.verbenagauge.entry.jobs.ports.ReadResult
import org.verbenagauge.entry.jobs.ports.RowBatch
import org.verbenagauge.entry.jobs.ports.RowPlace
import org.verbenagauge.entry.jobs.ports.RowStore
import org.verbenagauge.entry.jobs.ports.StoredRow
import org.verbenagauge.entry.jobs.records.JobRecord
import org.verbenagauge.entry.jobs.records.ProgressRecord
import org.verbenagauge.entry.jobs.records.RecordCodec
import org.verbenagauge.entry.jobs.records.RosterRecord
import org.verbenagauge.entry.jobs.records.StateRecord
import org.verbenagauge.entry.logging.Event
import org.verbenagauge.entry.logging.EventLog

/** Brings what earlier owners have stored to the engine of a new one. No earlier owner can write any more. */
internal class Inheritance(
    private val store: RowStore,
    private val clock: Clock,
    private val log: EventLog,
) {
    /** Returns the version up to which accepted jobs were read; null when the store did not answer. */
    suspend fun read(
        engine: JobEngine,
        janitor: Janitor,
    ): Long? {
        val places =
            listOf(
                listOf(StoredTables.states),
                StoredTables.work,
                listOf(StoredTables.progress),
                listOf(StoredTables.roster),
            )
        val read = coroutineScope { places.map { async { readAll(it) } }.awaitAll() }
        val (states, work, progress, roster) = read.map { it ?: return null }
        states.rows.inTurns { takeState(it, engine, janitor) }
        val progressByJob = progress.rows.associateBy { it.key }
        work.rows.inTurns { takeJob(it, progressByJob, engine) }
        work.rows.mapNotNull { StoredTables.cancelledOf(it.key) }.forEach { engine.cancel(it, clock.monotonicMillis()) }
        roster.rows.inTurns { takeWorker(it, engine) }
        val counts = "${work.rows.size} rows of work, ${progress.rows.size} of progress, ${roster.rows.size} of workers"
        val tookMillis = clock.monotonicMillis() - engine.state.startedAtMillis
        log.write(Event.JOBS_INHERITED, "$counts, after $tookMillis ms")
        return work.version
    }

    // The lease is renewed by the same thread.
    private suspend fun List<StoredRow>.inTurns(take: (StoredRow) -> Unit) {
        chunked(ROWS_IN_A_TURN).forEach { rows ->
            rows.forEach(take)
            yield()
        }
    }

    private fun takeState(
        row: StoredRow,
        engine: JobEngine,
        janitor: Janitor,
    ) {
        val jobId = StoredTables.jobOf(row.key) ?: return
        val record = row.value?.let { RecordCodec.decode(StateRecord.serializer(), it) } ?: return
        if (!record.state.isFinal) return
        engine.state.rememberEnd(jobId)
        janitor.ended(jobId, record.sinceUnixMillis)
    }

    private fun takeJob(
        row: StoredRow,
        progressByJob: Map<String, StoredRow>,
        engine: JobEngine,
    ) {
        val jobId = StoredTables.jobOf(row.key) ?: return
        val value = row.value ?: return
        if (StoredTables.isEndedMark(value)) return
        val record = RecordCodec.decode(JobRecord.serializer(), value) ?: return
        val progress = progressByJob[jobId]?.value?.let { RecordCodec.decode(ProgressRecord.serializer(), it) }
        val ageMillis = (clock.wallMillis() - record.acceptedUnixMillis).coerceAtLeast(0)
        val now = clock.monotonicMillis()
        engine.inherit(jobId, record, progress, now - ageMillis, now)
    }

    private fun takeWorker(
        row: StoredRow,
        engine: JobEngine,
    ) {
        val record = row.value?.let { RecordCodec.decode(RosterRecord.serializer(), it) }
        if (record != null) {
            engine.recall(row.key, record, clock.monotonicMillis())
            return
        }
        engine.state.isRosterKnown = false
        log.write(Event.DOCUMENT_UNREADABLE, row.key, "a worker of the roster; its leases are waited for")
    }

    private suspend fun readAll(places: List<RowPlace>): RowBatch? =
        when (val read = store.readAll(places)) {
            is ReadResult.Read -> read.value
            else -> {
                log.write(Event.OWNERSHIP_NOT_TAKEN, "'${places.first().table}' could not be read: $read")
                null
            }
        }

    private companion object {
        // Some milliseconds on a slow machine.
        const val ROWS_IN_A_TURN = 20
    }
}
