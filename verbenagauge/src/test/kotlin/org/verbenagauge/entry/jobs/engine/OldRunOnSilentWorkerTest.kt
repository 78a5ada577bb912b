package org.verbenagauge.entry.jobs.engine

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import org.verbenagauge.entry.jobs.model.JobState
import org.verbenagauge.entry.jobs.ports.EndKind
import org.verbenagauge.entry.jobs.ports.ListingOutcome
import org.verbenagauge.entry.jobs.ports.OrderOutcome
import org.verbenagauge.entry.jobs.ports.StartRefusal

private const val JOB = "0000000000000001"

class OldRunOnSilentWorkerTest :
    FunSpec({
        test("a task whose run a silent, restarted worker calls old does not run again before the end is listed") {
            val engine = readyEngine("w1", "w2")
            engine.accept(JOB, job(step(1)), now = 0)
            val start = engine.decide(0, 0).starts().single()
            val workerId = start.address.workerId
            engine.handleStartOutcome(workerId, start.order, OrderOutcome.Unanswered("lost"), now = 100)
            engine.handleListing(workerId, ListingOutcome.Failed("silent"), 100, 200)
            engine.decide(200, 0).starts().map { it.order } shouldBe listOf(start.order)
            // The worker restarts, runs the order that arrives late, and refuses a repeated one.
            val refused = OrderOutcome.Refused(StartRefusal.OLD_RUN)
            engine.handleStartOutcome(workerId, start.order, refused, now = 20_000, sentAtMillis = 19_998)
            engine.decide(20_001, 0).starts().shouldBeEmpty()
            val done = end(1, start.order.taskId, start.order.runId, EndKind.DONE)
            engine.handleListing(workerId, listing(ended = listOf(done), bornUnixMillis = BORN + 1), 20_100, 20_110)
            engine.decide(20_120, 0).starts().shouldBeEmpty()
            engine.state
                .takeChanges(10)
                .single()
                .state shouldBe JobState.COMPLETED
        }
    })
