package org.verbenagauge.entry.jobs.engine

/** Order in which jobs get room. A pure decision. */
internal interface JobOrder {
    /** Returns [jobs] with the one that goes first at the front. */
    fun sorted(
        jobs: Collection<JobEntry>,
        now: Long,
    ): List<JobEntry>
}

/** By priority and earliest objective, which is best while all can be met; a naive version of [ObjectiveOrder]. */
internal class EarliestObjectiveOrder(
    private val times: RunTimes,
) : JobOrder {
    override fun sorted(
        jobs: Collection<JobEntry>,
        now: Long,
    ): List<JobEntry> = jobs.sortedWith(compareBy({ it.queue.priority }, { it.objectiveAtMillis(times) }, { it.id }))
}

/** First come, first served within a priority; the naive version of [ObjectiveOrder]. */
internal object ArrivalOrder : JobOrder {
    override fun sorted(
        jobs: Collection<JobEntry>,
        now: Long,
    ): List<JobEntry> = jobs.sortedWith(compareBy({ it.queue.priority }, { it.acceptedAtMillis }, { it.id }))
}

/**
 * Lasting tasks first, then jobs that can still meet their latency objective, by priority and earliest objective; then
 * those that can still be of use although late, the least open work first, so that most of them are served; then the rest.
 * Answers turns of demand beyond what a pool holds and a backlog after an outage, where the oldest jobs are late whatever is
 * done for them.
 */
internal class ObjectiveOrder(
    private val times: RunTimes,
) : JobOrder {
    // In the order in which they are served.
    private enum class Prospect {
        LASTING,
        ON_TIME,
        LATE,
        USELESS,
    }

    private class Ranked(
        val job: JobEntry,
        val prospect: Prospect,
        val priority: Int,
        val urgency: Long,
    )

    override fun sorted(
        jobs: Collection<JobEntry>,
        now: Long,
    ): List<JobEntry> =
        jobs
            .map { ranked(it, now) }
            .sortedWith(compareBy({ it.prospect }, { it.priority }, { it.urgency }, { it.job.id }))
            .map { it.job }

    private fun ranked(
        job: JobEntry,
        now: Long,
    ): Ranked {
        val priority = job.queue.priority
        if (job.isLasting) return Ranked(job, Prospect.LASTING, priority, job.acceptedAtMillis)
        if (job.specification.isScheduled) return Ranked(job, Prospect.ON_TIME, priority, job.acceptedAtMillis)
        val objective = job.objectiveAtMillis(times)
        val doneAtMillis = now + job.remainingMillis(times)
        val uselessAtMillis = job.acceptedAtMillis + (objective - job.acceptedAtMillis) * USEFUL_OBJECTIVES
        return when {
            doneAtMillis <= objective -> Ranked(job, Prospect.ON_TIME, priority, objective)
            doneAtMillis <= uselessAtMillis -> Ranked(job, Prospect.LATE, 0, job.remainingWork(times))
            else -> Ranked(job, Prospect.USELESS, priority, objective)
        }
    }

    private companion object {
        // Callers take a result up to three times the objective after they asked.
        const val USEFUL_OBJECTIVES = 3
    }
}
