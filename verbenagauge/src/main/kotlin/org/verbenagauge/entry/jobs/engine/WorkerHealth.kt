package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.load.BayesianMachineHealth

/** Tells workers that fail what they start from tasks that fail everywhere. */
internal class WorkerHealth(
    private val state: EngineState,
) {
    /** Watches machines where the deployment asks for it, in place of the last ends of each worker. */
    val watch: MachineWatch? =
        MachineWatch(
            state,
            BayesianMachineHealth(state.runTimes),
        ).takeIf { state.limits.load.machineSpeeds }

    /** Takes note that a run on [worker] was done. */
    fun succeeded(worker: WorkerEntry) {
        worker.failStreak = 0
    }

    /** Takes note that a run on [worker] took [ratio] times as long as expected, or will. */
    fun took(
        worker: WorkerEntry,
        ratio: Double,
        now: Long,
    ) {
        val slowness = worker.slowness.add(ratio) ?: return
        avoid(worker, "runs take ${"%.1f".format(slowness)} times as long as expected", now)
    }

    /** Takes note that a run of [task] failed on [worker]. */
    fun failed(
        worker: WorkerEntry,
        task: TaskEntry,
        now: Long,
    ) {
        val failedElsewhere = task.failedOn.any { it != worker.id }
        task.failedOn += worker.id
        if (failedElsewhere || task.step.specification.isLasting) return
        watch?.let { return it.failed(worker, task, now) }
        worker.failStreak++
        if (worker.failStreak >= FAILURES_TO_AVOID) avoid(worker, "${worker.failStreak} failed runs in a row", now)
    }

    /** Takes note that [run] makes no progress on [worker]. */
    fun stuck(
        worker: WorkerEntry,
        run: Run,
        now: Long,
    ) {
        state.note(NoteKind.RUN_STUCK, run.taskId.toString(), "run ${run.runId} on ${worker.id}, ${run.percent}%")
        avoid(worker, "a run makes no progress", now)
    }

    /** Takes note that [worker] refused an order as unhealthy. */
    fun refused(
        worker: WorkerEntry,
        now: Long,
    ) {
        avoid(worker, "it refuses orders as unhealthy", now)
    }

    private fun avoid(
        worker: WorkerEntry,
        reason: String,
        now: Long,
    ) {
        if (worker.avoidUntilMillis <= now) {
            state.note(NoteKind.WORKER_AVOIDED, worker.id, "$reason; for ${state.limits.avoidMillis} ms")
        }
        worker.avoidUntilMillis = now + state.limits.avoidMillis
    }

    private companion object {
        // One failure says little: about one run in five hundred fails by its own fault.
        const val FAILURES_TO_AVOID = 2
    }
}
