package org.verbenagauge.entry.jobs.owner

import org.verbenagauge.entry.jobs.model.JobState
import org.verbenagauge.entry.jobs.model.TaskId
import org.verbenagauge.entry.jobs.ports.EndKind
import org.verbenagauge.entry.jobs.ports.StartOrder
import org.verbenagauge.entry.jobs.records.JobRecord

/** Kind of rule violation. */
internal enum class Breach {
    /** Two runs of one task are active at the same time. */
    TWO_RUNS,

    /** A task starts again after a successful end that is acknowledged, before or after that start. */
    START_AFTER_DONE,

    /** A task starts before the steps that it depends on are done. */
    ORDER,

    /** A start order is sent long after a caller received the answer that the job is cancelled. */
    CANCELLED,

    /** A task starts although every submission of its job was refused. */
    REFUSED,

    /** A start exceeds the capacity of the worker. */
    ROOM,

    /** A task starts after as many failed runs as the queue allows. */
    ATTEMPTS,

    /** A job is reported as completed before all of its tasks are done, or as cancelled or failed without a cause. */
    SHOWN,

    /** An accepted job is reported as unknown. */
    LOST,

    /** An accepted job is not done by the end of the recovery phase, in which no new faults are injected. */
    NEVER_DONE,

    /** An entry gives as waiting under half of the jobs that have waited for long. */
    COUNT,

    /** A task that lasts does not run again in time, although there is capacity and no unplanned disruption. */
    LASTING_AWAY,

    /** A coroutine of an entry failed with an exception. */
    FAILURE,
}

/**
 * One violation of a rule.
 *
 * @property atMillis virtual time of the detection.
 * @property subject task or job, or "entry" for [Breach.FAILURE].
 * @property detail what was observed.
 */
internal data class Violation(
    val breach: Breach,
    val atMillis: Long,
    val subject: String,
    val detail: String,
) {
    override fun toString(): String = "$breach at $atMillis: $subject $detail"
}

/**
 * Identity of one incarnation of a worker.
 *
 * @property workerId identity of the worker, which several incarnations may share.
 * @property number number of the incarnation, unique in the simulation.
 */
internal data class IncarnationId(
    val workerId: String,
    val number: Int,
)

/**
 * Sender of an order.
 *
 * @property sentAtMillis virtual time of the sending.
 * @property isUndisturbed whether neither the entry nor the store had a fault recently.
 */
internal data class OrderSender(
    val entryId: String,
    val sentAtMillis: Long,
    val isUndisturbed: Boolean,
)

