package org.verbenagauge.entry.jobs.engine

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import org.verbenagauge.entry.jobs.model.TaskId
import org.verbenagauge.entry.jobs.ports.EndKind
import org.verbenagauge.entry.jobs.records.RosterRecord

private const val ENDED_JOB = "0000000000000001"
private const val NEXT_JOB = "0000000000000002"
private const val EARLIER_RUN = 7L
private val endedTask = TaskId(ENDED_JOB, 0, 0, 0)
private val row = RosterRecord(SERVICE, "127.0.0.1", 1, BORN, "m1", setOf(QUEUE))

class RoomOfEndedJobTest :
    FunSpec({
        test("a run of an ended job reserves the whole worker if the worker was restored before it was listed") {
            val engine = JobEngine(epoch = 2, EngineLimits(), now = 0)
            engine.configure(configuration())
            engine.state.rememberEnd(ENDED_JOB)
            engine.restoreWorker("w1", row, now = 0)
            engine.handleListing("w1", listing(running = listOf(running(endedTask, EARLIER_RUN))), 0, 5)
            engine.addRecordedWorker(worker("w1", cpuMillis = 4_000), now = 10)
            engine.state.isWorkerListKnown = true
            engine.inherit(NEXT_JOB, job(step(1, cpuMillis = 4_000)), progress = null, acceptedAtMillis = 0, now = 10)
            engine.decide(10, 0).starts().shouldBeEmpty()
            val stopped = end(1, endedTask, EARLIER_RUN, EndKind.STOPPED)
            engine.handleListing("w1", listing(ended = listOf(stopped), clockMillis = 1_020), 15, 20)
            engine.decide(20, 0).starts() shouldHaveSize 1
        }
    })
