package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.jobs.model.Amount
import org.verbenagauge.entry.jobs.model.StepSpecification
import org.verbenagauge.entry.jobs.model.TaskId
import org.verbenagauge.entry.jobs.ports.EndKind
import org.verbenagauge.entry.jobs.ports.ListedEnd
import org.verbenagauge.entry.jobs.ports.StartOrder
import org.verbenagauge.entry.jobs.records.JobRecord

/** Checks the invariants of all runs, based only on what workers observe. */
internal class RunOracle(
    private val capacity: Amount,
    private val teamLimit: Amount,
) {
    val violations = ArrayList<String>()
    private val jobs = HashMap<String, JobRecord>()
    private val cancelled = HashMap<String, Long>()
    private val runningByWorker = HashMap<String, HashMap<TaskId, Long>>()
    private val doneAtWorker = HashMap<Triple<String, Long, Long>, TaskId>()
    private val doneTasks = HashSet<TaskId>()
    private val acknowledgedDone = HashMap<TaskId, Long>()

    fun submitted(
        id: String,
        record: JobRecord,
    ) {
        jobs[id] = record
    }

    fun cancelled(
        id: String,
        now: Long,
    ) {
        cancelled.putIfAbsent(id, now)
    }

    fun isCancelled(id: String) = id in cancelled

    fun started(
        order: StartOrder,
        workerId: String,
        sentAtMillis: Long,
        now: Long,
    ) {
        val id = order.taskId
        val record = jobs[id.jobId]
        if (record == null) {
            violations += "$now: $id was never submitted"
            return
        }
        val mayRunCopies = stepOf(id).mayRunCopies
        if (!mayRunCopies && runningByWorker.values.any { id in it }) violations += "$now: $id runs twice"
        val acknowledgedAt = acknowledgedDone[id]
        if (acknowledgedAt != null && (!mayRunCopies || sentAtMillis > acknowledgedAt + COPY_GRACE_MILLIS)) {
            violations += "$now: $id starts after its end was acknowledged at $acknowledgedAt"
        }
        val before = record.specification.steps[id.step].dependsOn
        val open = before.flatMap { step -> tasksOf(id.jobId, record, step) }.filter { !isDone(it) }
        if (open.isNotEmpty()) violations += "$now: $id starts before $open"
        val cancelledAt = cancelled[id.jobId]
        // A worker may carry out an order late; the time of sending is what counts.
        if (cancelledAt != null && sentAtMillis > cancelledAt + CANCEL_GRACE_MILLIS) {
            violations += "$now: $id starts after it was cancelled"
        }
        runningByWorker.getOrPut(workerId) { HashMap() }[id] = order.runId
        checkRoom(workerId, now)
    }

    private fun checkRoom(
        workerId: String,
        now: Long,
    ) {
        val used = runningByWorker.getValue(workerId).keys.sumOf { cpu(it) }
        if (used > capacity.cpuMillis) violations += "$now: $workerId uses $used of ${capacity.cpuMillis} mCPU"
        val all = runningByWorker.values.sumOf { runs -> runs.keys.sumOf { cpu(it) } }
        if (teamLimit.cpuMillis in 1 until all) violations += "$now: team uses $all of ${teamLimit.cpuMillis} mCPU"
    }

    private fun cpu(id: TaskId) =
        jobs
            .getValue(id.jobId)
            .specification.steps[id.step]
            .amount.cpuMillis

    private fun tasksOf(
        jobId: String,
        record: JobRecord,
        step: Int,
    ) = List(record.specification.steps[step].taskCount) { TaskId(jobId, 0, step, it) }

    fun gone(order: StartOrder) {
        runningByWorker.values.forEach { it.remove(order.taskId, order.runId) }
    }

    /** Number of ended runs by kind of end. */
    val ends = HashMap<EndKind, Int>()

    fun ended(kind: EndKind) {
        ends.merge(kind, 1, Int::plus)
    }

    fun done(
        id: TaskId,
        workerId: String,
        life: Long,
        number: Long,
    ) {
        doneTasks += id
        doneAtWorker[Triple(workerId, life, number)] = id
    }

    fun acknowledged(
        end: ListedEnd,
        workerId: String,
        life: Long,
        now: Long,
    ) {
        if (end.kind != EndKind.DONE) return
        doneAtWorker[Triple(workerId, life, end.number)]?.let { acknowledgedDone.putIfAbsent(it, now) }
    }

    /** Returns the step of the task [id]. */
    fun stepOf(id: TaskId): StepSpecification = jobs.getValue(id.jobId).specification.steps[id.step]

    /** Returns the tasks of uncancelled jobs that are not done; of lasting steps, the tasks that do not run. */
    fun unfinished(): List<TaskId> =
        jobs
            .filterKeys { it !in cancelled }
            .flatMap { (id, record) ->
                record.specification.steps.indices
                    .flatMap { tasksOf(id, record, it) }
            }.filter { id -> if (stepOf(id).isLasting) runningByWorker.values.none { id in it } else !isDone(id) }

    // One end of a gang counts for all its members.
    private fun isDone(id: TaskId) =
        id in doneTasks || stepOf(id).isGang && doneTasks.any { it.copy(index = id.index) == id }

    private companion object {
        const val CANCEL_GRACE_MILLIS = 3_000L

        // A copy that was ordered before may still start shortly after the other run has ended.
        const val COPY_GRACE_MILLIS = 1_000L
    }
}
