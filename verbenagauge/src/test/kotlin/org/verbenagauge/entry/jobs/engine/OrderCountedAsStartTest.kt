package org.verbenagauge.entry.jobs.engine

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import org.verbenagauge.entry.jobs.model.TaskId
import org.verbenagauge.entry.jobs.ports.EndKind
import org.verbenagauge.entry.jobs.ports.OrderOutcome
import org.verbenagauge.entry.jobs.ports.StartRefusal
import org.verbenagauge.entry.jobs.records.JobRecord
import org.verbenagauge.entry.jobs.records.ProgressRecord

private const val JOB = "0000000000000001"
private val task = TaskId(JOB, 0, 0, 0)
private val none = emptyMap<String, Int>()
private val one = mapOf(QUEUE to 1)

private data class OrderCase(
    val name: String,
    val pending: Map<String, Int>,
    val record: JobRecord = job(step(1)),
    val follow: JobEngine.(List<EngineAction.Start>) -> Unit,
)

private data class InheritedCase(
    val name: String,
    val progress: ProgressRecord?,
    val pending: Map<String, Int>,
    val follow: JobEngine.() -> Unit = {},
)

private fun JobEngine.answer(
    start: EngineAction.Start,
    outcome: OrderOutcome,
) {
    handleStartOutcome(start.address.workerId, start.order, outcome, now = 20, sentAtMillis = 10)
}

// A job whose orders no worker has carried out waits, whatever was ordered.
class OrderCountedAsStartTest :
    FunSpec({
        context("a job counts as pending until a worker has shown a run of it") {
            withData(
                nameFn = { it.name },
                OrderCase("its start is ordered", one) {},
                OrderCase("its start is refused for want of room", one) {
                    answer(it.single(), OrderOutcome.Refused(StartRefusal.NO_ROOM))
                },
                OrderCase("its start is refused by an unhealthy worker", one) {
                    answer(it.single(), OrderOutcome.Refused(StartRefusal.UNHEALTHY))
                },
                OrderCase("its start is not sent", one) { answer(it.single(), OrderOutcome.NotSent("no path")) },
                OrderCase("its start is not answered and the worker lists nothing", one) {
                    answer(it.single(), OrderOutcome.Unanswered("lost"))
                    handleListing("w1", listing(), sentAtMillis = 30, now = 40)
                },
                OrderCase("its gang does not fit", one, job(step(9, isGang = true))) {},
                OrderCase("its start is accepted", none) { answer(it.single(), OrderOutcome.Done(1_000)) },
                OrderCase("the answer is lost and the worker lists the run", none) {
                    answer(it.single(), OrderOutcome.Unanswered("lost"))
                    val run = running(task, it.single().order.runId)
                    handleListing("w1", listing(listOf(run)), sentAtMillis = 30, now = 40)
                },
                OrderCase("the answer is lost and the worker lists the end of the run", none) {
                    answer(it.single(), OrderOutcome.Unanswered("lost"))
                    val ended = end(1, task, it.single().order.runId, EndKind.STOPPED)
                    handleListing("w1", listing(ended = listOf(ended)), sentAtMillis = 30, now = 40)
                },
                OrderCase("its only run has started and is lost", none) {
                    answer(it.single(), OrderOutcome.Done(1_000))
                    handleListing("w1", listing(), sentAtMillis = 30, now = 40)
                },
            ) { case ->
                val engine = readyEngine("w1")
                engine.accept(JOB, case.record, now = 0)
                val starts = engine.decide(10, 0).starts()
                case.follow(engine, starts)
                engine.pendingByQueue() shouldBe case.pending
            }
        }

        context("an inherited job counts as pending unless its progress or a worker shows a run") {
            withData(
                nameFn = { it.name },
                InheritedCase("nothing is stored", progress = null, one),
                InheritedCase("progress without a run is stored", ProgressRecord(), one),
                InheritedCase("a done task is stored", ProgressRecord(doneTasks = listOf("0.0.0")), none),
                InheritedCase(
                    "a failed run is stored",
                    ProgressRecord(failedRuns = mapOf("0.0.0" to listOf(7L))),
                    none,
                ),
                InheritedCase(
                    "a checkpoint is stored",
                    ProgressRecord(checkpoints = mapOf("0.0.0" to "saved")),
                    none,
                ),
                InheritedCase("a start is stored", ProgressRecord(isStarted = true), none),
                InheritedCase("a worker lists a run", ProgressRecord(), none) {
                    handleListing("w1", listing(listOf(running(task, runId = 7))), sentAtMillis = 30, now = 40)
                },
            ) { case ->
                val engine = readyEngine("w1", epoch = 2)
                engine.inherit(JOB, job(step(2)), case.progress, acceptedAtMillis = 0, now = 0)
                case.follow(engine)
                engine.pendingByQueue() shouldBe case.pending
            }
        }
    })
