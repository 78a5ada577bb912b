package org.verbenagauge.entry.jobs.engine

/** Counts the jobs of each queue of which no run has started, without jobs on a schedule. */
internal class PendingJobs {
    private val countByQueue = HashMap<String, Int>()

    /** Returns the number of pending jobs by queue; queues without any are omitted. */
    fun byQueue(): Map<String, Int> = HashMap(countByQueue)

    /** Counts [job]. */
    fun add(job: JobEntry) {
        change(job, 1)
    }

    /** Stops counting [job], which has started or has ended without starting. */
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
