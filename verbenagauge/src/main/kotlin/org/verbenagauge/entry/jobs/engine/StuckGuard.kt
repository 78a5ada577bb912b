package org.verbenagauge.entry.jobs.engine

/** Stops runs that make no progress, so that their tasks start on other workers. Performs no I/O. */
internal class StuckGuard(
    private val state: EngineState,
    private val runs: RunTracker,
    private val health: WorkerHealth,
) {
    /** Checks all confirmed runs. */
    fun check(now: Long) {
        state.workers.values.forEach { worker ->
            // Progress is unknown while the worker does not respond.
            if (worker.firstFailureMillis != null) return@forEach
            worker.runs.values
                .filter { it.phase == RunPhase.RUNNING && isStuck(it, worker, now) }
                .toList()
                .forEach { run ->
                    runs.taskOf(run.taskId)?.addFailedWorker(worker.id)
                    health.recordStuckRun(worker, run, now)
                    runs.stop(run, now)
                }
        }
    }

    private fun isStuck(
        run: Run,
        worker: WorkerEntry,
        now: Long,
    ): Boolean {
        if (run.pacePercentage < FULL_PACE_PERCENTAGE) return false
        val noProgressMillis = worker.lastAnswerMillis - run.progressAtMillis
        if (run.specification.isLasting) {
            return !run.hasStartedUp && !run.specification.isFiller && noProgressMillis > state.limits.startupMillis
        }
        return noProgressMillis > state.limits.stuckAfterMillis &&
            now - run.progressAtMillis > state.limits.stuckAfterMillis
    }
}