/** Checks a simulation against the rules, using only what workers and callers observe. */
internal class TakeoverOracle(
    private val time: VirtualTime,
    private val capacityCpuMillis: Long,
    private val maxAttempts: Int,
) {
    /** Whether the platform's list contains the worker; used only in the details of violations. */
    var isListed: (IncarnationId) -> Boolean = { true }

    private class ObservedRun(
        val taskId: TaskId,
        val runId: Long,
        val worker: IncarnationId,
        val startedAtMillis: Long,
    )

    private class ObservedDone(
        val taskId: TaskId,
        val runId: Long,
        val endedAtMillis: Long,
        val worker: IncarnationId,
    )

    private class RunEnd(
        val worker: IncarnationId,
        val atMillis: Long,
    )

    private class ObservedStart(
        val atMillis: Long,
        val text: String,
    )

    private class ObservedJob(
        val record: JobRecord,
    ) {
        var isAccepted = false
        var acceptedAtMillis = 0L
        var refusedAttempts = 0
        var attempts = 0
        var cancelSentAtMillis: Long? = null
        var cancelledAtMillis: Long? = null
        val starts = HashMap<TaskId, ArrayList<ObservedStart>>()
        val done = HashSet<TaskId>()
        val failedEnds = HashMap<TaskId, Int>()
        val ackedDone = HashMap<TaskId, Long>()
        val ackedFailures = HashMap<TaskId, Int>()
    }

    val violations = ArrayList<Violation>()
    private val jobs = LinkedHashMap<String, ObservedJob>()
    private val running = LinkedHashSet<ObservedRun>()
    private val lastRunEnds = HashMap<TaskId, RunEnd>()
    private val unackedDone = HashMap<IncarnationId, HashMap<Long, ObservedDone>>()
    private val unackedFailed = HashMap<IncarnationId, HashMap<Long, TaskId>>()

    private fun report(
        breach: Breach,
        subject: Any,
        detail: String,
    ) {
        violations += Violation(breach, time.nowMillis, "$subject", detail)
    }

    /** Reports that a coroutine of an entry failed with [cause]. */
    fun entryFailed(cause: Throwable) {
        report(
            Breach.FAILURE,
            "entry",
            cause
                .stackTraceToString()
                .lineSequence()
                .take(8)
                .joinToString(" | "),
        )
    }

    /** Records a job [id] that a caller is about to submit. */
    fun registerJob(
        id: String,
        record: JobRecord,
    ) {
        jobs[id] = ObservedJob(record)
    }

    /** Records that a caller sends the job [id] to an entry. */
    fun submissionSent(id: String) {
        jobs.getValue(id).attempts++
    }

    /** Records the answer that the job [id] is accepted. */
    fun submissionAccepted(id: String) {
        val job = jobs.getValue(id)
        job.isAccepted = true
        job.acceptedAtMillis = time.nowMillis
    }

    /** Whether a caller received the answer that the job [id] is accepted. */
    fun isAccepted(id: String): Boolean = jobs.getValue(id).isAccepted

    /** Records the answer that the job [id] is refused. */
    fun submissionRefused(id: String) {
        val job = jobs.getValue(id)
        job.refusedAttempts++
        if (isRefused(job) && job.starts.isNotEmpty()) report(Breach.REFUSED, id, "was refused, but has started")
    }

    private fun isRefused(job: ObservedJob) = job.attempts > 0 && job.attempts == job.refusedAttempts

    /** Records that a caller sends a cancellation of [id]. */
    fun cancellationSent(id: String) {
        val job = jobs.getValue(id)
        if (job.cancelSentAtMillis == null) job.cancelSentAtMillis = time.nowMillis
    }

    /** Records the answer that [id] is cancelled. */
    fun jobCancelled(id: String) {
        val job = jobs.getValue(id)
        if (job.cancelledAtMillis == null) job.cancelledAtMillis = time.nowMillis
    }

    /** Returns the step of the task [id]. */
    fun stepOf(id: TaskId) =
        jobs
            .getValue(id.jobId)
            .record.specification.steps[id.step]

    /** Records that a worker has started a run, and checks the rules for starts. */
    fun runStarted(
        order: StartOrder,
        worker: IncarnationId,
        sender: OrderSender,
    ) {
        val id = order.taskId
        val job = jobs[id.jobId] ?: return report(Breach.REFUSED, id, "was never submitted")
        val now = time.nowMillis
        val run = "run ${order.runId} of ${sender.entryId}, sent at ${sender.sentAtMillis}, on ${worker.workerId}"
        running.firstOrNull { it.taskId == id }?.let {
            val place = "${it.worker.workerId}, listed ${isListed(it.worker)}, since ${it.startedAtMillis}"
            val other = "run ${it.runId} is still active on $place"
            report(Breach.TWO_RUNS, id, "$run starts while $other")
        }
        job.ackedDone[id]?.let { report(Breach.START_AFTER_DONE, id, "$run starts after an acknowledged end at $it") }
        checkDependencies(job, id, run)
        val cancelledAt = job.cancelledAtMillis
        if (cancelledAt != null && sender.isUndisturbed && sender.sentAtMillis > cancelledAt + CANCEL_GRACE_MILLIS) {
            report(Breach.CANCELLED, id, "$run starts after the cancellation at $cancelledAt")
        }
        if (isRefused(job)) report(Breach.REFUSED, id, "$run starts, but all submissions of its job were refused")
        if (!stepOf(id).isLasting && (job.ackedFailures[id] ?: 0) >= maxAttempts) {
            report(Breach.ATTEMPTS, id, "$run starts after ${job.ackedFailures[id]} failed runs")
        }
        val unackedEnd = unackedDone.values.flatMap { it.values }.firstOrNull { it.taskId == id }
        val listed = unackedEnd?.let { ", unacknowledged end of a worker, listed ${isListed(it.worker)}" }.orEmpty()
        job.starts.getOrPut(id) { ArrayList() } += ObservedStart(now, run + listed)
        running += ObservedRun(id, order.runId, worker, now)
        checkCapacity(worker, id, run)
    }

    private fun checkDependencies(
        job: ObservedJob,
        id: TaskId,
        run: String,
    ) {
        val open = stepOf(id).dependsOn.flatMap { tasksOf(id.jobId, job, it) }.filter { it !in job.done }
        if (open.isNotEmpty()) report(Breach.ORDER, id, "$run starts before $open")
    }

    private fun checkCapacity(
        worker: IncarnationId,
        id: TaskId,
        run: String,
    ) {
        val used = running.filter { it.worker == worker }.sumOf { stepOf(it.taskId).amount.cpuMillis }
        if (used > capacityCpuMillis) report(Breach.ROOM, id, "$run raises cpu use to $used of $capacityCpuMillis")
    }

    private fun tasksOf(
        jobId: String,
        job: ObservedJob,
        step: Int,
    ) = List(
        job.record.specification.steps[step]
            .taskCount,
    ) { TaskId(jobId, 0, step, it) }

    /** Records that a run has ended on its worker. */
    fun runEnded(
        taskId: TaskId,
        runId: Long,
        worker: IncarnationId,
        kind: EndKind,
        number: Long,
    ) {
        removeRuns { it.taskId == taskId && it.runId == runId && it.worker == worker }
        val job = jobs[taskId.jobId] ?: return
        if (kind == EndKind.DONE) {
            job.done += taskId
            unackedDone.getOrPut(worker) { HashMap() }[number] = ObservedDone(taskId, runId, time.nowMillis, worker)
        }
        if (kind == EndKind.FAILED) {
            job.failedEnds.merge(taskId, 1, Int::plus)
            unackedFailed.getOrPut(worker) { HashMap() }[number] = taskId
        }
    }

    private fun removeRuns(isEnded: (ObservedRun) -> Boolean) {
        val ended = running.filter(isEnded)
        ended.forEach { lastRunEnds[it.taskId] = RunEnd(it.worker, time.nowMillis) }
        running -= ended.toSet()
    }

    /** Records that an incarnation has ended; its unacknowledged ends are lost. */
    fun incarnationEnded(worker: IncarnationId) {
        removeRuns { it.worker == worker }
        unackedDone.remove(worker)
        unackedFailed.remove(worker)
    }

    /** Records that the lease of a worker has expired: the owner may ignore ends that are not acknowledged by now. */
    fun leaseExpired(worker: IncarnationId) {
        unackedDone.remove(worker)
        unackedFailed.remove(worker)
    }

    /** Records that a worker received an acknowledgement of the ends up to number [upTo]. */
    fun acknowledged(
        worker: IncarnationId,
        upTo: Long,
    ) {
        val done = unackedDone[worker].orEmpty().filterKeys { it <= upTo }
        done.forEach { (number, end) ->
            unackedDone[worker]?.remove(number)
            completionAcknowledged(end)
        }
        val failed = unackedFailed[worker].orEmpty().filterKeys { it <= upTo }
        failed.forEach { (number, taskId) ->
            unackedFailed[worker]?.remove(number)
            jobs[taskId.jobId]?.ackedFailures?.merge(taskId, 1, Int::plus)
        }
    }

    private fun completionAcknowledged(end: ObservedDone) {
        val job = jobs.getValue(end.taskId.jobId)
        job.ackedDone.putIfAbsent(end.taskId, end.endedAtMillis)
        val later = job.starts[end.taskId].orEmpty().firstOrNull { it.atMillis > end.endedAtMillis } ?: return
        val text = "run ${end.runId} was done on ${end.worker.workerId} at ${end.endedAtMillis}, acknowledged now"
        report(Breach.START_AFTER_DONE, end.taskId, "$text, but at ${later.atMillis} ${later.text} started")
    }

    /** Checks the answer to a lookup of [id]: its [state], or null if the entry reports it as unknown. */
    fun stateReported(
        id: String,
        state: JobState?,
    ) {
        val job = jobs.getValue(id)
        val tasks = allTasks(id, job)
        when (state) {
            null -> report(Breach.LOST, id, "was accepted, but is unknown to an entry")
            JobState.COMPLETED -> {
                val open = tasks.filter { it !in job.done }
                if (open.isNotEmpty()) report(Breach.SHOWN, id, "is reported as completed before $open")
            }

            JobState.CANCELLED ->
                if (job.cancelSentAtMillis == null) report(Breach.SHOWN, id, "is reported as cancelled")
            JobState.FAILED ->
                if (job.failedEnds.values.none { it >= maxAttempts }) report(Breach.SHOWN, id, "is reported as failed")
            JobState.QUEUED, JobState.ACTIVE -> Unit
        }
    }

    private fun allTasks(
        id: String,
        job: ObservedJob,
    ) = job.record.specification.steps.indices
        .flatMap { tasksOf(id, job, it) }

    /** Checks that [entryId] says that [count] jobs wait, or that it does not know if [count] is null. */
    fun countTold(
        entryId: String,
        count: Int?,
    ) {
        val acceptedBefore = time.nowMillis - COUNT_GRACE_MILLIS
        val waiting =
            jobs.filterValues { job ->
                job.isAccepted &&
                    job.acceptedAtMillis < acceptedBefore &&
                    job.cancelSentAtMillis == null &&
                    job.starts.isEmpty()
            }
        if (count == null || count * 2 >= waiting.size) return
        report(Breach.COUNT, waiting.keys.first(), "waits with ${waiting.keys}, but $entryId says that $count wait")
    }

    /**
     * Checks that tasks that last run again in time after their last run.
     *
     * @param calmSinceMillis virtual time since which there was no unplanned disruption, and capacity for the tasks.
     */
    fun checkLastingTasks(calmSinceMillis: Long) {
        if (time.nowMillis - calmSinceMillis < LASTING_CALM_MILLIS) return
        unfinished().filter { stepOf(it).isLasting }.forEach { id ->
            val lastEnd = lastRunEnds[id] ?: return@forEach
            if (time.nowMillis - lastEnd.atMillis < LASTING_BOUND_MILLIS) return@forEach
            val place = "on ${lastEnd.worker.workerId} until ${lastEnd.atMillis}"
            report(Breach.LASTING_AWAY, id, "ran last $place, and it has been calm since $calmSinceMillis")
        }
    }

    /** Returns the incarnations on which tasks that last run. */
    fun workersOfLastingTasks(): Set<IncarnationId> =
        running.filter { stepOf(it.taskId).isLasting }.mapTo(LinkedHashSet()) { it.worker }

    /** Returns the worker on which a run of the task [id] is active; null if there is none. */
    fun workerOf(id: TaskId): IncarnationId? = running.firstOrNull { it.taskId == id }?.worker

    /** Returns the tasks of accepted jobs that are not done yet, except those of cancelled and failed jobs. */
    fun unfinished(): List<TaskId> =
        jobs
            .filterValues { it.isAccepted && it.cancelSentAtMillis == null && !hasFailed(it) }
            .flatMap { (id, job) -> allTasks(id, job).filter { !isFulfilled(job, it) } }

    private fun hasFailed(job: ObservedJob) = job.failedEnds.values.any { it >= maxAttempts }

    private fun isFulfilled(
        job: ObservedJob,
        id: TaskId,
    ) = if (stepOf(id).isLasting) running.any { it.taskId == id } else id in job.done

    /** Reports the tasks that are still not done at the end of the simulation. */
    fun reportUnfinished() {
        unfinished().forEach { report(Breach.NEVER_DONE, it, "is not done") }
    }

    private companion object {
        const val CANCEL_GRACE_MILLIS = 3_000L

        // Time in which an accepted job becomes visible, and the age that a count may have.
        const val COUNT_GRACE_MILLIS = 3_000L + 2_000L

        // 6 s after its last run a task that lasts counts as missing, and 3 s later as lost if these 3 s and the 4 s
        // before them were calm.
        const val LASTING_BOUND_MILLIS = 6_000L + 3_000L
        const val LASTING_CALM_MILLIS = 3_000L + 4_000L
    }
}
