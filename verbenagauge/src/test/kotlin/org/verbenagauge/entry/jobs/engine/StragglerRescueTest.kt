package org.verbenagauge.entry.jobs.engine

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import org.verbenagauge.entry.jobs.model.StepSpecification
import org.verbenagauge.entry.jobs.ports.OrderOutcome
import org.verbenagauge.entry.load.LoadSettings
import org.verbenagauge.entry.load.MachineStanding

private const val JOB = "0000000000000001"

private data class RescueCase(
    val name: String,
    val step: StepSpecification,
    val factor: Double = 6.0,
    val certainty: Double = 0.99,
    val percent: Int = 4,
    val isSilent: Boolean = false,
    val hasRoomElsewhere: Boolean = true,
    val stops: Int = 0,
)

private val checkpointing = step(1, cpuMillis = 3_000).copy(isCheckpointing = true)

// Returns the number of stops for one run on a machine with the given standing, next to a second worker.
private fun stops(case: RescueCase): Int {
    val engine = JobEngine(1, EngineLimits(load = LoadSettings(stragglerRescue = true)), now = 0)
    engine.configure(configuration())
    engine.state.isWorkerListKnown = true
    listOf("w1", "w2").forEach {
        engine.addRecordedWorker(worker(it, if (it == "w2" && !case.hasRoomElsewhere) 3_500 else 4_000), now = 0)
        engine.handleListing(it, listing(), sentAtMillis = 0, now = 0)
    }
    repeat(30) { engine.state.runTimes.learn(QUEUE, 1_000, 500) }
    engine.accept(JOB, job(case.step), now = 0)
    val start = engine.decide(0, 0).starts().first()
    val assignedWorker = engine.state.workers.getValue(start.address.workerId)
    if (!case.hasRoomElsewhere) {
        engine.state.workers.values.first { it !== assignedWorker }.listed.let { other ->
            engine.upsertWorker(other.copy(isReady = false), now = 0)
        }
    }
    engine.handleStartOutcome(assignedWorker.id, start.order, OrderOutcome.Done(1_000), now = 5)
    val run = assignedWorker.runs.values.first()
    run.speed.recordStart(1_000)
    run.speed.recordProgress(1_400, case.percent, expectedMillis = 1_000)
    run.percent = case.percent
    assignedWorker.standing = MachineStanding(case.factor, case.certainty, "test")
    assignedWorker.isSuspect = case.certainty > 0.5
    if (case.isSilent) assignedWorker.firstFailureMillis = 400
    // The second decision must not stop the task again.
    return (engine.decide(410, 0).stops() + engine.decide(470, 0).stops()).size
}

class StragglerRescueTest :
    FunSpec({
        context("a run is stopped to resume elsewhere") {
            withData(
                nameFn = { it.name },
                RescueCase("once when it writes checkpoints and its machine is surely slow", checkpointing, stops = 1),
                RescueCase("not when it writes no checkpoints", checkpointing.copy(isCheckpointing = false)),
                RescueCase("not when copies are allowed", checkpointing.copy(mayRunCopies = true)),
                RescueCase("not when its machine is healthy and only the task is long", checkpointing, 1.1, 0.1),
                RescueCase("not when its machine is only suspected to be slow", checkpointing, 3.0, 0.8),
                RescueCase("not when it is nearly complete", checkpointing, percent = 95),
                RescueCase("not when its worker does not answer", checkpointing, isSilent = true),
                RescueCase("not when there is no capacity elsewhere", checkpointing, hasRoomElsewhere = false),
            ) { case -> stops(case) shouldBe case.stops }
        }
    })
