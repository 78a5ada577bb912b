package org.verbenagauge.entry.jobs.engine

/** Stops runs that make no progress, so that their tasks start elsewhere. A pure decision. */
internal class StuckGuard(
    private val state: EngineState,
    private val runs: RunKeeper,
    private val health: WorkerHealth,
) {
    /** Looks at all runs that are confirmed. */
    fun check(now: Long) {
        state.workers.values.forEach { worker ->
            // Without answers nothing can be said of the progress.
            if (worker.firstFailureMillis != null) return@forEach
            worker.runs.values
                .filter { it.phase == RunPhase.RUNNING && isStuck(it, worker, now) }
                .toList()
                .forEach { run ->
                    runs.taskOf(run.taskId)?.failedOn?.add(worker.id)
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
        if (run.pacePercentage < FULL_PACE) return false
        val quietMillis = worker.lastAnswerMillis - run.progressAtMillis
        if (run.specification.isLasting) {
            return !run.wasAtWork && !run.specification.isFiller && quietMillis > state.limits.startupMillis
        }
        return quietMillis > state.limits.standstillMillis && now - run.progressAtMillis > state.limits.standstillMillis
    }
}
