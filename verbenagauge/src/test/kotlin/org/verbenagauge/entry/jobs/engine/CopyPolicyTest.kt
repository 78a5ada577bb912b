package org.verbenagauge.entry.jobs.engine

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import org.verbenagauge.entry.jobs.model.JobState
import org.verbenagauge.entry.jobs.model.TaskId
import org.verbenagauge.entry.jobs.ports.EndKind
import org.verbenagauge.entry.jobs.ports.ListingOutcome
import org.verbenagauge.entry.jobs.ports.OrderOutcome
import org.verbenagauge.entry.jobs.ports.StartOrder

private const val JOB = "0000000000000001"
private const val EXPECTED_MILLIS = 500L

private data class CopyCase(
    val name: String,
    val phase: RunPhase,
    val percent: Int,
    val elapsedMillis: Long,
    val silentMillis: Long?,
    val isCopied: Boolean,
)

// Starts tasks on the first worker, which stops responding shortly afterwards.
private fun silentStart(
    copies: CopyPolicy,
    taskCount: Int = 1,
    mayRunCopies: Boolean = true,
): JobEngine {
    val engine = readyEngine("w1", "w2", copies = copies)
    engine.accept(JOB, job(step(taskCount, cpuMillis = 3_000, mayRunCopies = mayRunCopies)), now = 0)
    engine.decide(0, 0).starts().forEach {
        engine.handleStartOutcome(it.address.workerId, it.order, OrderOutcome.Done(1_000), now = 5)
    }
    engine.handleListing("w1", ListingOutcome.Failed("silent"), 10, 700)
    return engine
}

// Returns the engine of [silentStart] with a copy that has started on the second worker.
private fun startedCopy(): Pair<JobEngine, StartOrder> {
    val engine = silentStart(StragglerCopies())
    val copy =
        engine
            .decide(1_100, 0)
            .starts()
            .single()
            .order
    engine.handleStartOutcome("w2", copy, OrderOutcome.Done(2_100), now = 1_105)
    return engine to copy
}

class CopyPolicyTest :
    FunSpec({
        context("a run is copied") {
            withData(
                nameFn = { it.name },
                CopyCase("not while it is on time", RunPhase.RUNNING, 40, 300, null, false),
                CopyCase("not when it is late but nearly done", RunPhase.RUNNING, 80, 1_000, null, false),
                CopyCase("when it is late and far from done", RunPhase.RUNNING, 20, 1_000, null, true),
                CopyCase("when its progress is unknown", RunPhase.RUNNING, 0, 1_000, null, true),
                CopyCase("not when its worker has just failed to respond once", RunPhase.RUNNING, 40, 300, 0, false),
                CopyCase("when its worker has stopped responding", RunPhase.RUNNING, 40, 300, 300, true),
                CopyCase("not while its start order is pending", RunPhase.STARTING, 0, 500, null, false),
                CopyCase("when its start order is not answered", RunPhase.STARTING, 0, 900, null, true),
                CopyCase("not when it is being stopped", RunPhase.STOPPING, 0, 9_000, null, false),
            ) { case ->
                val now = 20_000L
                val specification = step(1, mayRunCopies = true)
                val since = now - case.elapsedMillis
                val id = TaskId(JOB, 0, 0, 0)
                val run = Run(id, 1, "w1", specification.amount, TEAM, specification, since)
                run.phase = case.phase
                run.confirmedAtMillis = since
                run.percent = case.percent
                val entry = WorkerEntry(worker("w1"), 0)
                entry.firstFailureMillis = case.silentMillis?.let { now - it }
                StragglerCopies().shouldCopy(run, entry, EXPECTED_MILLIS, now) shouldBe case.isCopied
            }
        }

        test("a task on an unresponsive worker is copied before its lease expires, unless copies are switched off") {
            silentStart(StragglerCopies()).decide(1_100, 0).starts().map { it.address.workerId } shouldBe listOf("w2")
            silentStart(NoCopies()).decide(1_100, 0).starts().shouldBeEmpty()
        }

        test("a task that may not run copies waits until the lease of its worker expires") {
            silentStart(StragglerCopies(), mayRunCopies = false).decide(1_100, 0).starts().shouldBeEmpty()
        }

        test("no copies start while other tasks wait for capacity") {
            silentStart(StragglerCopies(), taskCount = 3).decide(1_100, 0).starts().shouldBeEmpty()
        }

        test("the first run to end completes the task, and the other one is stopped") {
            val engine = silentStart(StragglerCopies())
            val copy =
                engine
                    .decide(1_100, 0)
                    .starts()
                    .single()
                    .order
            engine.handleStartOutcome("w2", copy, OrderOutcome.Done(2_100), now = 1_105)
            val done = listing(ended = listOf(end(1, copy.taskId, copy.runId, EndKind.DONE)), clockMillis = 2_500)
            engine.handleListing("w2", done, 1_500, 1_510)
            engine.state
                .takeChanges(10)
                .single()
                .state shouldBe JobState.COMPLETED
            engine.decide(1_520, 0).stops().map { it.address.workerId } shouldBe listOf("w1")
        }

        test("a task whose first run is lost continues with its copy") {
            val engine = silentStart(StragglerCopies())
            val copy =
                engine
                    .decide(1_100, 0)
                    .starts()
                    .single()
                    .order
            engine.handleStartOutcome("w2", copy, OrderOutcome.Done(2_100), now = 1_105)
            engine.handleMachineStopped("w1", now = 1_200)
            engine.decide(1_210, 0).starts().shouldBeEmpty()
            engine.state.jobs
                .getValue(JOB)
                .task(copy.taskId)
                ?.run
                ?.runId shouldBe copy.runId
        }

        test("a failed copy does not affect the first run") {
            val engine = silentStart(StragglerCopies())
            val copy =
                engine
                    .decide(1_100, 0)
                    .starts()
                    .single()
                    .order
            engine.handleStartOutcome("w2", copy, OrderOutcome.Done(2_100), now = 1_105)
            val failed = listing(ended = listOf(end(1, copy.taskId, copy.runId, EndKind.FAILED)), clockMillis = 2_500)
            engine.handleListing("w2", failed, 1_500, 1_510)
            val task =
                engine.state.jobs
                    .getValue(JOB)
                    .task(copy.taskId)
            task?.run shouldNotBe null
            task?.copy shouldBe null
            task?.failedRuns.orEmpty() shouldHaveSize 1
        }
    })
