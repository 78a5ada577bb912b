package org.verbenagauge.entry.jobs.engine

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import org.verbenagauge.entry.jobs.model.JobState
import org.verbenagauge.entry.jobs.model.TaskId
import org.verbenagauge.entry.jobs.ports.EndKind
import org.verbenagauge.entry.jobs.ports.OrderOutcome
import org.verbenagauge.entry.jobs.ports.StartRefusal

private const val JOB = "0000000000000001"
private val task = TaskId(JOB, 0, 0, 0)

// What is known of the run when the answer to the last copy of its order arrives.
private enum class RunKnowledge {
    ORDERED,
    EARLIER_COPY_UNANSWERED,
    LISTED,
    STOP_ORDERED,
    STOP_ORDERED_EARLIER_COPY_UNANSWERED,
    STOP_ORDERED_LISTED,
}

private data class RefusedCase(
    val known: RunKnowledge,
    val refusal: StartRefusal,
    val phase: RunPhase?,
)

private fun cases(
    known: RunKnowledge,
    phase: RunPhase?,
    vararg refusals: StartRefusal,
) = refusals.map { RefusedCase(known, it, phase) }

// Refusals that mean that this copy of the order was not executed.
private val notStartedRefusals =
    arrayOf(
        StartRefusal.LEASE_PASSED,
        StartRefusal.NO_ROOM,
        StartRefusal.TICKET,
        StartRefusal.UNHEALTHY,
        StartRefusal.MALFORMED,
    )

private val refusalCases =
    // The only copy was refused, so the run has not started.
    cases(RunKnowledge.ORDERED, null, *notStartedRefusals) +
        cases(RunKnowledge.STOP_ORDERED, null, *notStartedRefusals) +
        // The unanswered copy may have been executed, or may be executed later.
        cases(RunKnowledge.EARLIER_COPY_UNANSWERED, RunPhase.STOPPING, *notStartedRefusals) +
        cases(RunKnowledge.STOP_ORDERED_EARLIER_COPY_UNANSWERED, RunPhase.STOPPING, *notStartedRefusals) +
        // A listing has shown that the run is active.
        cases(RunKnowledge.LISTED, RunPhase.RUNNING, *notStartedRefusals) +
        cases(RunKnowledge.STOP_ORDERED_LISTED, RunPhase.STOPPING, *notStartedRefusals) +
        // The run has started, and the next listing shows whether it has ended.
        cases(RunKnowledge.ORDERED, RunPhase.RUNNING, StartRefusal.OLD_RUN) +
        cases(RunKnowledge.EARLIER_COPY_UNANSWERED, RunPhase.RUNNING, StartRefusal.OLD_RUN) +
        cases(RunKnowledge.LISTED, RunPhase.RUNNING, StartRefusal.OLD_RUN) +
        cases(RunKnowledge.STOP_ORDERED, RunPhase.STOPPING, StartRefusal.OLD_RUN) +
        cases(RunKnowledge.STOP_ORDERED_EARLIER_COPY_UNANSWERED, RunPhase.STOPPING, StartRefusal.OLD_RUN) +
        cases(RunKnowledge.STOP_ORDERED_LISTED, RunPhase.STOPPING, StartRefusal.OLD_RUN) +
        // A new owner has taken over; the refusal does not concern the run.
        cases(RunKnowledge.ORDERED, RunPhase.STARTING, StartRefusal.FENCED) +
        cases(RunKnowledge.EARLIER_COPY_UNANSWERED, RunPhase.STARTING, StartRefusal.FENCED) +
        cases(RunKnowledge.LISTED, RunPhase.RUNNING, StartRefusal.FENCED)

private fun JobEngine.advanceTo(
    start: EngineAction.Start,
    known: RunKnowledge,
) {
    val workerId = start.address.workerId
    val isRepeated = known != RunKnowledge.ORDERED && known != RunKnowledge.STOP_ORDERED
    if (isRepeated) {
        handleStartOutcome(workerId, start.order, OrderOutcome.Unanswered("lost"), now = 10)
        decide(10, 0).starts() shouldBe listOf(start)
    }
    if (known == RunKnowledge.LISTED || known == RunKnowledge.STOP_ORDERED_LISTED) {
        handleListing(workerId, listing(running = listOf(running(start.order.taskId, start.order.runId))), 12, 14)
    }
    val run =
        state.workers
            .getValue(workerId)
            .runs
            .getValue(task)
    if (known.name.startsWith("STOP_ORDERED")) stop(run, now = 16)
}

