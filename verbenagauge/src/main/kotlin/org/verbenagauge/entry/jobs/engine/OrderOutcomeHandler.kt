package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.jobs.model.TaskId
import org.verbenagauge.entry.jobs.ports.OrderOutcome
import org.verbenagauge.entry.jobs.ports.StartOrder
import org.verbenagauge.entry.jobs.ports.StartRefusal

/** Takes in what workers answer to orders. */
internal class OrderOutcomeHandler(
    private val state: EngineState,
    private val runs: RunKeeper,
    private val health: WorkerHealth,
    private val workers: WorkerRemover,
) {
    /** Takes in the outcome of an order to start that was sent at [sentAtMillis]; false after a higher epoch. */
    fun applyStartOutcome(
        workerId: String,
        order: StartOrder,
        outcome: OrderOutcome,
        now: Long,
        sentAtMillis: Long,
    ): Boolean {
        val worker = state.workers[workerId] ?: return true
        val run = worker.runs[order.taskId]?.takeIf { it.runId == order.runId } ?: return true
        val isAnswered = outcome is OrderOutcome.Done || outcome is OrderOutcome.Refused
        if (isAnswered && sentAtMillis < worker.incarnationSinceMillis) {
            // Perhaps an answer of the life before: its clock and what it ran say nothing of this one.
            resendStart(worker, run, order, isUncertain = true, now)
            return true
        }
        when (outcome) {
            is OrderOutcome.Done -> {
                // Accepted, so that the lease has not passed, whatever was thought of the clock.
                worker.recordClock(outcome.clockMillis, now)
                if (run.phase == RunPhase.STARTING && !run.isResumed) run.speed.recordStart(outcome.clockMillis)
                confirm(run, now)
            }

            is OrderOutcome.Unanswered -> resendStart(worker, run, order, isUncertain = true, now)
            is OrderOutcome.NotSent ->
                if (mayHaveStarted(run)) {
                    resendStart(worker, run, order, isUncertain = false, now)
                } else {
                    giveUp(run, "not sent: ${outcome.cause}", now)
                }

            is OrderOutcome.Refused -> return applyRefusal(worker, run, outcome.refusal, now)
        }
        return true
    }

    private fun confirm(
        run: Run,
        now: Long,
    ) {
        if (run.phase != RunPhase.STARTING) return
        run.phase = RunPhase.RUNNING
        run.confirmedAtMillis = now
        run.progressAtMillis = now
    }

    // The same run on the same worker starts once, however often it is ordered.
    private fun resendStart(
        worker: WorkerEntry,
        run: Run,
        order: StartOrder,
        isUncertain: Boolean,
        now: Long,
    ) {
        run.isUncertain = run.isUncertain || isUncertain
        if (run.phase != RunPhase.STARTING) return
        if (state.evacuated.includes(worker)) {
            state.evacuated.withheldSinceMillis.putIfAbsent(run, now)
            return
        }
        state.act(EngineAction.Start(worker.listed.address, order))
    }

    private fun applyRefusal(
        worker: WorkerEntry,
        run: Run,
        refusal: StartRefusal,
        now: Long,
    ): Boolean {
        if (refusal == StartRefusal.FENCED) return false
        if (refusal == StartRefusal.UNHEALTHY) health.recordUnhealthyRefusal(worker, now)
        if (refusal == StartRefusal.TICKET) runs.taskOf(run.taskId)?.step?.tickets = null
        when {
            // It began and has ended, which the worker lists, or it was stopped before it came.
            refusal == StartRefusal.OLD_RUN -> confirm(run, now)
            refusal == StartRefusal.OTHER_LIFE -> workers.drop(worker, "another worker answers at its address", now)
            // The worker has shown it, whatever a repeated order is told.
            run.phase == RunPhase.RUNNING -> Unit
            mayHaveStarted(run) -> runs.stop(run, now)
            else -> giveUp(run, "refused: $refusal", now)
        }
        return true
    }

    private fun giveUp(
        run: Run,
        evidence: String,
        now: Long,
    ) {
        state.note(NoteKind.RUN_GIVEN_UP, run.taskId.toString(), "run ${run.runId} on ${run.workerId}: $evidence")
        runs.gone(run, evidence, now)
    }

    // Only when a single copy of the order was sent does its refusal tell of the run. A copy without an answer may run under a
    // lease that was prolonged since, or be carried out later, so that even a lease that has passed proves nothing.
    private fun mayHaveStarted(run: Run) = run.isUncertain || run.confirmedAtMillis > 0

    /** Takes in the outcome of an order to stop that was sent at [sentAtMillis]; false after a higher epoch. */
    fun applyStopOutcome(
        workerId: String,
        taskId: TaskId,
        runId: Long,
        outcome: OrderOutcome,
        now: Long,
        sentAtMillis: Long,
    ): Boolean {
        if (outcome is OrderOutcome.Refused && outcome.refusal == StartRefusal.FENCED) return false
        val worker = state.workers[workerId] ?: return true
        val run = worker.runs[taskId]?.takeIf { it.runId == runId } ?: return true
        // Perhaps an answer of the life before, whose stops the life of now does not know.
        if (sentAtMillis < worker.incarnationSinceMillis) return true
        // The first answer counts: repeated stops are answered more often than quiet workers list.
        if (outcome is OrderOutcome.Done && run.stopConfirmedAtMillis == 0L) run.stopConfirmedAtMillis = now
        return true
    }
}
