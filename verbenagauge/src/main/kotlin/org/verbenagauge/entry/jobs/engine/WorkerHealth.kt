package org.verbenagauge.entry.jobs.engine

/** Tells workers that fail what they start from tasks that fail everywhere. */
internal class WorkerHealth(
    private val state: EngineState,
) {
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
        worker.slowness += (minOf(ratio, MOST_RATIO) - worker.slowness) * SLOWNESS_WEIGHT
        if (worker.slowness > SLOW_RATIO) {
            avoid(worker, "runs take ${"%.1f".format(worker.slowness)} times as long as expected", now)
            worker.slowness = 1.0
        }
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

        // Tasks of one queue differ by half of their mean; three in a row at three times the mean do not come by chance.
        const val SLOWNESS_WEIGHT = 0.4
        const val SLOW_RATIO = 2.2
        const val MOST_RATIO = 6.0
    }
}
