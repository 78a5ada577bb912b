package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.jobs.model.Amount
import java.util.PriorityQueue
import java.util.TreeSet

/**
 * Jobs with tasks that may start, by service, in the order in which they get room. A change of a job, or of what is expected
 * of it, moves that job only; places that lapse with time are kept in one queue.
 */
internal class ReadyJobs(
    private val order: JobOrder,
    private val times: RunTimes,
) {
    private val lines = HashMap<String, ReadyLine>()

    /** Services of which jobs wait. */
    val services: List<String> get() = lines.entries.filter { !it.value.isEmpty }.map { it.key }

    /** Takes note that a task of [step] has changed and that [readyChange] more of them may start. */
    fun changed(
        step: StepEntry,
        readyChange: Int,
    ) {
        val job = step.occurrence.job
        lines.getOrPut(job.queue.serviceName) { ReadyLine(order, times) }.changed(step, readyChange)
    }

    /** Takes [job] out, which has ended. */
    fun remove(job: JobEntry) {
        lines[job.queue.serviceName]?.remove(job)
    }

    /** Returns the jobs of [serviceName] that wait at [now], the one that goes first at the front. */
    fun inOrder(
        serviceName: String,
        now: Long,
    ): Collection<Rank> = lines[serviceName]?.inOrder(now).orEmpty()

    /** Room for which tasks of [serviceName] wait, by team. */
    fun waitingByTeam(serviceName: String): Map<String, Amount> = lines[serviceName]?.waitingByTeam.orEmpty()
}

/** Jobs of one service with tasks that may start. */
private class ReadyLine(
    private val order: JobOrder,
    private val times: RunTimes,
) {
    val waitingByTeam = HashMap<String, Amount>()
    private val rankByJob = HashMap<JobEntry, Rank>()
    private val ranks = TreeSet<Rank>()
    private val lapsing = PriorityQueue<Rank>(compareBy { it.validUntilMillis })
    private val changed = LinkedHashSet<JobEntry>()
    private val versionByQueue = HashMap<String, Int>()

    val isEmpty: Boolean get() = rankByJob.isEmpty() && changed.none { it.readyCount > 0 }

    fun changed(
        step: StepEntry,
        readyChange: Int,
    ) {
        val job = step.occurrence.job
        changed += job
        if (readyChange != 0) count(job.record.teamName, step.room(readyChange))
    }

    private fun count(
        teamName: String,
        room: Amount,
    ) {
        val sum = (waitingByTeam[teamName] ?: Amount()) + room
        if (sum == Amount()) waitingByTeam.remove(teamName) else waitingByTeam[teamName] = sum
    }

    fun remove(job: JobEntry) {
        changed -= job
        rankByJob.remove(job)?.let(ranks::remove)
        job.open.values
            .flatMap { it.steps }
            .filter { it.readyCount > 0 }
            .forEach { count(job.record.teamName, it.room(-it.readyCount)) }
    }

    fun inOrder(now: Long): Collection<Rank> {
        val moved = versionByQueue.filter { (queue, version) -> times.version(queue) != version }.keys
        if (moved.isNotEmpty()) rankByJob.keys.filterTo(changed) { it.queue.name in moved }
        moved.forEach { versionByQueue[it] = times.version(it) }
        while (lapsing.isNotEmpty() && lapsing.peek().validUntilMillis < now) {
            val lapsed = lapsing.poll()
            if (rankByJob[lapsed.job] === lapsed) changed += lapsed.job
        }
        changed.forEach { place(it, now) }
        changed.clear()
        return ranks
    }

    private fun place(
        job: JobEntry,
        now: Long,
    ) {
        rankByJob.remove(job)?.let(ranks::remove)
        if (job.readyCount == 0) return
        versionByQueue.getOrPut(job.queue.name) { times.version(job.queue.name) }
        val rank = order.rank(job, now)
        rankByJob[job] = rank
        ranks += rank
        if (rank.validUntilMillis != Long.MAX_VALUE) lapsing += rank
    }
}
