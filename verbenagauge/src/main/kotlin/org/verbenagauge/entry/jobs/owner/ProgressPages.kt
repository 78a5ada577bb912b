package org.verbenagauge.entry.jobs.owner

import org.verbenagauge.entry.jobs.ports.StoredRow
import org.verbenagauge.entry.jobs.records.ProgressPage
import org.verbenagauge.entry.jobs.records.ProgressRecord
import org.verbenagauge.entry.jobs.records.RecordCodec
import org.verbenagauge.entry.jobs.records.TaskNumbers
import java.util.BitSet
import java.util.TreeMap

/** Name of the page that holds the occurrences that are done. */
internal const val DONE_OCCURRENCES_PAGE = "done"

/**
 * Returns [progress] in pages of at most [maxBytes] by name. Pages without content are left out. Checkpoints that do not
 * fit are left out as well: a task without one starts from its beginning.
 */
internal fun pagesOf(
    progress: ProgressRecord,
    numbers: TaskNumbers,
    maxBytes: Int,
): Map<String, ByteArray> {
    val drafts = TreeMap<Long, PageDraft>()

    fun draftOf(key: String): Pair<PageDraft, Int>? {
        val number = numbers.numberOf(key) ?: return null
        return drafts.getOrPut(number / PAGE_TASKS) { PageDraft() } to (number % PAGE_TASKS).toInt()
    }
    progress.doneTasks.forEach { key -> draftOf(key)?.let { (page, position) -> page.done.set(position) } }
    progress.failedRuns.forEach { (key, runs) -> draftOf(key)?.let { (page, at) -> page.failedRuns[at] = runs } }
    progress.checkpoints.forEach { (key, text) -> draftOf(key)?.let { (page, at) -> page.checkpoints[at] = text } }
    val pages = LinkedHashMap<String, ByteArray>()
    if (progress.doneOccurrenceWords.isNotEmpty()) {
        val record = ProgressRecord(doneOccurrenceWords = progress.doneOccurrenceWords)
        pages[DONE_OCCURRENCES_PAGE] = RecordCodec.encode(ProgressRecord.serializer(), record)
    }
    drafts.forEach { (number, draft) -> pages["$number"] = draft.encode(maxBytes) }
    return pages
}

private class PageDraft {
    val done = BitSet()
    val failedRuns = TreeMap<Int, List<Long>>()
    val checkpoints = TreeMap<Int, String>()

    fun encode(maxBytes: Int): ByteArray {
        while (true) {
            val page = ProgressPage(done.toLongArray().toList(), failedRuns, checkpoints)
            val bytes = RecordCodec.encode(ProgressPage.serializer(), page)
            if (bytes.size <= maxBytes || checkpoints.isEmpty()) return bytes
            val longest = checkpoints.entries.sortedByDescending { it.value.length }.take((checkpoints.size + 1) / 2)
            longest.forEach { checkpoints -= it.key }
        }
    }
}

/**
 * Returns the progress that [row], the row of a job, and [pages] hold together. Earlier releases write only the row, so
 * each may lack what the other holds; what is done in either is done. Returns null if nothing was stored; passes the
 * keys of rows that cannot be read to [onUnreadable].
 */
internal fun mergeProgress(
    row: StoredRow?,
    pages: List<StoredRow>,
    numbers: TaskNumbers,
    onUnreadable: (key: String) -> Unit,
): ProgressRecord? {
    val record = row?.value?.let { RecordCodec.decode(ProgressRecord.serializer(), it) }
    if (row?.value != null && record == null) onUnreadable(row.key)
    if (pages.isEmpty()) return record
    var merged = record ?: ProgressRecord()
    pages.forEach { page ->
        val value = page.value ?: return@forEach
        val read = pageProgress(StoredTables.pageName(page.key), value, numbers)
        if (read == null) onUnreadable(page.key) else merged = merged.plus(read)
    }
    return merged
}

private fun pageProgress(
    name: String,
    value: ByteArray,
    numbers: TaskNumbers,
): ProgressRecord? {
    if (name == DONE_OCCURRENCES_PAGE) return RecordCodec.decode(ProgressRecord.serializer(), value)
    val first = (name.toLongOrNull() ?: return null) * PAGE_TASKS
    val page = RecordCodec.decode(ProgressPage.serializer(), value) ?: return null
    val done = BitSet.valueOf(page.doneWords.toLongArray())
    return ProgressRecord(
        doneTasks =
            done
                .stream()
                .toArray()
                .toList()
                .mapNotNull { numbers.keyOf(first + it) },
        failedRuns = page.failedRuns.mapByTask(first, numbers),
        checkpoints = page.checkpoints.mapByTask(first, numbers),
    )
}

private fun <V> Map<Int, V>.mapByTask(
    first: Long,
    numbers: TaskNumbers,
): Map<String, V> =
    entries.mapNotNull { (position, value) -> numbers.keyOf(first + position)?.let { it to value } }.toMap()

private fun ProgressRecord.plus(other: ProgressRecord): ProgressRecord {
    val failedKeys = failedRuns.keys + other.failedRuns.keys
    val occurrences = BitSet.valueOf(doneOccurrenceWords.toLongArray())
    occurrences.or(BitSet.valueOf(other.doneOccurrenceWords.toLongArray()))
    return ProgressRecord(
        doneTasks = doneTasks + other.doneTasks,
        failedRuns =
            failedKeys.associateWith {
                (failedRuns[it].orEmpty() + other.failedRuns[it].orEmpty()).distinct()
            },
        checkpoints = checkpoints + other.checkpoints,
        isStarted = isStarted || other.isStarted,
        doneOccurrenceWords = occurrences.toLongArray().toList(),
    )
}

// Small enough that the failed runs and checkpoints of all its tasks usually fit into one row.
private const val PAGE_TASKS = 256L
