package org.verbenagauge.entry.jobs.engine

/** Says whether lasting tasks may be ended by order without taking their step below what it may miss. */
internal class LastingGuard(
    private val state: EngineState,
) {
    /** Whether everything that runs on [worker] may end now; [alsoEnding] are workers whose runs end as well. */
    fun mayEnd(
        worker: WorkerEntry,
        alsoEnding: Set<String>,
    ): Boolean =
        worker.runs.values
            .filter { it.specification.isLasting }
            .all { mayEnd(it, alsoEnding + worker.id) }

    /** Whether [run] may end now. */
    fun mayEnd(
        run: Run,
        alsoEnding: Set<String>,
    ): Boolean {
        val step =
            state.jobs[run.taskId.jobId]
                ?.task(run.taskId)
                ?.step ?: return true
        val away = step.tasks.count { it.id != run.taskId && !isAtWork(it, alsoEnding) }
        return away < maxOf(1, step.specification.mayMiss ?: 1)
    }

    private fun isAtWork(
        task: TaskEntry,
        alsoEnding: Set<String>,
    ): Boolean {
        val run = task.run ?: return false
        return run.phase == RunPhase.RUNNING && run.percent >= FULL_PACE && run.workerId !in alsoEnding
    }
}
