package org.verbenagauge.entry.jobs.engine

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import org.verbenagauge.entry.jobs.model.TaskId

private const val JOB = "0000000000000001"

/** Engine of a second owner that inherits a job of four tasks and the stored row of "w1", which has not answered. */
private fun secondOwner(): JobEngine {
    val engine = JobEngine(epoch = 2, EngineLimits(), now = 0)
    engine.configure(configuration())
    engine.state.isWorkerListKnown = true
    engine.addInheritedWorker(worker("w1"), now = 0)
    engine.inherit(JOB, job(step(4)), progress = null, acceptedAtMillis = 0, now = 0)
    return engine
}

private fun JobEngine.join(number: Int) {
    addRecordedWorker(worker("w$number"), now = number * 100L)
}

class PoolGrowsAfterTakeoverTest :
    FunSpec({
        test("inherited jobs start once the workers of the earlier owner have answered, however the pool grows") {
            val engine = secondOwner()
            (2..6).forEach(engine::join)
            engine.handleListing("w1", listing(), 600, 610)
            engine.decide(610, 0).starts() shouldHaveSize 4
        }

        test("inherited jobs wait for a worker of the earlier owner") {
            val engine = secondOwner()
            engine.join(2)
            engine.handleListing("w2", listing(), 200, 210)
            engine.decide(210, 0).starts().shouldBeEmpty()
            val found = running(TaskId(JOB, 0, 0, 0), runId = 7)
            engine.handleListing("w1", listing(listOf(found)), 600, 610)
            engine.decide(610, 0).starts() shouldHaveSize 3
        }

        test("while earlier runs are not known, inherited tasks are demand of their pool, which is not full for them") {
            val engine = secondOwner()
            engine.decide(100, 0).starts().shouldBeEmpty()
            engine.state.unsettledRoomByService[SERVICE]
                ?.amount
                ?.cpuMillis shouldBe 4_000
            engine.state.missingRoomByService[SERVICE] shouldBe null
        }
    })
