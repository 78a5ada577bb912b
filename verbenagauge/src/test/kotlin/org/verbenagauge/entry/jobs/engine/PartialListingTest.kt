package org.verbenagauge.entry.jobs.engine

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import org.verbenagauge.entry.jobs.model.JobState
import org.verbenagauge.entry.jobs.model.TaskId
import org.verbenagauge.entry.jobs.ports.EndKind
import org.verbenagauge.entry.jobs.ports.OrderOutcome

private const val JOB = "0000000000000001"
private const val OTHER_JOB = "0000000000000002"
private val task = TaskId(JOB, 0, 0, 0)

class PartialListingTest :
    FunSpec({
        test("a run whose end is beyond those that fit into one listing is not taken for gone") {
            val engine = readyEngine("w1", "w2")
            engine.accept(JOB, job(step(1)), now = 0)
            val start = engine.decide(0, 0).starts().single()
            val workerId = start.address.workerId
            engine.started(workerId, start.order, OrderOutcome.Done(1_000), now = 5)
            val earlier = (1L..500L).map { end(it, TaskId(OTHER_JOB, 0, 0, it.toInt()), 1, EndKind.DONE) }
            engine.listed(workerId, listing(ended = earlier, hasAllEnds = false), 10, 20)
            engine.decide(20, 0).starts().shouldBeEmpty()
            engine.stored(engine.seenEnds())
            engine.renewal(workerId, 100, isProven = true, now = 30)?.acknowledged shouldBe 500
            val last = listOf(end(501, task, start.order.runId, EndKind.DONE))
            engine.listed(workerId, listing(ended = last), 30, 40)
            engine.decide(40, 0).starts().shouldBeEmpty()
            engine.state
                .takeChanges(10)
                .single()
                .state shouldBe JobState.COMPLETED
        }
    })
