package org.verbenagauge.entry.load

import java.util.PriorityQueue

/**
 * Expected work of the tasks of one step.
 *
 * @property cpuMillis CPU of each task, in thousandths of a core.
 * @property taskMillis expected duration of each task.
 */
public data class StepWork(
    val taskCount: Int,
    val cpuMillis: Long,
    val taskMillis: Long,
) {
    internal val workPerTask: Long get() = cpuMillis * taskMillis
}

/**
 * Expected work of one accepted job.
 *
 * @property isSurplus whether the job exceeds the share of its account.
 * @property usefulUntilMillis time on the monotonic clock after which the result is of no use to the caller.
 * @property steps steps by their index.
 */
public data class JobWork(
    val queueName: String,
    val isSurplus: Boolean,
    val usefulUntilMillis: Long,
    val steps: List<StepWork>,
)

/**
 * Accepted work of one queue, either within the shares of accounts or surplus. Work is in thousandths of a core times
 * milliseconds, with the durations that were expected when the job was accepted.
 *
 * @property isSurplus whether these are the totals of surplus jobs.
 * @property usefulWork open work of jobs that have not expired.
 * @property taskMillis mean expected duration of the open tasks, weighted by CPU.
 * @property doneWork work completed since the last call of [BacklogTracker.read].
 * @property expiredWork open work that expired since then.
 * @property arrivedWork work accepted since then.
 */
public data class BacklogTotals(
    val queueName: String,
    val isSurplus: Boolean,
    val usefulWork: Long,
    val taskMillis: Long,
    val doneWork: Long,
    val expiredWork: Long,
    val arrivedWork: Long,
)

/** Keeps running totals of accepted work as it arrives, completes and expires, so that reading them visits no job. */
public class BacklogTracker {
    private class JobBacklog(
        val work: JobWork,
        val totals: QueueTotals,
    ) {
        val openTasks = IntArray(work.steps.size) { work.steps[it].taskCount }
        var isUseful = true
        val openWork: Long get() = work.steps.indices.sumOf { openTasks[it] * work.steps[it].workPerTask }
        val openCpu: Long get() = work.steps.indices.sumOf { openTasks[it] * work.steps[it].cpuMillis }
    }

    private class QueueTotals {
        var usefulWork = 0L
        var usefulCpu = 0L
        var doneWork = 0L
        var expiredWork = 0L
        var arrivedWork = 0L
    }

    private val totalsByQueue = LinkedHashMap<Pair<String, Boolean>, QueueTotals>()
    private val jobs = HashMap<String, JobBacklog>()
    private val jobsByExpiry = PriorityQueue<JobBacklog>(compareBy { it.work.usefulUntilMillis })

    /** Adds the accepted job [jobId]. */
    public fun add(
        jobId: String,
        work: JobWork,
    ) {
        remove(jobId)
        val job = JobBacklog(work, totalsByQueue.getOrPut(work.queueName to work.isSurplus) { QueueTotals() })
        jobs[jobId] = job
        job.totals.arrivedWork += job.openWork
        job.totals.usefulWork += job.openWork
        job.totals.usefulCpu += job.openCpu
        jobsByExpiry += job
    }

    /** Records that a task of step [step] of [jobId] completed. */
    public fun taskDone(
        jobId: String,
        step: Int,
    ) {
        val job = jobs[jobId] ?: return
        if (job.openTasks.getOrElse(step) { 0 } == 0) return
        job.openTasks[step]--
        val work = job.work.steps[step]
        job.totals.doneWork += work.workPerTask
        if (job.isUseful) subtract(job, work.workPerTask, work.cpuMillis)
    }

    /** Changes the time until which the result of [jobId] is useful; work that has expired stays expired. */
    public fun changeUsefulUntil(
        jobId: String,
        usefulUntilMillis: Long,
    ) {
        val job = jobs[jobId] ?: return
        if (!job.isUseful || job.work.usefulUntilMillis == usefulUntilMillis) return
        // The expiry queue skips jobs that are no longer useful, so the previous entry may stay in it.
        job.isUseful = false
        val changed = JobBacklog(job.work.copy(usefulUntilMillis = usefulUntilMillis), job.totals)
        job.openTasks.copyInto(changed.openTasks)
        jobs[jobId] = changed
        jobsByExpiry += changed
    }

    /** Removes the job [jobId], which has ended. */
    public fun remove(jobId: String) {
        val job = jobs.remove(jobId) ?: return
        if (job.isUseful) subtract(job, job.openWork, job.openCpu)
        job.isUseful = false
    }

    private fun subtract(
        job: JobBacklog,
        work: Long,
        cpu: Long,
    ) {
        job.totals.usefulWork -= work
        job.totals.usefulCpu -= cpu
    }

    /** Returns the totals at [now] and resets those of completed, expired and arrived work. */
    public fun read(now: Long): List<BacklogTotals> {
        while (jobsByExpiry.isNotEmpty() && jobsByExpiry.peek().work.usefulUntilMillis < now) {
            expire(jobsByExpiry.poll())
        }
        return totalsByQueue.map { (key, totals) ->
            val taskMillis = if (totals.usefulCpu > 0) totals.usefulWork / totals.usefulCpu else 0
            val read =
                BacklogTotals(
                    queueName = key.first,
                    isSurplus = key.second,
                    usefulWork = totals.usefulWork,
                    taskMillis = taskMillis,
                    doneWork = totals.doneWork,
                    expiredWork = totals.expiredWork,
                    arrivedWork = totals.arrivedWork,
                )
            totals.doneWork = 0
            totals.expiredWork = 0
            totals.arrivedWork = 0
            read
        }
    }

    // Ended jobs stay in the expiry queue until they would have expired, which takes some seconds.
    private fun expire(job: JobBacklog) {
        if (!job.isUseful) return
        job.totals.expiredWork += job.openWork
        subtract(job, job.openWork, job.openCpu)
        job.isUseful = false
    }
}
