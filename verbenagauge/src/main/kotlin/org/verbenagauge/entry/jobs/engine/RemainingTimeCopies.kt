package org.verbenagauge.entry.jobs.engine

/**
 * Copies a run when what is left of it, by its progress at its speed of late or by the spread of its queue given how long it has
 * run, is more than a fresh run takes; only a small part of a service's runs at a time. Answers three tasks in a hundred that take
 * seven times as long and machines that are slow by six, of which [StragglerCopies] notices both late, by one ratio for all queues.
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
        val predictedMillis = state.runTimes.remainingMillis(queueName, run.specification.estimatedMillis, elapsedMillis)
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
        // A fresh run may be longer than its mean itself, and the few copies are for those that gain most.
        const val MIN_GAIN_BY_PROGRESS = 2.0

        // Where only the time since its start is known, most of the late ones are nearly done.
        const val MIN_GAIN_BY_ELAPSED_TIME = 2.0

        // As published for LATE: a tenth of what runs.
        const val RUNS_PER_COPY = 10
    }
}
