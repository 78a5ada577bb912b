package org.verbenagauge.entry.jobs.engine

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldHaveSize
import org.verbenagauge.entry.jobs.ports.OrderOutcome
import org.verbenagauge.entry.jobs.ports.StartRefusal

private const val JOB = "0000000000000001"

// How long a worker without new ends delays a listing, as requested by the owner.
private const val LISTING_WAIT_MILLIS = 1_000L
private const val TICK_MILLIS = 10L
private const val DURATION_MILLIS = 10_000L

// Delayed listings and repeated stops overlap, so each listing was requested before the latest stop was confirmed. A
// run that never started would then never be given up.
class StopOfUnstartedRunTest :
    FunSpec({
        test("a run that never started is given up although stops are repeated more often than listings return") {
            val engine = readyEngine("w1")
            engine.accept(JOB, job(step(1)), now = 0)
            val start = engine.decide(0, 0).starts().single()
            engine.handleStartOutcome("w1", start.order, OrderOutcome.Unanswered("lost"), 500)
            engine.handleStartOutcome("w1", start.order, OrderOutcome.Refused(StartRefusal.UNHEALTHY), 510)
            var sentAtMillis = 520L
            engine.renewal("w1", LISTING_WAIT_MILLIS, isProven = true, now = sentAtMillis)
            val restarts = ArrayList<EngineAction.Start>()
            for (now in 520L..DURATION_MILLIS step TICK_MILLIS) {
                engine.decide(now, 0).forEach { action ->
                    if (action is EngineAction.Start && action.order.runId != start.order.runId) restarts += action
                    if (action is EngineAction.Stop) {
                        engine.handleStopOutcome("w1", action.taskId, action.runId, OrderOutcome.Done(now), now)
                    }
                }
                if (now - sentAtMillis >= LISTING_WAIT_MILLIS) {
                    engine.handleListing("w1", listing(clockMillis = now), sentAtMillis, now)
                    sentAtMillis = now
                    engine.renewal("w1", LISTING_WAIT_MILLIS, isProven = true, now = now)
                }
            }
            restarts shouldHaveSize 1
        }
    })
