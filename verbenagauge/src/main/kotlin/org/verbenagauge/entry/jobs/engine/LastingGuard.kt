package org.verbenagauge.entry.jobs.engine

/**
 * Decides whether lasting tasks may be stopped without exceeding the number of unavailable tasks that their step
 * allows.
 */
internal class LastingGuard(
    private val state: EngineState,
) {
    /**
     * Returns whether all runs on [worker] may be stopped now, given that the runs on the workers [alsoEnding] end as
     * well.
     */
    fun mayEnd(
        worker: WorkerEntry,
        alsoEnding: Set<String>,
        now: Long,
    ): Boolean =
        worker.runs.values
            .filter { it.specification.isLasting }
            .all { mayEnd(it, alsoEnding + worker.id, now) }

    /** Returns whether [run] may be stopped now, given that the runs on the workers [alsoEnding] end as well. */
    fun mayEnd(
        run: Run,
        alsoEnding: Set<String>,
        now: Long,
    ): Boolean {
        val isSettled = now - state.startedAtMillis >= TAKEOVER_SETTLING_MILLIS
        return stepOf(run) == null || isSettled && areEnoughServing(run, alsoEnding, now)
    }

    /**
     * Returns whether the step of [run] allows that it ends now, given that the runs on the workers [alsoEnding] end as
     * well. Orders of the previous owner that are not visible yet are not considered.
     */
    fun areEnoughServing(
        run: Run,
        alsoEnding: Set<String>,
        now: Long,
    ): Boolean {
        val step = stepOf(run) ?: return true
        val unavailable = step.tasks.count { it.id != run.taskId && !isServing(it, alsoEnding, now) }
        return unavailable < maxOf(1, step.specification.mayMiss ?: 1)
    }

    private fun stepOf(run: Run): StepEntry? = state.jobs[run.taskId.jobId]?.task(run.taskId)?.step

    private fun isServing(
        task: TaskEntry,
        alsoEnding: Set<String>,
        now: Long,
    ): Boolean {
        val run = task.run ?: return false
        if (run.phase != RunPhase.RUNNING ||
            run.percent < FULL_PACE_PERCENTAGE ||
            run.workerId in alsoEnding
        ) {
            return false
        }
        // The last listing of a worker that has stopped responding is not evidence of its present state.
        val worker = state.workers[run.workerId] ?: return false
        return worker.firstFailureMillis == null && now - worker.lastAnswerMillis < MAX_LISTING_AGE_MILLIS
    }

    private companion object {
        // Twice the listing interval of workers with runs, which is one second.
        const val MAX_LISTING_AGE_MILLIS = 2_000L

        // Lease of an owner plus the time limit of an order: orders of the previous owner are visible after that.
        const val TAKEOVER_SETTLING_MILLIS = 2_500L
    }
}
