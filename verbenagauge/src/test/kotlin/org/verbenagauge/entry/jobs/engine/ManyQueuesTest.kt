package org.verbenagauge.entry.jobs.engine

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe

private const val QUEUES = 1_400
private const val MAX_RECORDED_QUEUES = 20

class ManyQueuesTest :
    FunSpec({
        test(
            "a new worker in a pool of many queues is recorded for some at once, for others with their first task",
        ) {
            val plain = configuration()
            val queues = List(QUEUES) { plain.queues.single().copy(name = "queue-$it", pathPrefix = "/q$it/") }
            val engine = JobEngine(epoch = 1, EngineLimits(), now = 0)
            engine.configure(plain.copy(queues = queues))
            engine.state.isWorkerListKnown = true
            engine.upsertWorker(worker("w1"), now = 0)
            val early = engine.state.roster.takeChanges(Int.MAX_VALUE)
            early
                .single()
                .record
                ?.queueNames
                .orEmpty()
                .size shouldBeLessThanOrEqual MAX_RECORDED_QUEUES
            engine.state.roster.confirmStored(early)
            engine.handleListing("w1", listing(), sentAtMillis = 0, now = 0)
            engine.accept("last", job(step(1)).copy(queueName = "queue-${QUEUES - 1}"), now = 5)
            engine.decide(10, 0).starts().size shouldBe 0
            engine.storeRoster()
            engine.decide(20, 0).starts().size shouldBe 1
        }
    })
