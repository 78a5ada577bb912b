package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.jobs.model.TaskId
import org.verbenagauge.entry.jobs.ports.OrderOutcome
import org.verbenagauge.entry.jobs.ports.StartOrder
import org.verbenagauge.entry.jobs.ports.StartRefusal

/** Applies the outcomes of start and stop orders to the engine state. */
internal class OrderOutcomeHandler(
    private val state: EngineState,
    private val runs: RunTracker,
    private val health: WorkerHealth,
    private val workers: WorkerRemover,
) {
    /**
     * Applies the outcome of a start order sent at [sentAtMillis]; returns false if a higher epoch has fenced this
     * owner.
     */
    fun applyStartOutcome(
        workerId: String,
        order: StartOrder,
        outcome: OrderOutcome,
        now: Long,
        sentAtMillis: Long,
    ): Boolean {
        val worker = state.workers[workerId] ?: return true
        health.recordOrderOutcome(worker, outcome, sentAtMillis, now)
        val run = worker.runs[order.taskId]?.takeIf { it.runId == order.runId } ?: return true
        val isAnswered = outcome is OrderOutcome.Done || outcome is OrderOutcome.Refused
        if (isAnswered && sentAtMillis < worker.incarnationSinceMillis) {
            // The answer may come from the previous incarnation, whose clock and runs do not apply to the current one.
            resendStart(worker, run, order, isUncertain = true, now)
            return true
        }
        when (outcome) {
            is OrderOutcome.Done -> {
                // The order was accepted, so its lease had not expired, whatever the estimate of the worker's clock.
                worker.recordClock(outcome.clockMillis, now)
                if (run.phase == RunPhase.STARTING && !run.isResumed) run.speed.recordStart(outcome.clockMillis)
                confirm(run, now)
                runs.recordShown(run)
            }

            is OrderOutcome.Unanswered -> resendStart(worker, run, order, isUncertain = true, now)
            is OrderOutcome.NotSent -> applyUnsent(worker, run, order, outcome.cause, now)
            is OrderOutcome.Withheld -> applyUnsent(worker, run, order, outcome.cause, now)
            is OrderOutcome.Refused -> return applyRefusal(worker, run, outcome.refusal, now)
        }
        return true
    }

    private fun applyUnsent(
        worker: WorkerEntry,
        run: Run,
        order: StartOrder,
        cause: String,
        now: Long,
    ) {
        if (mayHaveStarted(run)) {
            resendStart(worker, run, order, isUncertain = false, now)
        } else {
            giveUp(run, "not sent: $cause", now)
        }
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

    // Start orders are idempotent: a worker starts a run once, however often it is ordered.
    private fun resendStart(
        worker: WorkerEntry,
        run: Run,
        order: StartOrder,
        isUncertain: Boolean,
        now: Long,
    ) {
        run.isUncertain = run.isUncertain || isUncertain
        if (run.phase != RunPhase.STARTING) return
        if (state.evacuatedZones.includes(worker)) {
            state.evacuatedZones.withheldSinceMillis.putIfAbsent(run, now)
            return
        }
        // The worker refuses every further copy as too late. Once it has confirmed the stop, the task can start elsewhere.
        if (worker.firstFailureMillis == null && worker.estimatedClockMillis(now) >= order.leaseUntilWorkerMillis) {
            run.isStartAbandoned = true
            runs.stop(run, now)
            return
        }
        state.emit(EngineAction.Start(worker.listed.address, order))
    }

    private fun applyRefusal(
        worker: WorkerEntry,
        run: Run,
        refusal: StartRefusal,
        now: Long,
    ): Boolean {
        if (refusal == StartRefusal.FENCED) return false
        if (refusal == StartRefusal.UNHEALTHY) health.recordUnhealthyRefusal(worker, now)
        if (refusal == StartRefusal.TICKET) {
            runs
                .taskOf(run.taskId)
                ?.step
                ?.advice
                ?.discardTicket(worker)
        }
        when {
            // The run started and has ended, which the next listing shows, or it was stopped before the order arrived.
            refusal == StartRefusal.OLD_RUN -> {
                run.hasUnlistedEnd = true
                confirm(run, now)
            }

            refusal == StartRefusal.OTHER_LIFE -> workers.drop(worker, "another worker answers at its address", now)
            // A listing has shown the run, so the refusal of a repeated order does not matter.
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
        runs.markGone(run, evidence, now)
    }

    // A refusal proves that the run has not started only if a single copy of the order was sent. An unanswered copy may
    // be running under a lease that was renewed since, or may be executed later, so even an expired lease proves
    // nothing.
    private fun mayHaveStarted(run: Run) = run.isUncertain || run.confirmedAtMillis > 0

    /**
     * Applies the outcome of a stop order sent at [sentAtMillis]; returns false if a higher epoch has fenced this
     * owner.
     */
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
        health.recordOrderOutcome(worker, outcome, sentAtMillis, now)
        val run = worker.runs[taskId]?.takeIf { it.runId == runId } ?: return true
        // The answer may come from the previous incarnation, whose stops the current one does not know.
        if (sentAtMillis < worker.incarnationSinceMillis) return true
        // The first answer counts: stops are repeated, and answered, more often than an idle worker returns a listing.
        if (outcome is OrderOutcome.Done && run.stopConfirmedAtMillis == 0L) run.stopConfirmedAtMillis = now
        return true
    }
}
