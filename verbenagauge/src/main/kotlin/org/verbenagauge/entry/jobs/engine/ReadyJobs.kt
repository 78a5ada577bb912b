package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.jobs.model.Amount
import java.util.PriorityQueue

/**
 * Index of the jobs with ready tasks, by service and in the order in which they start. A change of a job or of its
 * expected run times updates the rank of that job only; ranks that expire are kept in a queue by time of expiry.
 */
internal class ReadyJobs(
    private val order: JobOrder,
    private val times: RunTimes,
    private val accounts: AccountUsage,
) {
    private val readyByService = HashMap<String, ServiceReadyJobs>()

    /** Services with waiting jobs. */
    val services: List<String> get() = readyByService.entries.filter { !it.value.isEmpty }.map { it.key }

    /** Records that a task of [step] has changed and that its number of ready tasks has changed by [readyChange]. */
    fun changed(
        step: StepEntry,
        readyChange: Int,
    ) {
        val job = step.occurrence.job
        readyByService
            .getOrPut(job.queue.serviceName) { ServiceReadyJobs(order, times, accounts) }
            .changed(step, readyChange)
    }

    /** Marks the rank of [job] for an update, for example after a change of its account share or its retry state. */
    fun rankChanged(job: JobEntry) {
        readyByService[job.queue.serviceName]?.rankChanged(job)
    }

    /** Adds [job] with its ready tasks under the present settings of its queue, after [remove]. */
    fun add(job: JobEntry) {
        job.open.values
            .flatMap { it.steps }
            .filter { it.readyCount > 0 }
            .forEach { changed(it, it.readyCount) }
    }

    /** Removes [job], which has ended or whose queue settings are about to change. */
    fun remove(job: JobEntry) {
        readyByService[job.queue.serviceName]?.remove(job)
    }

    /** Returns the ranks of the jobs of [serviceName] that wait at [now], the first one to start at the front. */
    fun inOrder(
        serviceName: String,
        now: Long,
    ): Iterable<Rank> = readyByService[serviceName]?.inOrder(now) ?: emptyList()

    /** Begins a pass over the jobs of [serviceName] that wait at [now]. */
    fun beginPass(
        serviceName: String,
        now: Long,
    ): ReadyPass? = readyByService[serviceName]?.beginPass(now)

    /** Returns the capacity that ready tasks of [serviceName] need, by team. */
    fun waitingByTeam(serviceName: String): Map<String, Amount> = readyByService[serviceName]?.waitingByTeam.orEmpty()
}

/** Jobs of one service with ready tasks. */
private class ServiceReadyJobs(
    private val order: JobOrder,
    private val times: RunTimes,
    accounts: AccountUsage,
) {
    private class RankedJob(
        val rank: Rank,
        val version: Int,
    )

    val waitingByTeam = HashMap<String, Amount>()
    private val rankedByJob = HashMap<JobEntry, RankedJob>()
    private val ranks = RankIndex()
    private val surplus = SurplusJobs(accounts)
    private val scan = ReadyScan(ranks, surplus)
    private val expiring = PriorityQueue<Rank>(compareBy { it.validUntilMillis })
    private val changed = LinkedHashSet<JobEntry>()
    private val versionByQueue = HashMap<String, Int>()

    // Jobs whose ranks have to be updated after a change of expected run times, in rank order.
    private val outdated = ArrayDeque<JobEntry>()
    private var isRefreshPending = false

    val isEmpty: Boolean get() = rankedByJob.isEmpty() && changed.none { it.readyCount > 0 }

    fun changed(
        step: StepEntry,
        readyChange: Int,
    ) {
        val job = step.occurrence.job
        changed += job
        if (readyChange != 0) addWaiting(job.record.teamName, step.room(readyChange))
    }

    fun rankChanged(job: JobEntry) {
        if (job in rankedByJob) changed += job
    }

    private fun addWaiting(
        teamName: String,
        room: Amount,
    ) {
        val sum = (waitingByTeam[teamName] ?: Amount()) + room
        if (sum == Amount()) waitingByTeam.remove(teamName) else waitingByTeam[teamName] = sum
    }

    fun remove(job: JobEntry) {
        changed -= job
        removeRank(job)
        job.open.values
            .flatMap { it.steps }
            .filter { it.readyCount > 0 }
            .forEach { addWaiting(job.record.teamName, it.room(-it.readyCount)) }
    }

    fun inOrder(now: Long): Iterable<Rank> {
        val pass = beginPass(now)
        return generateSequence(pass::next).asIterable()
    }

    fun beginPass(now: Long): ReadyPass {
        update(now)
        return ReadyPass(ranks, surplus, scan)
    }

    private fun update(now: Long) {
        queueOutdatedRanks()
        while (expiring.isNotEmpty() && expiring.peek().validUntilMillis < now) {
            val expired = expiring.poll()
            if (rankedByJob[expired.job]?.rank === expired) changed += expired.job
        }
        changed.forEach { updateRank(it, now) }
        changed.clear()
    }

    // Updates a limited number of ranks in each pass, so that a long queue does not delay a decision.
    private fun queueOutdatedRanks() {
        val changedQueues = versionByQueue.filter { (queue, version) -> times.version(queue) != version }.keys
        changedQueues.forEach { versionByQueue[it] = times.version(it) }
        if (changedQueues.isNotEmpty()) isRefreshPending = true
        if (isRefreshPending && outdated.isEmpty()) {
            isRefreshPending = false
            ranks.mapTo(outdated) { it.job }
            surplus.indexes().forEach { index -> index.mapTo(outdated) { it.job } }
        }
        var remaining = MAX_RANK_REFRESHES_PER_PASS
        while (remaining > 0) {
            val job = outdated.removeFirstOrNull() ?: return
            val ranked = rankedByJob[job] ?: continue
            if (ranked.version == versionByQueue[job.queue.name]) continue
            changed += job
            remaining--
        }
    }

    private fun removeRank(job: JobEntry) {
        val rank = rankedByJob.remove(job)?.rank ?: return
        if (rank.surplusAccount == null) ranks.remove(rank) else surplus.remove(rank.surplusAccount, rank)
    }

    private fun updateRank(
        job: JobEntry,
        now: Long,
    ) {
        removeRank(job)
        if (job.readyCount == 0) return
        val version = versionByQueue.getOrPut(job.queue.name) { times.version(job.queue.name) }
        val rank = order.rank(job, now)
        rankedByJob[job] = RankedJob(rank, version)
        val demand = job.leastDemand
        if (rank.surplusAccount == null) ranks.add(rank, demand) else surplus.add(rank.surplusAccount, rank, demand)
        if (rank.validUntilMillis != Long.MAX_VALUE) expiring += rank
    }

    private companion object {
        // 100 updates take under a millisecond on a weak machine; 1,000 ranks are updated within some passes.
        const val MAX_RANK_REFRESHES_PER_PASS = 100
    }
}
