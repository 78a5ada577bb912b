package org.verbenagauge.entry.jobs.engine

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import org.verbenagauge.entry.jobs.model.TaskId
import org.verbenagauge.entry.jobs.ports.EndKind
import org.verbenagauge.entry.jobs.records.RosterRecord

private const val JOB = "0000000000000001"
private const val EARLIER_RUN = 7L
private val task = TaskId(JOB, 0, 0, 0)

private fun owner(
    epoch: Long,
    vararg workerIds: String,
): JobEngine {
    val engine = JobEngine(epoch, EngineLimits(), now = 0)
    engine.configure(configuration())
    engine.state.isWorkerListKnown = true
    workerIds.forEach { engine.addInheritedWorker(worker(it), now = 0) }
    return engine
}

// Incident 003: a worker whose list entry expired was dropped while only the worker and this owner knew how its runs
// had ended, so that a later owner could start the tasks again.
class EndsOfDroppedWorkersTest :
    FunSpec({
        test("a DONE end of a job that is not read yet is kept after the platform no longer lists its worker") {
            val engine = owner(2, "w1", "w2")
            engine.handleListing("w1", listing(ended = listOf(end(1, task, EARLIER_RUN, EndKind.DONE))), 0, 5)
            engine.handleListing("w2", listing(), 0, 5)
            engine.unlist("w1", now = 10)
            engine.accept(JOB, job(step(1)), now = 20)
            engine.decide(20, 0).starts().shouldBeEmpty()
        }

        test("a task whose end may be on the next page does not start when the platform no longer lists its worker") {
            val engine = owner(2, "w1", "w2")
            engine.inherit(JOB, job(step(1)), progress = null, acceptedAtMillis = 0, now = 0)
            val others = (1L..500L).map { end(it, TaskId("e%015x".format(it), 0, 0, 0), EARLIER_RUN, EndKind.DONE) }
            engine.handleListing("w1", listing(ended = others, hasAllEnds = false), 0, 5)
            engine.handleListing("w2", listing(), 0, 5)
            engine.decide(5, 0).starts().shouldBeEmpty()
            engine.unlist("w1", now = 10)
            engine.decide(20, 0).starts().shouldBeEmpty()
        }

        test("the roster row of a worker is kept until the ends that it has listed are stored") {
            val second = owner(2, "w1", "w2")
            val jobIds = (1..25).map { "%016x".format(it) }
            jobIds.forEach {
                second.inherit(
                    it,
                    job(step(1, cpuMillis = 10), step(1, cpuMillis = 10, dependsOn = listOf(0))),
                    null,
                    0,
                    0,
                )
            }
            val ends = jobIds.mapIndexed { i, id -> end(i + 1L, TaskId(id, 0, 0, 0), EARLIER_RUN + i, EndKind.DONE) }
            second.handleListing("w1", listing(ended = ends), 0, 5)
            second.unlist("w1", now = 10)

            // One write of the owner: the roster changes and the first job changes.
            val rows = HashMap<String, RosterRecord>()
            rows["w1"] = RosterRecord(SERVICE, "127.0.0.1", 1, BORN, "m1", setOf(QUEUE))
            second.state.roster.takeChanges(40).forEach { change ->
                val record = change.record
                if (record == null) rows.remove(change.workerId) else rows[change.workerId] = record
            }
            val stored = second.state.takeChanges(20).associateBy { it.jobId }

            // The owner crashes here. The next one reads what is stored; w1 is not listed again yet.
            val third = owner(3, "w2")
            rows.forEach { (id, row) -> third.restoreWorker(id, row, now = 0) }
            jobIds.forEach {
                third.inherit(
                    it,
                    job(step(1, cpuMillis = 10), step(1, cpuMillis = 10, dependsOn = listOf(0))),
                    stored[it]?.progress,
                    0,
                    0,
                )
            }
            third.handleListing("w2", listing(), 0, 5)
            val startedAgain =
                third
                    .decide(10, 0)
                    .starts()
                    .map { it.order.taskId }
                    .filter { it.step == 0 }
            startedAgain.size shouldBe 0
        }
    })
