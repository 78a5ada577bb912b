package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.load.MachineHealthEstimator
import org.verbenagauge.entry.load.MachineStanding
import kotlin.math.ln
import kotlin.math.roundToInt

/** Reports observations of machines to [judge] and marks the workers on machines that it considers slow or faulty. */
internal class MachineMonitor(
    private val state: EngineState,
    private val judge: MachineHealthEstimator,
) {
    /** Number of workers on suspect machines as of the last update. */
    @Volatile
    var suspectCount = 0
        private set
    private val incarnationByMachine = HashMap<String, Pair<String, Long>>()

    /**
     * Records an answer of the incarnation of [worker] started at [bornUnixMillis], possibly the first after a silence.
     */
    fun recordAnswer(
        worker: WorkerEntry,
        bornUnixMillis: Long,
        now: Long,
    ) {
        val incarnation = worker.id to bornUnixMillis
        val before = incarnationByMachine.put(worker.machineKey, incarnation)
        val isReturn = before != null && before != incarnation || worker.firstFailureMillis != null
        if (isReturn) judge.recordMachineLoss(worker.machineKey, now)
    }

    /** Records the progress of all runs on [worker] at [clockMillis] of its clock. */
    fun recordProgress(
        worker: WorkerEntry,
        clockMillis: Long,
        now: Long,
    ) {
        val measurements =
            worker.runs.values.filter { it.phase == RunPhase.RUNNING }.mapNotNull { run ->
                val task = state.jobs[run.taskId.jobId]?.task(run.taskId) ?: return@mapNotNull null
                if (!isComparable(task, worker)) return@mapNotNull null
                run.speed.recordProgress(clockMillis, run.percent, expectedMillis(task))
                run.speed.measurement(run, task)
            }
        judge.observeRunning(worker.machineKey, measurements, now)
    }

    /** Records that [run] of [task] completed on [worker] after [tookMillis]. */
    fun recordCompletion(
        worker: WorkerEntry,
        task: TaskEntry,
        run: Run,
        tookMillis: Long,
        now: Long,
    ) {
        val expectedMillis = expectedMillis(task) ?: return
        if (!isComparable(task, worker)) return
        run.speed.recordEnd(worker.estimatedClockMillis(now), tookMillis.takeUnless { run.isResumed }, expectedMillis)
        run.speed.measurement(run, task)?.let { judge.recordCompletion(worker.machineKey, it, now) }
    }

    /** Records that a run of [task] failed on [worker] and that the task is not known to be the cause. */
    fun recordFailure(
        worker: WorkerEntry,
        task: TaskEntry,
        now: Long,
    ) {
        judge.recordFailure(worker.machineKey, task.job.queue.name, now)
    }

    /** Updates the standing of all machines at [now]; marks at most a bounded part of each pool as suspect. */
    fun updateSuspects(now: Long) {
        state.workers.values
            .filter { it.isListed }
            .groupBy { it.listed.serviceName }
            .values
            .forEach { pool -> updateSuspects(pool, now) }
        suspectCount = state.workers.values.count { it.isSuspect }
    }

    private fun updateSuspects(
        pool: List<WorkerEntry>,
        now: Long,
    ) {
        pool.forEach {
            it.standing = judge.standing(it.machineKey, now)
            it.speedBand = (ln(it.standing.factor) / ln(2.0)).roundToInt()
        }
        val maxSuspects = maxOf(1, pool.size / MIN_WORKERS_PER_SUSPECT).takeIf { pool.size > 1 } ?: 0
        val suspects =
            pool
                .filter { it.standing.certainty >= (if (it.isSuspect) CLEAR_CERTAINTY else SUSPECT_CERTAINTY) }
                .sortedWith(compareByDescending<WorkerEntry> { it.standing.certainty }.thenBy { it.id })
                .take(maxSuspects)
                .toSet()
        pool.filter { it.isSuspect != it in suspects }.forEach { worker ->
            worker.isSuspect = worker in suspects
            note(worker)
        }
    }

    private fun note(worker: WorkerEntry) {
        val standing = worker.standing
        val kind = if (worker.isSuspect) NoteKind.MACHINE_DOUBTED else NoteKind.MACHINE_TRUSTED
        val why = standing.reason.ifEmpty { "no evidence against it" }
        state.note(
            kind,
            worker.machineKey,
            "worker ${worker.id}, factor ${"%.1f".format(
                standing.factor,
            )}, certainty ${"%.3f".format(standing.certainty)}, $why",
        )
    }

    // Excludes tasks whose run time depends more on the location of their data or members than on the machine.
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
        // A tenth to a sixth of the workers become slow at the same time. If more look slow, the expected run times are
        // wrong.
        const val MIN_WORKERS_PER_SUSPECT = 4

        // Of a hundred healthy machines, none may be avoided by mistake.
        const val SUSPECT_CERTAINTY = 0.99
        const val CLEAR_CERTAINTY = 0.5
    }
}

/** Machine id of the worker, or its worker id if the machine is not known; stays the same across incarnations. */
internal val WorkerEntry.machineKey: String get() = listed.machineId.ifEmpty { id }

/** Standing of a machine without observations. */
internal val unknownStanding = MachineStanding()
