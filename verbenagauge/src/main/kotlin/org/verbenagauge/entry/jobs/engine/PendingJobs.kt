package org.verbenagauge.entry.jobs.engine

/** Counts the jobs of each queue without a started run; those that start by the clock do not count. */
internal class PendingJobs {
    private val countByQueue = HashMap<String, Int>()

    /** Counts by queue. */
    fun byQueue(): Map<String, Int> = HashMap(countByQueue)

    /** Takes note of [job]. */
    fun add(job: JobEntry) {
        change(job, 1)
    }

    /** Takes note that [job] has started, or has ended before it did. */
    fun remove(job: JobEntry) {
        change(job, -1)
    }

    private fun change(
        job: JobEntry,
        change: Int,
    ) {
        if (job.specification.isScheduled) return
        val count = (countByQueue[job.queue.name] ?: 0) + change
        if (count == 0) countByQueue.remove(job.queue.name) else countByQueue[job.queue.name] = count
    }
}
