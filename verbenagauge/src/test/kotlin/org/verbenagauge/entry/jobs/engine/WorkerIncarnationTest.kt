package org.verbenagauge.entry.jobs.engine

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import org.verbenagauge.entry.jobs.model.TaskId
import org.verbenagauge.entry.jobs.ports.ListingOutcome
import org.verbenagauge.entry.jobs.ports.OrderOutcome
import org.verbenagauge.entry.jobs.ports.StartRefusal

private const val JOB = "0000000000000001"
private val task = TaskId(JOB, 0, 0, 0)

private data class IncarnationCase(
    val name: String,
    val born: Long,
    val hasAnswered: Boolean,
    val isGone: Boolean,
)

class WorkerIncarnationTest :
    FunSpec({
        test("a delayed start order is stopped in the next incarnation before its task starts elsewhere") {
            val engine = readyEngine("w1", "w2")
            engine.accept(JOB, job(step(1)), now = 0)
            val start = engine.decide(0, 0).starts().single()
            val workerId = start.address.workerId
            val runId = start.order.runId
            engine.handleStartOutcome(workerId, start.order, OrderOutcome.Unanswered("lost"), now = 500)
            engine.handleListing(workerId, listing(running = listOf(running(task, runId))), 510, 520)
            engine.decide(520, 0)
            engine.handleListing(workerId, listing(clockMillis = 10, bornUnixMillis = BORN + 1), 600, 610)
            val actions = engine.decide(610, 0)
            actions.starts().shouldBeEmpty()
            actions.stops().map { it.runId } shouldBe listOf(runId)
            engine.handleStopOutcome(workerId, task, runId, OrderOutcome.Done(20), now = 620)
            engine.handleListing(workerId, listing(clockMillis = 30, bornUnixMillis = BORN + 1), 630, 640)
            engine.decide(640, 0).starts() shouldHaveSize 1
        }

        test("a stop that the previous incarnation answered is ordered again in the next one") {
            val engine = readyEngine("w1", "w2")
            engine.accept(JOB, job(step(1)), now = 0)
            val start = engine.decide(0, 0).starts().single()
            val workerId = start.address.workerId
            engine.handleStartOutcome(workerId, start.order, OrderOutcome.Unanswered("lost"), now = 500)
            engine.decide(500, 0)
            val run =
                engine.state.workers
                    .getValue(workerId)
                    .runs
                    .getValue(task)
            engine.stop(run, now = 510)
            engine.handleStopOutcome(workerId, task, start.order.runId, OrderOutcome.Done(1_520), now = 520)
            engine.handleListing(workerId, listing(clockMillis = 10, bornUnixMillis = BORN + 1), 600, 610)
            val actions = engine.decide(610, 0)
            actions.starts().shouldBeEmpty()
            actions.stops().last().runId shouldBe start.order.runId
        }

        test("an answer to a stop sent to the previous incarnation does not cover a delayed start in the next one") {
            val engine = readyEngine("w1", "w2")
            engine.accept(JOB, job(step(1)), now = 0)
            val start = engine.decide(0, 0).starts().single()
            val workerId = start.address.workerId
            val runId = start.order.runId
            engine.handleStartOutcome(workerId, start.order, OrderOutcome.Unanswered("lost"), now = 500)
            engine.decide(500, 0)
            engine.handleStartOutcome(workerId, start.order, OrderOutcome.Refused(StartRefusal.UNHEALTHY), now = 510)
            engine.handleListing(workerId, listing(clockMillis = 10, bornUnixMillis = BORN + 1), 600, 610)
            engine.decide(610, 0)
            engine.handleStopOutcome(workerId, task, runId, OrderOutcome.Done(1_590), now = 620, sentAtMillis = 590)
            engine.handleListing(workerId, listing(clockMillis = 30, bornUnixMillis = BORN + 1), 630, 640)
            engine.decide(640, 0).starts().shouldBeEmpty()
        }

        test("answers from the former address of a worker do not affect the worker at its new address") {
            val engine = readyEngine("w1")
            val before = worker("w1").address
            val moved = worker("w1").copy(address = before.copy(port = 2), bornUnixMillis = BORN + 1)
            engine.addRecordedWorker(moved, now = 10)
            engine.handleListing("w1", listing(bornUnixMillis = BORN + 1), 12, 14, moved.address)
            engine.accept(JOB, job(step(1)), now = 20)
            val start = engine.decide(20, 0).starts().single()
            start.address shouldBe moved.address
            engine.handleStartOutcome("w1", start.order, OrderOutcome.Done(1_030), now = 30)
            engine.addRecordedWorker(worker("w2"), now = 30)
            engine.handleListing("w2", listing(), 30, 30)
            engine.handleListing("w1", ListingOutcome.Refused(StartRefusal.OTHER_LIFE), 40, 50, before)
            engine.handleListing("w1", listing(bornUnixMillis = BORN + 2), 60, 70, before)
            engine.decide(70, 0).starts().shouldBeEmpty()
            engine.handleListing("w1", ListingOutcome.Refused(StartRefusal.OTHER_LIFE), 80, 90, moved.address)
            engine.decide(90, 0).starts() shouldHaveSize 1
        }

        context("a worker is removed once a later worker of its machine has answered, regardless of clocks") {
            withData(
                nameFn = { it.name },
                IncarnationCase("listed, with a later start time", BORN + 1, hasAnswered = false, isGone = false),
                IncarnationCase("answered, with a later start time", BORN + 1, hasAnswered = true, isGone = true),
                IncarnationCase(
                    "answered, with an earlier start time after the clock went back",
                    BORN - 1,
                    hasAnswered = true,
                    isGone = true,
                ),
            ) { case ->
                val engine = readyEngine("w1")
                engine.accept(JOB, job(step(1)), now = 0)
                val start = engine.decide(0, 0).starts().single()
                engine.handleStartOutcome("w1", start.order, OrderOutcome.Done(1_000), now = 10)
                engine.upsertWorker(worker("w2").copy(machineId = "m1", bornUnixMillis = case.born), now = 20)
                if (case.hasAnswered) engine.handleListing("w2", listing(bornUnixMillis = case.born), 30, 40)
                ("w1" !in engine.state.workers) shouldBe case.isGone
            }
        }

        test("a worker that answers is not removed because of a stale list entry of its machine") {
            val engine = readyEngine("w1")
            engine.accept(JOB, job(step(1)), now = 0)
            val start = engine.decide(0, 0).starts().single()
            engine.handleStartOutcome("w1", start.order, OrderOutcome.Done(1_000), now = 10)
            engine.upsertWorker(worker("w0").copy(machineId = "m1", bornUnixMillis = BORN + 5), now = 20)
            engine.decide(30, 0).starts().shouldBeEmpty()
            ("w1" in engine.state.workers) shouldBe true
        }

        test("an answer in flight does not remove the next worker of the machine") {
            val engine = readyEngine("w1")
            engine.upsertWorker(worker("w2").copy(machineId = "m1", bornUnixMillis = BORN + 1), now = 40)
            engine.handleListing("w1", listing(), sentAtMillis = 30, now = 50)
            ("w2" in engine.state.workers) shouldBe true
        }

        test("a task starts elsewhere once the leases of its worker, silent at its new address, have expired") {
            val engine = readyEngine("w1")
            engine.accept(JOB, job(step(1)), now = 0)
            val start = engine.decide(0, 0).starts().single()
            engine.handleStartOutcome("w1", start.order, OrderOutcome.Done(1_000), now = 10)
            engine.addRecordedWorker(worker("w2"), now = 10)
            engine.handleListing("w2", listing(), 10, 10)
            engine.upsertWorker(worker("w1").copy(address = worker("w1").address.copy(port = 2)), now = 20)
            engine.handleListing("w1", ListingOutcome.Failed("silent"), 30, 600)
            engine.decide(6_200, 0).starts().shouldBeEmpty()
            engine.decide(6_400, 0).starts() shouldHaveSize 1
        }
    })
