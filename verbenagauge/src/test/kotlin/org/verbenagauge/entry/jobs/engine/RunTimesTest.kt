package org.verbenagauge.entry.jobs.engine

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.verbenagauge.entry.jobs.ports.EndKind
import org.verbenagauge.entry.jobs.ports.OrderOutcome
import org.verbenagauge.entry.load.MeanRunTimes

class RunTimesTest :
    FunSpec({
        test("the run times of a queue are known after 20 runs, not after the first one") {
            val times = MeanRunTimes()
            repeat(19) { times.learn(QUEUE, 600) }
            times.isKnown(QUEUE) shouldBe false
            times.learn(QUEUE, 600)
            times.isKnown(QUEUE) shouldBe true
        }

        test("the first runs have equal weights, so that a short first run does not dominate the mean") {
            val times = MeanRunTimes()
            listOf(100L, 700L, 700L, 700L).forEach { times.learn(QUEUE, it) }
            times.expectMillis(QUEUE, estimateMillis = 550) shouldBe 550
        }

        test("no worker is avoided for runs that end after a takeover, although short runs have ended first") {
            val engine = readyEngine("w1", "w2")
            engine.accept("job", job(step(8)), now = 0)
            val starts = engine.decide(0, 0).starts()
            starts.forEach {
                engine.handleStartOutcome(
                    it.address.workerId,
                    it.order,
                    OrderOutcome.Done(1_000),
                    now = 5,
                )
            }
            starts.forEachIndexed { index, start ->
                val now = if (index == 0) 200L else 1_200L
                val number = index + 1L
                val done = listing(ended = listOf(end(number, start.order.taskId, start.order.runId, EndKind.DONE)))
                engine.handleListing(start.address.workerId, done, now, now)
            }
            engine.state.workers.values
                .map { it.avoidUntilMillis }
                .toSet() shouldBe setOf(0L)
        }
    })
