package org.verbenagauge.entry.jobs.engine

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import org.verbenagauge.entry.jobs.model.JobState
import org.verbenagauge.entry.jobs.model.TaskId
import org.verbenagauge.entry.jobs.ports.EndKind
import org.verbenagauge.entry.jobs.ports.ListingOutcome
import org.verbenagauge.entry.jobs.ports.OrderOutcome
import org.verbenagauge.entry.jobs.ports.StartRefusal

private const val JOB = "0000000000000001"
private const val OTHER_JOB = "0000000000000002"
private val task = TaskId(JOB, 0, 0, 0)

private data class FailureCase(
    val name: String,
    val outcome: ListingOutcome,
)

class PartialListingTest :
    FunSpec({
        test("a run whose end did not fit into the listing is not considered lost") {
            val engine = readyEngine("w1", "w2")
            engine.accept(JOB, job(step(1)), now = 0)
            val start = engine.decide(0, 0).starts().single()
            val workerId = start.address.workerId
            engine.handleStartOutcome(workerId, start.order, OrderOutcome.Done(1_000), now = 5)
            val earlier = (1L..500L).map { end(it, TaskId(OTHER_JOB, 0, 0, it.toInt()), 1, EndKind.DONE) }
            engine.handleListing(workerId, listing(ended = earlier, hasAllEnds = false), 10, 20)
            engine.decide(20, 0).starts().shouldBeEmpty()
            engine.markJobsRead(asOfMillis = 21)
            engine.markEndsStored(engine.acknowledgeableEnds())
            engine.renewal(workerId, 100, isProven = true, now = 30)?.acknowledged shouldBe 500
            val last = listOf(end(501, task, start.order.runId, EndKind.DONE))
            engine.handleListing(workerId, listing(ended = last), 30, 40)
            engine.decide(40, 0).starts().shouldBeEmpty()
            engine.state
                .takeChanges(10)
                .single()
                .state shouldBe JobState.COMPLETED
        }

        context("after a failed listing no run is lost, no lease renewed and no end acknowledged") {
            withData(
                nameFn = { it.name },
                FailureCase("an unreadable answer", ListingOutcome.Unreadable("no clock")),
                FailureCase("no answer", ListingOutcome.Failed("silent")),
                FailureCase("a refusal", ListingOutcome.Refused(StartRefusal.UNHEALTHY)),
            ) { case ->
                val engine = readyEngine("w1", "w2")
                engine.accept(JOB, job(step(1)), now = 0)
                val start = engine.decide(0, 0).starts().single()
                val workerId = start.address.workerId
                engine.handleStartOutcome(workerId, start.order, OrderOutcome.Done(1_000), now = 5)
                val ended = listOf(end(1, TaskId(OTHER_JOB, 0, 0, 0), 1, EndKind.DONE))
                val runs = listOf(running(task, start.order.runId))
                engine.handleListing(workerId, listing(running = runs, ended = ended), 10, 20)
                engine.markJobsRead(asOfMillis = 21)
                engine.markEndsStored(engine.acknowledgeableEnds())
                engine.handleListing(workerId, case.outcome, 30, 40)
                engine.decide(40, 0).starts().shouldBeEmpty()
                val renewal = engine.renewal(workerId, 100, isProven = true, now = 50)
                renewal?.acknowledged shouldBe 0
                renewal?.leaseUntilWorkerMillis shouldBe null
                renewal?.waitMillis shouldBe 0
                engine.handleListing(workerId, listing(running = runs, ended = ended), 50, 60)
                engine.renewal(workerId, 100, isProven = true, now = 70)?.acknowledged shouldBe 1
            }
        }

        test("the task of a worker whose answers stay unreadable starts elsewhere once its lease has expired") {
            val engine = readyEngine("w1", "w2")
            engine.accept(JOB, job(step(1)), now = 0)
            val start = engine.decide(0, 0).starts().single()
            val workerId = start.address.workerId
            engine.handleStartOutcome(workerId, start.order, OrderOutcome.Done(1_000), now = 5)
            var now = 10L
            while (now < 6_000) {
                engine.renewal(workerId, 100, isProven = true, now = now)
                engine.handleListing(workerId, ListingOutcome.Unreadable("a row of another form"), now, now + 10)
                engine.decide(now + 10, 0).starts().shouldBeEmpty()
                now += 160
            }
            val again = engine.decide(7_000, 0).starts()
            again shouldHaveSize 1
            (again.single().address.workerId != workerId) shouldBe true
        }
    })
