package org.verbenagauge.entry.jobs.engine

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import org.verbenagauge.entry.jobs.model.TaskId
import org.verbenagauge.entry.jobs.ports.EndKind
import org.verbenagauge.entry.jobs.ports.ListingOutcome
import org.verbenagauge.entry.jobs.ports.OrderOutcome
import org.verbenagauge.entry.load.LoadSettings

private const val JOB = "0000000000000001"
private const val OTHER_JOB = "0000000000000002"
private val firstTask = TaskId(JOB, 0, 0, 0)

private data class LateFailureCase(
    val name: String,
    val load: LoadSettings,
    val maxAttempts: Int,
)

private fun JobEngine.confirmStarts(now: Long) =
    decide(now, now).starts().onEach {
        handleStartOutcome(it.address.workerId, it.order, OrderOutcome.Done(now), now)
    }

// A run on "w1" falls silent, its copy on "w2" is done, and then "w1" lists the run as failed, shortly after it has
// completed a task of another job.
private fun engineWithLateFailure(case: LateFailureCase): JobEngine {
    val engine = JobEngine(epoch = 1, EngineLimits(load = case.load), now = 0)
    engine.configure(configuration(maxAttempts = case.maxAttempts))
    engine.state.isWorkerListKnown = true
    listOf("w1", "w2").forEach {
        engine.addRecordedWorker(worker(it), now = 0)
        engine.handleListing(it, listing(), sentAtMillis = 0, now = 0)
    }
    engine.accept(OTHER_JOB, job(step(1)), now = 0)
    val other = engine.confirmStarts(0).single().order
    engine.accept(JOB, job(step(1, cpuMillis = 3_000, mayRunCopies = true), step(2, dependsOn = listOf(0))), now = 0)
    val first = engine.confirmStarts(0).single().order
    val otherDone = end(1, other.taskId, other.runId, EndKind.DONE)
    engine.handleListing("w1", listing(listOf(running(firstTask, first.runId)), listOf(otherDone)), 400, 400)
    engine.handleListing("w1", ListingOutcome.Failed("silent"), 600, 700)
    val copy = engine.confirmStarts(1_100).single().order
    engine.handleListing("w2", listing(ended = listOf(end(1, firstTask, copy.runId, EndKind.DONE))), 1_500, 1_500)
    val lateFailure = end(2, firstTask, first.runId, EndKind.FAILED)
    engine.handleListing("w1", listing(ended = listOf(otherDone, lateFailure)), 1_510, 1_510)
    return engine
}

class RunOfDoneTaskFailsTest :
    FunSpec({
        context("when a run of a task fails after another run of the task is done, the job goes on") {
            withData(
                nameFn = { it.name },
                LateFailureCase("with suspicion of hopeless jobs", LoadSettings(hopelessWork = true), maxAttempts = 3),
                LateFailureCase("without", LoadSettings(), maxAttempts = 3),
                LateFailureCase("with a single attempt", LoadSettings(), maxAttempts = 1),
            ) { case ->
                val engine = engineWithLateFailure(case)
                val starts = engine.decide(1_520, 1_520).starts().map { it.order.taskId }
                starts shouldBe listOf(TaskId(JOB, 0, 1, 0), TaskId(JOB, 0, 1, 1))
            }
        }
    })
