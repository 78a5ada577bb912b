package org.verbenagauge.entry.jobs.engine

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import org.verbenagauge.entry.jobs.model.JobState
import org.verbenagauge.entry.jobs.model.TaskId
import org.verbenagauge.entry.jobs.ports.EndKind
import org.verbenagauge.entry.jobs.ports.ListedEnd
import org.verbenagauge.entry.jobs.ports.OrderOutcome

private const val JOB = "0000000000000001"
private const val EARLIER_RUN = 7L

// Maximum number of ends in one worker listing, per the worker interface.
private const val PAGE_ENDS = 500
private val task = TaskId(JOB, 0, 0, 0)
private val fullPage = List(PAGE_ENDS) { ListedEnd(it + 1L, null, 1, EndKind.STOPPED, "") }

class EndsBeyondOnePageTest :
    FunSpec({
        test("a run whose end is on the next page of the listing does not count as lost") {
            val engine = readyEngine("w1")
            engine.accept(JOB, job(step(1)), now = 0)
            val start = engine.decide(0, 0).starts().single()
            engine.handleStartOutcome("w1", start.order, OrderOutcome.Done(1_000), 5)
            engine.handleListing("w1", listing(ended = fullPage, hasAllEnds = false), sentAtMillis = 10, now = 20)
            engine.decide(20, 0).starts().shouldBeEmpty()
            val done = end(PAGE_ENDS + 1L, task, start.order.runId, EndKind.DONE)
            engine.handleListing("w1", listing(ended = listOf(done)), sentAtMillis = 30, now = 40)
            engine.decide(40, 0).starts().shouldBeEmpty()
            engine.state
                .takeChanges(1)
                .single()
                .state shouldBe JobState.COMPLETED
        }

        test("an inherited task waits for the remaining pages of ends of a worker that may have run it") {
            val engine = JobEngine(epoch = 2, EngineLimits(), now = 0)
            engine.configure(configuration())
            engine.state.isWorkerListKnown = true
            engine.addInheritedWorker(worker("w1"), now = 0)
            engine.inherit(JOB, job(step(1)), progress = null, acceptedAtMillis = 0, now = 0)
            engine.handleListing("w1", listing(ended = fullPage, hasAllEnds = false), 0, 5)
            engine.decide(5, 0).starts().shouldBeEmpty()
            val done = end(PAGE_ENDS + 1L, task, EARLIER_RUN, EndKind.DONE)
            engine.handleListing("w1", listing(ended = listOf(done)), 10, 20)
            engine.decide(20, 0).starts().shouldBeEmpty()
        }
    })
