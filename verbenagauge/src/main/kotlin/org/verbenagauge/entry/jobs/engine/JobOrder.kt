package org.verbenagauge.entry.jobs.engine

/** Order in which jobs get room. A pure decision. */
internal interface JobOrder {
    /** Returns [jobs] with the one that goes first at the front. */
    fun sorted(
        jobs: Collection<JobEntry>,
        now: Long,
    ): List<JobEntry>
}

/** First come, first served within a priority; the naive version of [ObjectiveOrder]. */
internal object ArrivalOrder : JobOrder {
    override fun sorted(
        jobs: Collection<JobEntry>,
        now: Long,
    ): List<JobEntry> = jobs.sortedWith(compareBy({ it.queue.priority }, { it.acceptedAtMillis }, { it.id }))
}

/**
 * Lasting tasks first, then jobs that can still meet their latency objective, then priority, then the earliest
 * objective. Answers a backlog after an outage, where the oldest jobs are late whatever is done for them.
 */
internal class ObjectiveOrder(
    private val times: RunTimes,
) : JobOrder {
    private class Ranked(
        val job: JobEntry,
        val isHopeless: Boolean,
        val objectiveAtMillis: Long,
    )

    override fun sorted(
        jobs: Collection<JobEntry>,
        now: Long,
    ): List<JobEntry> =
        jobs
            .map { ranked(it, now) }
            .sortedWith(
                compareBy<Ranked>({ !it.job.isLasting }, { it.isHopeless }, { it.job.queue.priority })
                    .thenBy { it.objectiveAtMillis }
                    .thenBy { it.job.id },
            ).map { it.job }

    private fun ranked(
        job: JobEntry,
        now: Long,
    ): Ranked {
        if (job.isLasting || job.specification.isScheduled) return Ranked(job, false, job.acceptedAtMillis)
        val objective = job.objectiveAtMillis(times)
        return Ranked(job, now + job.remainingMillis(times) > objective, objective)
    }
}
