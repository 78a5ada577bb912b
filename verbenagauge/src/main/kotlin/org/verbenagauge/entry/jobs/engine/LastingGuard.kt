package org.verbenagauge.entry.jobs.engine

/** Says whether lasting tasks may be ended by order without taking their step below what it may miss. */
internal class LastingGuard(
    private val state: EngineState,
) {
    /** Whether everything that runs on [worker] may end now; [alsoEnding] are workers whose runs end as well. */
    fun mayEnd(
        worker: WorkerEntry,
        alsoEnding: Set<String>,
        now: Long,
    ): Boolean =
        worker.runs.values
            .filter { it.specification.isLasting }
            .all { mayEnd(it, alsoEnding + worker.id, now) }

    /** Whether [run] may end now. */
    fun mayEnd(
        run: Run,
        alsoEnding: Set<String>,
        now: Long,
    ): Boolean {
        val step =
            state.jobs[run.taskId.jobId]
                ?.task(run.taskId)
                ?.step ?: return true
        if (now - state.startedAtMillis < TAKEOVER_SETTLING_MILLIS) return false
        val unavailable = step.tasks.count { it.id != run.taskId && !isServing(it, alsoEnding, now) }
        return unavailable < maxOf(1, step.specification.mayMiss ?: 1)
    }

    private fun isServing(
        task: TaskEntry,
        alsoEnding: Set<String>,
        now: Long,
    ): Boolean {
        val run = task.run ?: return false
        if (run.phase != RunPhase.RUNNING || run.percent < FULL_PACE || run.workerId in alsoEnding) return false
        // What a worker listed before it fell silent says nothing of now.
        val worker = state.workers[run.workerId] ?: return false
        return worker.firstFailureMillis == null && now - worker.lastAnswerMillis < MAX_LISTING_AGE_MILLIS
    }

    private companion object {
        // Workers with runs are listed once a second.
        const val MAX_LISTING_AGE_MILLIS = 2_000L

        // Lease of an owner and the time limit of an order: what an earlier owner ordered is seen after that.
        const val TAKEOVER_SETTLING_MILLIS = 2_500L
    }
}
