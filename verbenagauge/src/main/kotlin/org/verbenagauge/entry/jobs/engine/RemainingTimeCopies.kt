package org.verbenagauge.entry.jobs.engine

/**
 * Copies a run whose remaining time exceeds the time of a new run. The remaining time is computed from progress and
 * recent speed or, if these are unknown, from the run time distribution of the queue given the elapsed time. Only a
 * small part of a service's runs has copies at a time. Covers 3% of tasks that take seven times as long and machines
 * that are slower by a factor of six, both of which [StragglerCopies] detects late because it uses one ratio for all
 * queues.
 */
internal class RemainingTimeCopies(
    private val state: EngineState,
) : CopyPolicy {
    private val fallback = StragglerCopies()

    override fun shouldCopy(
        run: Run,
        worker: WorkerEntry,
        expectedMillis: Long,
        now: Long,
    ): Boolean {
        val queueName = state.jobs[run.taskId.jobId]?.queue?.name ?: return false
        val usesFallback =
            worker.firstFailureMillis != null || run.phase != RunPhase.RUNNING || !state.runTimes.isKnown(queueName)
        if (usesFallback) return fallback.shouldCopy(run, worker, expectedMillis, now)
        return isBehind(run, worker, queueName, expectedMillis, now) && isWithinCopyLimit(worker.listed.serviceName)
    }

    private fun isBehind(
        run: Run,
        worker: WorkerEntry,
        queueName: String,
        expectedMillis: Long,
        now: Long,
    ): Boolean {
        val measuredMillis = run.speed.remainingMillis(run.percent, expectedMillis)
        if (measuredMillis != null) return measuredMillis > expectedMillis * MIN_GAIN_BY_PROGRESS
        val elapsedMillis = now - run.confirmedAtMillis
        val predictedMillis =
            state.runTimes.remainingMillis(queueName, run.specification.estimatedMillis, elapsedMillis)
        return predictedMillis * worker.standing.factor > expectedMillis * MIN_GAIN_BY_ELAPSED_TIME
    }

    private fun isWithinCopyLimit(serviceName: String): Boolean {
        var runs = 0
        var copies = 0
        state.workersOf(serviceName).forEach { worker ->
            runs += worker.runs.size
            copies += worker.runs.values.count { state.jobs[it.taskId.jobId]?.task(it.taskId)?.copy === it }
        }
        return copies < maxOf(1, runs / RUNS_PER_COPY)
    }

    private companion object {
        // A new run may itself take longer than the mean, and the few copies go to the runs that gain most.
        const val MIN_GAIN_BY_PROGRESS = 2.0

        // If only the elapsed time is known: most late runs are nearly done.
        const val MIN_GAIN_BY_ELAPSED_TIME = 2.0

        // The limit published for the LATE scheduler: copies for a tenth of the runs.
        const val RUNS_PER_COPY = 10
    }
}
