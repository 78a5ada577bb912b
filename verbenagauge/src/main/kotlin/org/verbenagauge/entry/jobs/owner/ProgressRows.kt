package org.verbenagauge.entry.jobs.owner

import org.verbenagauge.entry.jobs.engine.JobChange
import org.verbenagauge.entry.jobs.ports.RowChange
import org.verbenagauge.entry.jobs.records.ProgressRecord
import org.verbenagauge.entry.jobs.records.RecordCodec
import org.verbenagauge.entry.jobs.records.TaskNumbers
import java.util.BitSet

/**
 * Write of the progress of one job.
 *
 * @property isComplete whether everything is stored once these rows are; if not, another write has to follow.
 */
internal class ProgressWrite(
    val rows: List<RowChange>,
    val isComplete: Boolean,
)

/**
 * Derives the rows that store the progress of jobs. Progress that fits into one row is stored there, in the form that
 * earlier releases read. Other progress is stored in pages, of which only the changed ones are written; its row then
 * keeps the part that fits, since an earlier release that takes over reads nothing else.
 */
internal class ProgressRows(
    private val maxRowBytes: Int = MAX_ROW_BYTES,
) {
    private class PagedJob {
        val storedByPage = HashMap<String, ByteArray?>()
        var storedRow: ByteArray? = null
    }

    private val pagedJobs = HashMap<String, PagedJob>()
    private val maxBytesByJob = HashMap<String, Int>()
    private val obsoleteKeys = ArrayDeque<String>()

    /** Records that [pageKeys] were stored for the job [jobId], with contents that may be out of date. */
    fun recordStored(
        jobId: String,
        pageKeys: Collection<String>,
    ) {
        val job = pagedJobs.getOrPut(jobId) { PagedJob() }
        pageKeys.forEach { job.storedByPage[StoredTables.pageName(it)] = null }
    }

    /** Records that the job that the pages [keys] continue is no longer there. */
    fun recordObsolete(keys: Collection<String>) {
        obsoleteKeys += keys
    }

    /** Removes and returns up to [maxCount] keys of pages of jobs that have ended. */
    fun takeObsoleteKeys(maxCount: Int): List<String> =
        List(minOf(maxCount, obsoleteKeys.size)) { obsoleteKeys.removeFirst() }

    /** Returns the next write of [change]; [confirm] has to follow when it is stored. */
    fun write(change: JobChange): ProgressWrite {
        val progress = change.progress ?: return ProgressWrite(removal(change.jobId), isComplete = true)
        val maxBytes = maxBytesByJob[change.jobId] ?: maxRowBytes
        val paged = pagedJobs[change.jobId]
        if (paged != null) return pagedWrite(change.jobId, paged, progress, change.numbers, maxBytes)
        val record = inEarlierForm(progress, maxBytes)
        if (record.isWhole) return ProgressWrite(listOf(row(change.jobId, record.encode())), isComplete = true)
        val newlyPaged = pagedJobs.getOrPut(change.jobId) { PagedJob() }
        return pagedWrite(change.jobId, newlyPaged, progress, change.numbers, maxBytes)
    }

    // The occurrences that are done come first: the pages of their tasks no longer tell it. The row comes last: when the
    // progress outgrows it, it holds the only stored copy until all pages are stored.
    private fun pagedWrite(
        jobId: String,
        job: PagedJob,
        progress: ProgressRecord,
        numbers: TaskNumbers,
        maxBytes: Int,
    ): ProgressWrite {
        val pages = pagesOf(progress, numbers, maxBytes)
        val changed = pages.filter { (name, bytes) -> !bytes.contentEquals(job.storedByPage[name]) }
        val rows = ArrayList<RowChange>()
        var bytes = 0
        changed.forEach { (name, value) ->
            if (rows.isNotEmpty() && (rows.size >= MAX_ROWS || bytes + value.size > MAX_WRITE_BYTES)) {
                return ProgressWrite(rows, isComplete = false)
            }
            rows += RowChange(StoredTables.progressPages, StoredTables.pageKey(jobId, name), value)
            bytes += value.size
        }
        val emptied = job.storedByPage.keys - pages.keys
        val removals = emptied.take(MAX_ROWS - minOf(MAX_ROWS, rows.size))
        rows +=
            removals.map { RowChange(StoredTables.progressPages, StoredTables.pageKey(jobId, it), null) }
        val record = inEarlierForm(progress, maxBytes).encode()
        if (!record.contentEquals(job.storedRow)) rows += row(jobId, record)
        return ProgressWrite(rows, isComplete = removals.size == emptied.size)
    }

    private fun row(
        jobId: String,
        value: ByteArray?,
    ) = RowChange(StoredTables.progress, jobId, value)

    private fun removal(jobId: String): List<RowChange> = listOf(row(jobId, null))

    /** Records that [rows] of the job [jobId] are stored. */
    fun confirm(
        jobId: String,
        rows: List<RowChange>,
        hasEnded: Boolean,
    ) {
        val job = pagedJobs[jobId]
        if (hasEnded) {
            maxBytesByJob -= jobId
            pagedJobs -= jobId
            job?.storedByPage?.keys?.mapTo(obsoleteKeys) { StoredTables.pageKey(jobId, it) }
            return
        }
        if (job == null) return
        rows.forEach { row ->
            val value = row.value
            when {
                row.place == StoredTables.progress -> job.storedRow = value
                row.place != StoredTables.progressPages -> Unit
                value == null -> job.storedByPage -= StoredTables.pageName(row.key)
                else -> job.storedByPage[StoredTables.pageName(row.key)] = value
            }
        }
    }

    /**
     * Records that the store never accepts the last write of the job [jobId]; the next one has smaller rows. Returns
     * false if they cannot be smaller.
     */
    fun shrink(jobId: String): Boolean {
        val maxBytes = (maxBytesByJob[jobId] ?: maxRowBytes) / 2
        if (maxBytes < MIN_ROW_BYTES) return false
        maxBytesByJob[jobId] = maxBytes
        return true
    }

    private class EarlierForm(
        val record: ProgressRecord,
        val isWhole: Boolean,
    ) {
        fun encode(): ByteArray = RecordCodec.encode(ProgressRecord.serializer(), record)
    }

    // Releases before pages list each occurrence that is done; of what exceeds [maxBytes] the rest is left out.
    private fun inEarlierForm(
        progress: ProgressRecord,
        maxBytes: Int,
    ): EarlierForm {
        var remaining = maxBytes - FIXED_BYTES
        var isWhole = true

        fun fits(bytes: Int): Boolean {
            remaining -= bytes
            if (remaining < 0) isWhole = false
            return isWhole
        }
        val occurrences = BitSet.valueOf(progress.doneOccurrenceWords.toLongArray())
        val doneOccurrences =
            occurrences
                .stream()
                .mapToObj { "$it" }
                .iterator()
                .asSequence()
        val done =
            (progress.doneTasks.asSequence() + doneOccurrences)
                .takeWhile {
                    fits(
                        it.length + HEAD_BYTES,
                    )
                }.toList()
        val failed =
            progress.failedRuns.filter { (key, runs) ->
                fits(
                    key.length + HEAD_BYTES * 2 + runs.size * RUN_BYTES,
                )
            }
        val checkpoints =
            progress.checkpoints.filter { (key, text) ->
                fits(
                    key.length + text.encodeToByteArray().size + HEAD_BYTES * 2,
                )
            }
        return EarlierForm(ProgressRecord(done, failed, checkpoints, progress.isStarted), isWhole)
    }

    private companion object {
        // Leaves a part of a row of 64 KB for later releases.
        const val MAX_ROW_BYTES = 60_000
        const val MIN_ROW_BYTES = 4_000

        // Leaves room for other jobs in a transaction of 100 rows and 1 MB in Base64.
        const val MAX_ROWS = 30
        const val MAX_WRITE_BYTES = 300_000

        // Longest encodings: the names of the fields, the head of a text, a run number.
        const val FIXED_BYTES = 200
        const val HEAD_BYTES = 3
        const val RUN_BYTES = 9
    }
}
