package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.load.LoadSettings
import org.verbenagauge.entry.load.ShareStatus

/**
 * Sort key of a waiting job; lower ranks start first.
 *
 * @property group compared first.
 * @property priority compared within the group.
 * @property urgency compared last, before the job ID.
 * @property validUntilMillis last time at which the rank is valid while neither the job nor its expected run times
 *   change.
 * @property isByObjective whether [urgency] is the time of the job's latency objective.
 * @property surplusAccount account whose surplus the job belongs to; null if the job is within its account's share.
 */
internal class Rank(
    val job: JobEntry,
    val group: Int,
    val priority: Int,
    val urgency: Long,
    val validUntilMillis: Long = Long.MAX_VALUE,
    val isByObjective: Boolean = false,
    val surplusAccount: String? = null,
) : Comparable<Rank> {
    override fun compareTo(other: Rank): Int {
        if (group != other.group) return group.compareTo(other.group)
        if (priority != other.priority) return priority.compareTo(other.priority)
        if (urgency != other.urgency) return urgency.compareTo(other.urgency)
        return job.id.compareTo(other.job.id)
    }
}

/** Returns the factory of the job order that these settings select. */
internal fun LoadSettings.order(): (RunTimes) -> JobOrder =
    { times ->
        val order = if (accountShares) AccountShareOrder(times) else ObjectiveOrder(times)
        if (hopelessWork) RetriesFirstOrder(order) else order
    }

/** Order in which waiting jobs start. Implementations have no side effects. */
internal interface JobOrder {
    /** Returns the rank of [job] at [now]. */
    fun rank(
        job: JobEntry,
        now: Long,
    ): Rank

    /** Returns [jobs] sorted by rank, the first one to start at the front. */
    fun sorted(
        jobs: Collection<JobEntry>,
        now: Long,
    ): List<JobEntry> = jobs.map { rank(it, now) }.sorted().map { it.job }
}

/**
 * Orders jobs by priority and earliest objective, which is optimal while all objectives can be met. Baseline for
 * [ObjectiveOrder].
 */
internal class EarliestObjectiveOrder(
    private val times: RunTimes,
) : JobOrder {
    override fun rank(
        job: JobEntry,
        now: Long,
    ) = Rank(job, group = 0, job.queue.priority, job.objectiveAtMillis(times))
}

/** Orders jobs by time of acceptance within a priority. Baseline for [ObjectiveOrder]. */
internal object ArrivalOrder : JobOrder {
    override fun rank(
        job: JobEntry,
        now: Long,
    ) = Rank(job, group = 0, job.queue.priority, job.acceptedAtMillis)
}

/**
 * Orders lasting jobs first, then jobs that can still meet their latency objective, by priority and earliest objective.
 * Next come late jobs whose result is still useful, least remaining work first, so that as many as possible complete in
 * time to be useful; all others come last. This keeps new jobs on time when demand exceeds the capacity of a pool and
 * behind a backlog after an outage, where the oldest jobs miss their objectives in any case.
 */
internal class ObjectiveOrder(
    private val times: RunTimes,
) : JobOrder {
    // The ordinal is the rank's group: earlier constants start first.
    private enum class ServingGroup {
        LASTING,
        ON_TIME,
        LATE,
        USELESS,
    }

    override fun rank(
        job: JobEntry,
        now: Long,
    ): Rank {
        val priority = job.queue.priority
        if (job.isLasting) return Rank(job, ServingGroup.LASTING.ordinal, priority, job.acceptedAtMillis)
        if (job.specification.isScheduled) {
            return Rank(job, ServingGroup.ON_TIME.ordinal, priority, job.acceptedAtMillis)
        }
        val objective = job.objectiveAtMillis(times)
        val remainingMillis = job.remainingMillis(times)
        val onTimeUntilMillis = objective - remainingMillis
        val uselessAtMillis = job.acceptedAtMillis + (objective - job.acceptedAtMillis) * USEFUL_OBJECTIVE_MULTIPLE
        val usefulUntilMillis = uselessAtMillis - remainingMillis
        return when {
            now <= onTimeUntilMillis ->
                Rank(job, ServingGroup.ON_TIME.ordinal, priority, objective, onTimeUntilMillis, isByObjective = true)
            now <= usefulUntilMillis ->
                Rank(job, ServingGroup.LATE.ordinal, 0, job.remainingWork(times), usefulUntilMillis)
            else -> Rank(job, ServingGroup.USELESS.ordinal, priority, objective)
        }
    }

    private companion object {
        // A result is useful to callers until three times the objective has passed since the job was accepted.
        const val USEFUL_OBJECTIVE_MULTIPLE = 3
    }
}

/**
 * Orders jobs within the share of their account as [ObjectiveOrder] does, except that the objectives of an account that
 * exceeds its rate count as if it had sent its jobs at that rate. Surplus follows, grouped by account. An account that
 * sends many times its usual load for some seconds thus delays only its own jobs. [ObjectiveOrder] is the baseline.
 */
internal class AccountShareOrder(
    times: RunTimes,
) : JobOrder {
    private val order = ObjectiveOrder(times)

    override fun rank(
        job: JobEntry,
        now: Long,
    ): Rank {
        val rank = order.rank(job, now)
        val share = job.share
        if (share == ShareStatus.WITHIN_SHARE) return rank
        val account = if (share.isSurplus) job.record.teamName else null
        val urgency = if (rank.isByObjective) rank.urgency + share.aheadMillis else rank.urgency
        return Rank(job, rank.group, rank.priority, urgency, rank.validUntilMillis, rank.isByObjective, account)
    }
}

/**
 * Orders retries of jobs that may fail on every worker first, so that their outcome is known soon within the small part
 * of the capacity that they get. All other jobs are ordered by [order].
 */
internal class RetriesFirstOrder(
    private val order: JobOrder,
) : JobOrder {
    override fun rank(
        job: JobEntry,
        now: Long,
    ): Rank {
        val rank = order.rank(job, now)
        if (job.retry == null) return rank
        return Rank(job, group = -1, rank.priority, job.acceptedAtMillis, surplusAccount = rank.surplusAccount)
    }
}
