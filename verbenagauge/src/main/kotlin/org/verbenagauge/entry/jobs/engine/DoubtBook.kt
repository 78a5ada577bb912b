package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.load.AlwaysRetry
import org.verbenagauge.entry.load.FailedRun
import org.verbenagauge.entry.load.FailingTaskRule
import org.verbenagauge.entry.load.RetryRule

/**
 * Jobs in doubt, since a task of theirs fails on workers that do other work. Of such a job only the task that is closest to the
 * end of its attempts goes on, in a bounded part of the room; its success clears the job.
 */
internal class DoubtBook(
    private val state: EngineState,
) {
    private class Outcome(
        val jobId: String,
        val atMillis: Long,
    )

    // Of a worker: of the last two jobs, since that of the job that is asked for does not count.
    private class Outcomes {
        private val latest = ArrayDeque<Outcome>()

        fun add(outcome: Outcome) {
            latest.removeAll { it.jobId == outcome.jobId }
            latest.addFirst(outcome)
            if (latest.size > 2) latest.removeLast()
        }

        fun lastBeside(jobId: String): Long? = latest.firstOrNull { it.jobId != jobId }?.atMillis
    }

    private val rule: RetryRule = if (state.limits.load.hopelessWork) FailingTaskRule else AlwaysRetry
    private val doneOn = HashMap<String, Outcomes>()
    private val failedOn = HashMap<String, Outcomes>()
    private val inDoubt = LinkedHashSet<JobEntry>()

    /** Told each job that got into doubt or out of it. */
    var onMoved: (JobEntry) -> Unit = {}

    /** Takes note that [worker] is done with [task]. */
    fun done(
        task: TaskEntry,
        worker: WorkerEntry,
        now: Long,
    ) {
        if (rule === AlwaysRetry) return
        doneOn.getOrPut(worker.id) { Outcomes() }.add(Outcome(task.job.id, now))
        val job = task.job
        if (job.retry == null || failedRuns(task).isEmpty()) return
        clear(job)
    }

    /** Takes note that the run [runId] of [task] failed on [worker]; false when that tells nothing against the worker. */
    fun failed(
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
                otherJobDoneAgoMillis = doneOn[worker.id]?.lastBeside(job.id)?.let { now - it },
                otherJobFailedAgoMillis = failedOn[worker.id]?.lastBeside(job.id)?.let { now - it },
            )
        failedOn.getOrPut(worker.id) { Outcomes() }.add(Outcome(job.id, now))
        val known = job.retry
        if (known == null && !rule.isLikelyTaskFault(failure)) return true
        if (known == null) noteDoubt(task, worker, failures)
        inDoubt += job
        if (known == null || failures > failedRuns(known).size) {
            job.retry = task
            onMoved(job)
        }
        return false
    }

    // A gang fails as a whole, whichever member it was.
    private fun failedRuns(task: TaskEntry): Set<Long> {
        if (!task.step.specification.isGang) return task.failedRuns
        return task.step.tasks.flatMapTo(HashSet()) { it.failedRuns }
    }

    private fun noteDoubt(
        task: TaskEntry,
        worker: WorkerEntry,
        failures: Int,
    ) {
        val attempts = "$failures of ${task.job.queue.maxAttempts} attempts"
        val cause = "task ${task.id.localKey} failed on ${worker.id} and not for the fault of the worker"
        state.note(NoteKind.JOB_HOPELESS, task.job.id, "$cause; after $attempts the other tasks wait for its next one")
    }

    private fun clear(job: JobEntry) {
        job.retry = null
        inDoubt -= job
        state.note(NoteKind.JOB_HOPELESS, job.id, "a task that had failed is done; its other tasks go on")
        onMoved(job)
    }

    /** Whether [task] may start now, as far as its job is in doubt. */
    fun mayStart(task: TaskEntry): Boolean {
        val retry = task.job.retry ?: return true
        return task === retry || (task.step === retry.step && task.step.specification.isGang)
    }

    /** Whether a task of [step] may start now, as far as its job is in doubt. */
    fun mayStartAny(step: StepEntry): Boolean {
        val retry = step.occurrence.job.retry ?: return true
        return step === retry.step
    }

    /** Whether the retries of jobs in doubt take less than their part of [workers] of [serviceName]. */
    fun hasRoom(
        serviceName: String,
        workers: Collection<WorkerEntry>,
    ): Boolean {
        inDoubt.removeIf { it.state.isFinal }
        val total = workers.sumOf { it.listed.capacity.cpuMillis }
        val used =
            inDoubt
                .filter { it.queue.serviceName == serviceName }
                .mapNotNull { it.retry?.run }
                .sumOf { it.amount.cpuMillis }
        return used < total * FailingTaskRule.MAX_RETRY_SHARE
    }
}
