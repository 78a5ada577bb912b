package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.load.LoadSettings
import org.verbenagauge.entry.load.ShareStatus

/**
 * Place of a job among those that wait; lower ones go first.
 *
 * @property group part of the order, compared first.
 * @property priority priority within the group.
 * @property urgency compared last, before the id of the job.
 * @property validUntilMillis last time at which the place holds while neither the job nor what is expected of it changes.
 * @property isByObjective whether [urgency] is a time by which callers expect the job to be completed.
 * @property surplusOf account in whose line of surplus the job stands; null within the share of its account.
 */
internal class Rank(
    val job: JobEntry,
    val group: Int,
    val priority: Int,
    val urgency: Long,
    val validUntilMillis: Long = Long.MAX_VALUE,
    val isByObjective: Boolean = false,
    val surplusOf: String? = null,
) : Comparable<Rank> {
    override fun compareTo(other: Rank): Int {
        if (group != other.group) return group.compareTo(other.group)
        if (priority != other.priority) return priority.compareTo(other.priority)
        if (urgency != other.urgency) return urgency.compareTo(other.urgency)
        return job.id.compareTo(other.job.id)
    }
}

/** Order of jobs under these decisions. */
internal fun LoadSettings.order(): (RunTimes) -> JobOrder =
    { times ->
        val order = if (accountShares) ShareOrder(times) else ObjectiveOrder(times)
        if (hopelessWork) RetriesFirst(order) else order
    }

/** Order in which jobs get room. A pure decision. */
internal interface JobOrder {
    /** Returns the place of [job] at [now]. */
    fun rank(
        job: JobEntry,
        now: Long,
    ): Rank

    /** Returns [jobs] with the one that goes first at the front. */
    fun sorted(
        jobs: Collection<JobEntry>,
        now: Long,
    ): List<JobEntry> = jobs.map { rank(it, now) }.sorted().map { it.job }
}

/** By priority and earliest objective, which is best while all can be met; a naive version of [ObjectiveOrder]. */
internal class EarliestObjectiveOrder(
    private val times: RunTimes,
) : JobOrder {
    override fun rank(
        job: JobEntry,
        now: Long,
    ) = Rank(job, group = 0, job.queue.priority, job.objectiveAtMillis(times))
}

/** First come, first served within a priority; the naive version of [ObjectiveOrder]. */
internal object ArrivalOrder : JobOrder {
    override fun rank(
        job: JobEntry,
        now: Long,
    ) = Rank(job, group = 0, job.queue.priority, job.acceptedAtMillis)
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

    override fun rank(
        job: JobEntry,
        now: Long,
    ): Rank {
        val priority = job.queue.priority
        if (job.isLasting) return Rank(job, Prospect.LASTING.ordinal, priority, job.acceptedAtMillis)
        if (job.specification.isScheduled) return Rank(job, Prospect.ON_TIME.ordinal, priority, job.acceptedAtMillis)
        val objective = job.objectiveAtMillis(times)
        val remainingMillis = job.remainingMillis(times)
        val onTimeUntilMillis = objective - remainingMillis
        val uselessAtMillis = job.acceptedAtMillis + (objective - job.acceptedAtMillis) * USEFUL_OBJECTIVES
        val usefulUntilMillis = uselessAtMillis - remainingMillis
        return when {
            now <= onTimeUntilMillis ->
                Rank(job, Prospect.ON_TIME.ordinal, priority, objective, onTimeUntilMillis, isByObjective = true)
            now <= usefulUntilMillis ->
                Rank(job, Prospect.LATE.ordinal, 0, job.remainingWork(times), usefulUntilMillis)
            else -> Rank(job, Prospect.USELESS.ordinal, priority, objective)
        }
    }

    private companion object {
        // Callers take a result up to three times the objective after they asked.
        const val USEFUL_OBJECTIVES = 3
    }
}

/**
 * What lies within the share of its account as in [ObjectiveOrder], but an account that runs ahead of its rate is served as if it
 * had sent its work at that rate; then surplus, in a line an account. Answers one account that sends many times its usual
 * for seconds: it delays itself. [ObjectiveOrder] is the naive version.
 */
internal class ShareOrder(
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

/** Jobs in doubt first, so that they are settled soon in the small part of the room that they get; the rest as in [order]. */
internal class RetriesFirst(
    private val order: JobOrder,
) : JobOrder {
    override fun rank(
        job: JobEntry,
        now: Long,
    ): Rank {
        val rank = order.rank(job, now)
        if (job.retry == null) return rank
        return Rank(job, group = -1, rank.priority, job.acceptedAtMillis, surplusOf = rank.surplusOf)
    }
}
