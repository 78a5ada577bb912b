package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.jobs.ports.OrderOutcome
import org.verbenagauge.entry.load.BayesianMachineHealth

/**
 * Distinguishes workers that fail their runs from tasks that fail on every worker, and avoids the former for a while.
 */
internal class WorkerHealth(
    private val state: EngineState,
) {
    /**
     * Monitor of machine speeds, if enabled in the settings; it replaces the checks of the last ends of each worker.
     */
    val machineMonitor: MachineMonitor? =
        MachineMonitor(
            state,
            BayesianMachineHealth(state.runTimes),
        ).takeIf { state.limits.load.machineSpeeds }

    /** Records that a run on [worker] completed. */
    fun recordSuccess(worker: WorkerEntry) {
        worker.failStreak = 0
    }

    /** Records that a run on [worker] took, or is going to take, [ratio] times as long as expected. */
    fun recordRunTime(
        worker: WorkerEntry,
        ratio: Double,
        now: Long,
    ) {
        val slowness = worker.slowness.add(ratio) ?: return
        avoid(worker, "its runs take ${"%.1f".format(slowness)} times as long as expected", now)
    }

    /** Records that a run of [task] failed on [worker]. */
    fun recordFailure(
        worker: WorkerEntry,
        task: TaskEntry,
        now: Long,
    ) {
        val failedElsewhere = task.failedWorkerIds.any { it != worker.id }
        task.addFailedWorker(worker.id)
        if (failedElsewhere || task.step.specification.isLasting) return
        machineMonitor?.let { return it.recordFailure(worker, task, now) }
        worker.failStreak++
        if (worker.failStreak >= FAILURES_TO_AVOID) avoid(worker, "${worker.failStreak} consecutive failed runs", now)
    }

    /** Records that [run] makes no progress on [worker]. */
    fun recordStuckRun(
        worker: WorkerEntry,
        run: Run,
        now: Long,
    ) {
        state.note(NoteKind.RUN_STUCK, run.taskId.toString(), "run ${run.runId} on ${worker.id}, ${run.percent}%")
        avoid(worker, "a run makes no progress", now)
    }

    /** Records that [worker] refused an order because it is unhealthy. */
    fun recordUnhealthyRefusal(
        worker: WorkerEntry,
        now: Long,
    ) {
        avoid(worker, "it refuses orders because it is unhealthy", now)
    }

    /**
     * Records the [outcome] of an order to [worker] that was sent at [sentAtMillis]. A worker that returns listings and
     * leaves orders unanswered is avoided.
     */
    fun recordOrderOutcome(
        worker: WorkerEntry,
        outcome: OrderOutcome,
        sentAtMillis: Long,
        now: Long,
    ) {
        when (outcome) {
            is OrderOutcome.Done, is OrderOutcome.Refused -> worker.unansweredRounds = 0
            is OrderOutcome.Withheld -> Unit
            is OrderOutcome.Unanswered, is OrderOutcome.NotSent -> {
                // Orders in flight together fail for the same reason.
                if (worker.firstFailureMillis != null || sentAtMillis < worker.unansweredAtMillis) return
                worker.unansweredAtMillis = now
                worker.unansweredRounds++
                if (worker.unansweredRounds >= UNANSWERED_ROUNDS_TO_AVOID) avoid(worker, "orders get no answer", now)
            }
        }
    }

    private fun avoid(
        worker: WorkerEntry,
        reason: String,
        now: Long,
    ) {
        if (worker.avoidUntilMillis <= now) {
            state.note(NoteKind.WORKER_AVOIDED, worker.id, "$reason; avoided for ${state.limits.avoidMillis} ms")
        }
        worker.avoidUntilMillis = now + state.limits.avoidMillis
    }

    private companion object {
        // A single failure is weak evidence: about one run in five hundred fails for reasons of its own.
        const val FAILURES_TO_AVOID = 2

        // Single answers are lost, and a reset closes every connection once.
        const val UNANSWERED_ROUNDS_TO_AVOID = 3
    }
}
