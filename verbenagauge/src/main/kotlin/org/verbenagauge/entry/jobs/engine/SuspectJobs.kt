package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.load.AlwaysRetry
import org.verbenagauge.entry.load.FailedRun
import org.verbenagauge.entry.load.FailingTaskRule
import org.verbenagauge.entry.load.RetryRule

/**
 * Jobs that are suspected of causing their own failures, because they fail on several workers that complete other
 * jobs. Of a suspect job only the task with the fewest attempts left is retried, within a bounded part of the capacity;
 * its success clears the job.
 */
internal class SuspectJobs(
    private val state: EngineState,
) {
    private class Outcome(
        val jobId: String,
        val atMillis: Long,
    )

    // The latest outcomes of two jobs on one worker: a query about a job ignores the outcome of that job.
    private class Outcomes {
        private val latest = ArrayDeque<Outcome>()

        fun add(outcome: Outcome) {
            latest.removeAll { it.jobId == outcome.jobId }
            latest.addFirst(outcome)
            if (latest.size > 2) latest.removeLast()
        }

        fun latestOfOtherJob(jobId: String): Long? = latest.firstOrNull { it.jobId != jobId }?.atMillis
    }

    private val rule: RetryRule = if (state.limits.load.hopelessWork) FailingTaskRule else AlwaysRetry
    private val successesByWorker = HashMap<String, Outcomes>()
    private val failuresByWorker = HashMap<String, Outcomes>()
    private val suspects = LinkedHashSet<JobEntry>()

    /** Called with each job that becomes suspect, gets another task to retry, or is cleared. */
    var onSuspicionChanged: (JobEntry) -> Unit = {}

    /** Number of jobs that are suspected of causing their own failures. */
    val count: Int get() = suspects.count { !it.state.isFinal }

    /** Records that [task] completed on [worker]. */
    fun recordCompletion(
        task: TaskEntry,
        worker: WorkerEntry,
        now: Long,
    ) {
        if (rule === AlwaysRetry) return
        successesByWorker.getOrPut(worker.id) { Outcomes() }.add(Outcome(task.job.id, now))
        val job = task.job
        if (job.retry == null || failedRuns(task).isEmpty()) return
        clear(job)
    }

    /**
     * Records that the run [runId] of [task] failed on [worker]; returns whether the failure counts against the worker.
     */
    fun recordFailure(
        task: TaskEntry,
        runId: Long,
        worker: WorkerEntry,
        now: Long,
    ): Boolean {
        val job = task.job
        if (rule === AlwaysRetry || task.step.specification.isLasting) return true
        val failures = (failedRuns(task) + runId).size
        val failure =
            FailedRun(
                failedRuns = failures,
                failedWorkers = job.tasks().flatMapTo(hashSetOf(worker.id)) { it.failedWorkerIds }.size,
                otherJobDoneAgoMillis = successesByWorker[worker.id]?.latestOfOtherJob(job.id)?.let { now - it },
                otherJobFailedAgoMillis = failuresByWorker[worker.id]?.latestOfOtherJob(job.id)?.let { now - it },
            )
        failuresByWorker.getOrPut(worker.id) { Outcomes() }.add(Outcome(job.id, now))
        val known = job.retry
        if (known == null && !rule.isLikelyTaskFault(failure)) return true
        if (known == null) noteSuspicion(task, worker, failures)
        suspects += job
        if (known == null || failures > failedRuns(known).size) {
            job.retry = task
            onSuspicionChanged(job)
        }
        return false
    }

    // A gang fails as a whole, so the failures of all members count.
    private fun failedRuns(task: TaskEntry): Set<Long> {
        if (!task.step.specification.isGang) return task.failedRuns
        return task.step.tasks.flatMapTo(HashSet()) { it.failedRuns }
    }

    private fun noteSuspicion(
        task: TaskEntry,
        worker: WorkerEntry,
        failures: Int,
    ) {
        val attempts = "$failures of ${task.job.queue.maxAttempts} attempts"
        val cause = "task ${task.id.localKey} failed on ${worker.id}, which is not considered at fault"
        state.note(NoteKind.JOB_HOPELESS, task.job.id, "$cause; after $attempts the other tasks wait for its retry")
    }

    private fun clear(job: JobEntry) {
        job.retry = null
        suspects -= job
        state.note(NoteKind.JOB_HOPELESS, job.id, "a failed task completed on retry; its other tasks may start")
        onSuspicionChanged(job)
    }

    /** Whether [task] may start: always in a job that is not suspect, otherwise only if it is the task to retry. */
    fun mayStart(task: TaskEntry): Boolean {
        val retry = task.job.retry ?: return true
        return task === retry || (task.step === retry.step && task.step.specification.isGang)
    }

    /** Whether retries of suspect jobs use less than their share of the capacity of [workers] of [serviceName]. */
    fun hasRetryCapacity(
        serviceName: String,
        workers: Collection<WorkerEntry>,
    ): Boolean {
        suspects.removeIf { it.state.isFinal }
        val total = workers.sumOf { it.listed.capacity.cpuMillis }
        val used =
            suspects
                .filter { it.queue.serviceName == serviceName }
                .mapNotNull { it.retry?.run }
                .sumOf { it.amount.cpuMillis }
        return used < total * FailingTaskRule.MAX_RETRY_SHARE
    }
}
