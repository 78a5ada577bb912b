package org.verbenagauge.entry.jobs.engine

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import org.verbenagauge.entry.jobs.model.JobSpecification
import org.verbenagauge.entry.jobs.model.JobState
import org.verbenagauge.entry.jobs.model.TaskId
import org.verbenagauge.entry.jobs.ports.EndKind
import org.verbenagauge.entry.jobs.ports.OrderOutcome
import org.verbenagauge.entry.jobs.records.JobRecord

private const val JOB = "0000000000000001"
private const val EARLIER_RUN = 7L
private val task = TaskId(JOB, 0, 0, 0)

/** Engine of a second owner; its [workerIds] are listed but have not answered yet. */
private fun secondOwner(vararg workerIds: String): JobEngine {
    val engine = JobEngine(epoch = 2, EngineLimits(), now = 0)
    engine.configure(configuration())
    engine.state.isWorkerListKnown = true
    workerIds.forEach { engine.addInheritedWorker(worker(it), now = 0) }
    return engine
}

// Incident 003: after a takeover by a new owner, tasks that must run once ran twice.
class DoubleRunAfterTakeoverTest :
    FunSpec({
        test("an inherited task waits for a worker whose list entry expired before it answered") {
            val engine = secondOwner("w1", "w2")
            engine.inherit(JOB, job(step(1, isLasting = true)), progress = null, acceptedAtMillis = 0, now = 0)
            engine.handleListing("w2", listing(), 0, 5)
            engine.unlist("w1", now = 10)
            engine.decide(10, 0).starts().shouldBeEmpty()
            engine.handleListing("w1", listing(running = listOf(running(task, EARLIER_RUN))), 20, 30)
            engine.decide(30, 0).starts().shouldBeEmpty()
        }

        test("a job accepted while the earlier owner may still send orders waits for the listings of all workers") {
            val engine = secondOwner("w1", "w2")
            engine.handleListing("w2", listing(), 0, 5)
            engine.accept(JOB, job(step(1)), now = 10)
            engine.decide(10, 0).starts().shouldBeEmpty()
            engine.handleListing("w1", listing(running = listOf(running(task, EARLIER_RUN))), 20, 30)
            engine.decide(30, 0).starts().shouldBeEmpty()
        }

        test("a run that is listed before its job is read is adopted as the run of its task") {
            val engine = secondOwner("w1", "w2")
            engine.handleListing("w1", listing(running = listOf(running(task, EARLIER_RUN))), 0, 5)
            engine.handleListing("w2", listing(), 0, 5)
            engine.decide(5, 0).stops().shouldBeEmpty()
            engine.accept(JOB, job(step(1)), now = 10)
            engine.decide(10, 0).starts().shouldBeEmpty()
            engine.handleListing("w1", listing(ended = listOf(end(1, task, EARLIER_RUN, EndKind.DONE))), 20, 30)
            engine.decide(30, 0).starts().shouldBeEmpty()
            engine.state
                .takeChanges(10)
                .single()
                .state shouldBe JobState.COMPLETED
        }

        test("a completion that is listed before its job is read is kept and not acknowledged before it is stored") {
            val engine = secondOwner("w1", "w2")
            engine.handleListing("w1", listing(ended = listOf(end(1, task, EARLIER_RUN, EndKind.DONE))), 0, 5)
            engine.handleListing("w2", listing(), 0, 5)
            engine.acknowledgeableEnds().single { it.workerId == "w1" }.number shouldBe 0
            engine.accept(JOB, job(step(1)), now = 10)
            engine.decide(10, 0).starts().shouldBeEmpty()
            engine.state
                .takeChanges(10)
                .single()
                .state shouldBe JobState.COMPLETED
            engine.acknowledgeableEnds().single { it.workerId == "w1" }.number shouldBe 1
        }

        test("an end of a job that was never accepted is acknowledged once all accepted jobs are read") {
            val engine = secondOwner("w1")
            engine.handleListing("w1", listing(ended = listOf(end(1, task, EARLIER_RUN, EndKind.DONE))), 0, 5)
            engine.markJobsRead(asOfMillis = 4)
            engine.acknowledgeableEnds().single().number shouldBe 0
            engine.markJobsRead(asOfMillis = 6)
            engine.acknowledgeableEnds().single().number shouldBe 1
        }

        test("a run of a job that was never accepted is stopped once all accepted jobs are read") {
            val engine = secondOwner("w1")
            engine.handleListing("w1", listing(running = listOf(running(task, EARLIER_RUN))), 0, 5)
            engine.decide(5, 0).stops().shouldBeEmpty()
            engine.markJobsRead(asOfMillis = 6)
            engine.decide(10, 0).stops() shouldHaveSize 1
        }

        test("an inherited task that completed does not start again when its end did not fit into the first listing") {
            val engine = secondOwner("w1", "w2")
            engine.inherit(JOB, job(step(2)), progress = null, acceptedAtMillis = 0, now = 0)
            val first = listOf(end(1, TaskId(JOB, 0, 0, 1), EARLIER_RUN, EndKind.DONE))
            engine.handleListing("w1", listing(ended = first, hasAllEnds = false), 0, 5)
            engine.handleListing("w2", listing(), 0, 5)
            engine.decide(5, 0).starts().shouldBeEmpty()
            engine.markEndsStored(engine.acknowledgeableEnds())
            engine.renewal("w1", 0, isProven = true, now = 10)?.acknowledged shouldBe 1
            engine.handleListing("w1", listing(ended = listOf(end(2, task, EARLIER_RUN, EndKind.DONE))), 10, 20)
            engine.decide(20, 0).starts().shouldBeEmpty()
            engine.state
                .takeChanges(10)
                .single()
                .state shouldBe JobState.COMPLETED
        }

        test("an occurrence that completed early under an earlier owner does not run again when it is due here") {
            val schedule = JobSpecification("text", listOf(step(1)), repetitions = 2, 0, intervalMillis = 1_000)
            val engine = secondOwner("w1", "w2")
            engine.inherit(JOB, JobRecord(QUEUE, TEAM, 0, schedule), progress = null, acceptedAtMillis = 0, now = 0)
            val second = TaskId(JOB, 1, 0, 0)
            engine.handleListing("w1", listing(ended = listOf(end(1, second, EARLIER_RUN, EndKind.DONE))), 0, 5)
            engine.handleListing("w2", listing(), 0, 5)
            val first = engine.decide(5, 0).starts().single()
            first.order.taskId.occurrence shouldBe 0
            engine.handleStartOutcome(first.address.workerId, first.order, OrderOutcome.Done(1_000), 10)
            engine.decide(2_000, 2_000).starts().shouldBeEmpty()
        }
    })
