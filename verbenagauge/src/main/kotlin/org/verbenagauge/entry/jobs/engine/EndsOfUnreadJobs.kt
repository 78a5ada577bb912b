package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.jobs.ports.ListedEnd

/**
 * An end whose job is not read yet.
 *
 * @property workerId worker that listed it.
 * @property bornUnixMillis life of the worker.
 * @property end end.
 * @property listedAtMillis when it was listed.
 */
internal data class EndOfUnreadJob(
    val workerId: String,
    val bornUnixMillis: Long,
    val end: ListedEnd,
    val listedAtMillis: Long,
)

/**
 * Ends of jobs that are not read yet: an earlier owner may have started a job that comes here later. They are kept, and
 * not acknowledged, until the job is read or cannot come any more.
 */
internal class EndsOfUnreadJobs {
    private val endsByJob = LinkedHashMap<String, MutableList<EndOfUnreadJob>>()

    /** Keeps [end]. */
    fun add(end: EndOfUnreadJob) {
        val jobId = end.end.taskId?.jobId ?: return
        endsByJob.getOrPut(jobId) { ArrayList() } += end
    }

    /** Takes out the ends of the job [jobId] in the order of their listing. */
    fun take(jobId: String): List<EndOfUnreadJob> = endsByJob.remove(jobId).orEmpty()

    /** Lets go of ends that were listed before [asOfMillis], when all accepted jobs were read. */
    fun discardListedBefore(asOfMillis: Long) {
        endsByJob.values.forEach { ends -> ends.removeIf { it.listedAtMillis < asOfMillis } }
        endsByJob.values.removeIf { it.isEmpty() }
    }

    /** Whether an end of [worker] is kept. */
    fun hasAny(worker: WorkerEntry): Boolean =
        endsByJob.values.any { ends ->
            ends.any { it.workerId == worker.id && it.bornUnixMillis == worker.bornUnixMillis }
        }

    /** Number of the last end of [worker] before those that are kept, up to [seenEnd]. */
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
