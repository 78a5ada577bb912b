package org.verbenagauge.entry.jobs.engine

/** Order in which jobs get room. A pure decision. */
internal interface JobOrder {
    /** Returns [jobs] with the one that goes first at the front. */
    fun sorted(
        jobs: Collection<JobEntry>,
        now: Long,
    ): List<JobEntry>
}

/**
 * Lasting tasks first, then priority, then the earliest latency objective; jobs that cannot meet theirs any more come
 * after those that can.
 */
internal class ObjectiveOrder : JobOrder {
    override fun sorted(
        jobs: Collection<JobEntry>,
        now: Long,
    ): List<JobEntry> =
        jobs.sortedWith(
            compareBy<JobEntry>({ !it.isLasting }, { isLate(it, now) }, { it.queue.priority })
                .thenBy { it.objectiveAtMillis }
                .thenBy { it.id },
        )

    private fun isLate(
        job: JobEntry,
        now: Long,
    ) = !job.isLasting && !job.specification.isScheduled && now > job.objectiveAtMillis
}