class RefusedStartTest :
    FunSpec({
        context("a refused start proves only that this copy of the order was not executed") {
            withData(nameFn = { "${it.known}, ${it.refusal}" }, refusalCases) { case ->
                val engine = readyEngine("w1", "w2")
                engine.accept(JOB, job(step(1)), now = 0)
                val start = engine.decide(0, 0).starts().single()
                val workerId = start.address.workerId
                engine.advanceTo(start, case.known)
                val isOwner =
                    engine.handleStartOutcome(
                        workerId,
                        start.order,
                        OrderOutcome.Refused(case.refusal),
                        now = 20,
                    )
                isOwner shouldBe (case.refusal != StartRefusal.FENCED)
                engine.state.workers
                    .getValue(workerId)
                    .runs[task]
                    ?.phase shouldBe case.phase
                engine.decide(20, 0).starts().filter { it != start } shouldHaveSize if (case.phase == null) 1 else 0
            }
        }

        test("a repeated order that arrives too late does not start its task a second time beside the first copy") {
            val engine = readyEngine("w1", "w2")
            engine.accept(JOB, job(step(1)), now = 0)
            val start = engine.decide(0, 0).starts().single()
            val workerId = start.address.workerId
            val runId = start.order.runId
            engine.handleStartOutcome(workerId, start.order, OrderOutcome.Unanswered("lost"), now = 500)
            engine.decide(500, 0)
            val late = OrderOutcome.Refused(StartRefusal.LEASE_PASSED)
            engine.handleStartOutcome(workerId, start.order, late, now = 6_100, sentAtMillis = 6_000)
            engine.decide(6_100, 0).starts().shouldBeEmpty()
            engine.handleStopOutcome(workerId, task, runId, OrderOutcome.Done(7_150), now = 6_150)
            val done = listing(ended = listOf(end(1, task, runId, EndKind.DONE)), clockMillis = 7_200)
            engine.handleListing(workerId, done, 6_180, 6_200)
            engine.decide(6_200, 0).starts().shouldBeEmpty()
            engine.state
                .takeChanges(10)
                .single()
                .state shouldBe JobState.COMPLETED
        }

        test(
            "a task whose repeated order came too late starts again after its stop and a listing without the run",
        ) {
            val engine = readyEngine("w1")
            engine.accept(JOB, job(step(1)), now = 0)
            val start = engine.decide(0, 0).starts().single()
            engine.handleStartOutcome("w1", start.order, OrderOutcome.Unanswered("lost"), now = 500)
            engine.decide(500, 0)
            val late = OrderOutcome.Refused(StartRefusal.LEASE_PASSED)
            engine.handleStartOutcome("w1", start.order, late, now = 6_100, sentAtMillis = 6_000)
            engine.handleListing("w1", listing(clockMillis = 7_110), 6_105, 6_110)
            engine.decide(6_110, 0).starts().shouldBeEmpty()
            engine.handleStopOutcome("w1", task, start.order.runId, OrderOutcome.Done(7_150), now = 6_150)
            engine.handleListing("w1", listing(clockMillis = 7_200), 6_180, 6_200)
            engine.decide(6_200, 0).starts() shouldHaveSize 1
        }

        test("a task starts again although its stop is answered more often than its idle worker returns listings") {
            val engine = readyEngine("w1")
            engine.accept(JOB, job(step(1)), now = 0)
            val start = engine.decide(0, 0).starts().single()
            val runId = start.order.runId
            engine.handleStartOutcome("w1", start.order, OrderOutcome.Unanswered("lost"), now = 500)
            engine.decide(500, 0)
            engine.handleStartOutcome("w1", start.order, OrderOutcome.Refused(StartRefusal.UNHEALTHY), now = 600)
            engine.handleStopOutcome("w1", task, runId, OrderOutcome.Done(1_610), now = 610)
            val listingSentMillis = 620L
            engine.handleStopOutcome("w1", task, runId, OrderOutcome.Done(2_310), now = 1_310)
            engine.handleListing("w1", listing(clockMillis = 2_610), listingSentMillis, 1_620)
            engine.decide(5_700, 0).starts() shouldHaveSize 1
        }
    })
