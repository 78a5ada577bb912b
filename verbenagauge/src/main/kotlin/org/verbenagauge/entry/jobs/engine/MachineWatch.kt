package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.load.MachineHealthEstimator
import org.verbenagauge.entry.load.MachineStanding
import kotlin.math.ln
import kotlin.math.roundToInt

/** Tells [judge] what is seen of machines, and tells their workers what it thinks of them. */
internal class MachineWatch(
    private val state: EngineState,
    private val judge: MachineHealthEstimator,
) {
    /** Machines in doubt as of the last check. */
    @Volatile
    var doubtedCount = 0
        private set
    private val lifeByMachine = HashMap<String, Pair<String, Long>>()

    /** Takes note that [worker] has answered in the life that began at [bornUnixMillis], perhaps after a silence. */
    fun heard(
        worker: WorkerEntry,
        bornUnixMillis: Long,
        now: Long,
    ) {
        val life = worker.id to bornUnixMillis
        val before = lifeByMachine.put(worker.machineKey, life)
        val isBack = before != null && before != life || worker.firstFailureMillis != null
        if (isBack) judge.recordMachineLoss(worker.machineKey, now)
    }

    /** Takes note of the progress of all that runs on [worker] at [clockMillis] of its clock. */
    fun looked(
        worker: WorkerEntry,
        clockMillis: Long,
        now: Long,
    ) {
        val sights =
            worker.runs.values.filter { it.phase == RunPhase.RUNNING }.mapNotNull { run ->
                val task = state.jobs[run.taskId.jobId]?.task(run.taskId) ?: return@mapNotNull null
                if (!isComparable(task, worker)) return@mapNotNull null
                run.speed.look(clockMillis, run.percent, expectedMillis(task))
                run.speed.sight(run, task)
            }
        judge.observeRunning(worker.machineKey, sights, now)
    }

    /** Takes note that [run] of [task] was done on [worker] after [tookMillis]. */
    fun done(
        worker: WorkerEntry,
        task: TaskEntry,
        run: Run,
        tookMillis: Long,
        now: Long,
    ) {
        val expectedMillis = expectedMillis(task) ?: return
        if (!isComparable(task, worker)) return
        run.speed.end(worker.estimatedClockMillis(now), tookMillis.takeUnless { run.isResumed }, expectedMillis)
        run.speed.sight(run, task)?.let { judge.recordCompletion(worker.machineKey, it, now) }
    }

    /** Takes note that a run of [task] failed on [worker], and that this is not the task's fault as far as is known. */
    fun failed(
        worker: WorkerEntry,
        task: TaskEntry,
        now: Long,
    ) {
        judge.recordFailure(worker.machineKey, task.job.queue.name, now)
    }

    /** Tells all workers what is thought of their machines at [now]; never doubts more than a part of a pool. */
    fun check(now: Long) {
        state.workers.values
            .filter { it.isListed }
            .groupBy { it.listed.serviceName }
            .values
            .forEach { pool -> check(pool, now) }
        doubtedCount = state.workers.values.count { it.isDoubted }
    }

    private fun check(
        pool: List<WorkerEntry>,
        now: Long,
    ) {
        pool.forEach {
            it.standing = judge.standing(it.machineKey, now)
            it.speedBand = (ln(it.standing.factor) / ln(2.0)).roundToInt()
        }
        val most = maxOf(1, pool.size / POOL_PARTS).takeIf { pool.size > 1 } ?: 0
        val doubted =
            pool
                .filter { it.standing.certainty >= (if (it.isDoubted) DOUBT_ENDS else DOUBT_BEGINS) }
                .sortedWith(compareByDescending<WorkerEntry> { it.standing.certainty }.thenBy { it.id })
                .take(most)
                .toSet()
        pool.filter { it.isDoubted != it in doubted }.forEach { worker ->
            worker.isDoubted = worker in doubted
            note(worker)
        }
    }

    private fun note(worker: WorkerEntry) {
        val standing = worker.standing
        val kind = if (worker.isDoubted) NoteKind.MACHINE_DOUBTED else NoteKind.MACHINE_TRUSTED
        val why = standing.reason.ifEmpty { "nothing is known against it" }
        state.note(
            kind,
            worker.machineKey,
            "worker ${worker.id}, factor ${"%.1f".format(
                standing.factor,
            )}, certainty ${"%.3f".format(standing.certainty)}, $why",
        )
    }

    // Of others, how long they take tells more of where their data or their members are than of the machine.
    private fun isComparable(
        task: TaskEntry,
        worker: WorkerEntry,
    ): Boolean {
        val step = task.step.specification
        if (step.isLasting || step.isGang || step.isFiller || step.prefersOneRack) return false
        return step.dataRack.isEmpty() || step.dataRack == worker.listed.rack
    }

    private fun expectedMillis(task: TaskEntry): Long? {
        val queueName = task.job.queue.name
        if (!state.runTimes.isKnown(queueName)) return null
        return state.runTimes.expectMillis(queueName, task.step.specification.estimatedMillis).takeIf { it > 0 }
    }

    private companion object {
        // What turns slow at once is a tenth to a sixth of the workers. More in doubt is a fault of what is expected.
        const val POOL_PARTS = 4

        // None of a hundred sound machines may be avoided.
        const val DOUBT_BEGINS = 0.99
        const val DOUBT_ENDS = 0.5
    }
}

/** Machine of a worker, or the worker where none is told; stays the same across lives. */
internal val WorkerEntry.machineKey: String get() = listed.machineId.ifEmpty { id }

/** What is thought of a machine on which nothing was seen. */
internal val unknownStanding = MachineStanding()
