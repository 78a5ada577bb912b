package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.jobs.ports.ListedEnd

/**
 * End of a run whose job has not been read yet.
 *
 * @property workerId worker that listed the end.
 * @property bornUnixMillis start time that identifies the incarnation of the worker.
 */
internal data class EndOfUnreadJob(
    val workerId: String,
    val bornUnixMillis: Long,
    val end: ListedEnd,
    val listedAtMillis: Long,
)

/**
 * Ends of runs whose jobs have not been read yet, since an earlier owner may have started a job that this owner reads
 * later. They are kept, and not acknowledged, until the job is read or can no longer appear.
 */
internal class EndsOfUnreadJobs {
    private val endsByJob = LinkedHashMap<String, MutableList<EndOfUnreadJob>>()

    /** Adds [end]; does nothing if it names no task. */
    fun add(end: EndOfUnreadJob) {
        val jobId = end.end.taskId?.jobId ?: return
        endsByJob.getOrPut(jobId) { ArrayList() } += end
    }

    /** Removes and returns the ends of the job [jobId], in the order in which they were listed. */
    fun take(jobId: String): List<EndOfUnreadJob> = endsByJob.remove(jobId).orEmpty()

    /** Discards ends that were listed before [asOfMillis]; every job accepted before that time has been read. */
    fun discardListedBefore(asOfMillis: Long) {
        endsByJob.values.forEach { ends -> ends.removeIf { it.listedAtMillis < asOfMillis } }
        endsByJob.values.removeIf { it.isEmpty() }
    }

    /** Whether an end of [worker] is kept. */
    fun hasAny(worker: WorkerEntry): Boolean =
        endsByJob.values.any { ends ->
            ends.any { it.workerId == worker.id && it.bornUnixMillis == worker.bornUnixMillis }
        }

    /** Number of the last end of [worker] that precedes all its kept ends, at most [seenEnd]. */
    fun lastAcknowledgeable(
        worker: WorkerEntry,
        seenEnd: Long,
    ): Long =
        endsByJob.values
            .asSequence()
            .flatten()
            .filter { it.workerId == worker.id && it.bornUnixMillis == worker.bornUnixMillis }
            .minOfOrNull { it.end.number - 1 }
            ?.coerceAtMost(seenEnd)
            ?: seenEnd
}
