package org.verbenagauge.entry.jobs.engine

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldHaveSize
import org.verbenagauge.entry.jobs.ports.OrderOutcome
import org.verbenagauge.entry.jobs.ports.StartRefusal

private const val JOB = "0000000000000001"

// How long a worker without an end lets a listing wait, as the owner asks for it.
private const val LISTING_MILLIS = 1_000L
private const val STEP_MILLIS = 10L
private const val LONG_MILLIS = 10_000L

// Listings that wait and repeated stops overlap, so that each listing was sent before the newest stop was confirmed.
class StopWithoutRunTest :
    FunSpec({
        test("a run that never began is given up although each listing waits longer than stops are repeated") {
            val engine = readyEngine("w1")
            engine.accept(JOB, job(step(1)), now = 0)
            val start = engine.decide(0, 0).starts().single()
            engine.handleStartOutcome("w1", start.order, OrderOutcome.Unanswered("lost"), 500)
            engine.handleStartOutcome("w1", start.order, OrderOutcome.Refused(StartRefusal.UNHEALTHY), 510)
            var sentAtMillis = 520L
            engine.renewal("w1", LISTING_MILLIS, isProven = true, now = sentAtMillis)
            val later = ArrayList<EngineAction.Start>()
            for (now in 520L..LONG_MILLIS step STEP_MILLIS) {
                engine.decide(now, 0).forEach { action ->
                    if (action is EngineAction.Start && action.order.runId != start.order.runId) later += action
                    if (action is EngineAction.Stop) {
                        engine.handleStopOutcome("w1", action.taskId, action.runId, OrderOutcome.Done(now), now)
                    }
                }
                if (now - sentAtMillis >= LISTING_MILLIS) {
                    engine.handleListing("w1", listing(clockMillis = now), sentAtMillis, now)
                    sentAtMillis = now
                    engine.renewal("w1", LISTING_MILLIS, isProven = true, now = now)
                }
            }
            later shouldHaveSize 1
        }
    })
