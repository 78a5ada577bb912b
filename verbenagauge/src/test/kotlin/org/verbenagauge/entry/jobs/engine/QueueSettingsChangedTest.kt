package org.verbenagauge.entry.jobs.engine

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import org.verbenagauge.entry.jobs.model.JobState
import org.verbenagauge.entry.jobs.model.JobsConfiguration
import org.verbenagauge.entry.jobs.model.QueueConfiguration
import org.verbenagauge.entry.jobs.model.TaskId
import org.verbenagauge.entry.jobs.ports.EndKind
import org.verbenagauge.entry.jobs.records.JobRecord
import org.verbenagauge.entry.jobs.records.ProgressRecord
import org.verbenagauge.entry.jobs.records.acceptedQueue

private const val JOB = "0000000000000001"
private const val OTHER_SERVICE = "desk"
private const val ACCEPTED_VERSION = 5L
private val plainQueue = configuration().queues.single()

private fun version(
    number: Long,
    vararg queues: QueueConfiguration,
): JobsConfiguration = configuration().copy(version = number, queues = queues.toList())

private fun JobRecord.acceptedOn(queue: QueueConfiguration) =
    copy(acceptedQueue = acceptedQueue(queue, ACCEPTED_VERSION))

/** Engine with one worker in each of two services, under a configuration of version 1 with [queues]. */
private fun engineOf(vararg queues: QueueConfiguration): JobEngine {
    val engine = JobEngine(epoch = 1, EngineLimits(), now = 0)
    engine.configure(version(1, *queues))
    engine.state.isWorkerListKnown = true
    listOf(worker("w1"), worker("w2").copy(serviceName = OTHER_SERVICE)).forEach {
        engine.addRecordedWorker(it, now = 0)
        engine.handleListing(it.address.workerId, listing(), sentAtMillis = 0, now = 0)
    }
    return engine
}

/** Workers on which a decision at [now] starts tasks, also those whose roster row has to be stored first. */
private fun JobEngine.startedOn(now: Long): List<String> {
    val starts = decide(now, now).starts()
    storeRoster()
    return (starts + decide(now, now).starts()).map { it.address.workerId }
}

private data class ReadCase(
    val name: String,
    val record: JobRecord,
    val startsWithoutQueue: List<String>,
    val startsWithQueue: List<String>,
)

private data class ChangeCase(
    val name: String,
    val record: JobRecord,
    val progress: ProgressRecord? = null,
)

class QueueSettingsChangedTest :
    FunSpec({
        // Guards against accepted jobs that never start because the owner had not read their queue when it read them.
        context("a job that is read before its queue starts") {
            val lasting = job(step(1, isLasting = true))
            val timed = job(step(1)).let { it.copy(specification = it.specification.copy(repetitions = 1)) }
            withData(
                nameFn = { it.name },
                ReadCase("with stored settings", job(step(1)).acceptedOn(plainQueue), listOf("w1"), emptyList()),
                ReadCase("lasting, with stored settings", lasting.acceptedOn(plainQueue), listOf("w1"), emptyList()),
                ReadCase("timed, with stored settings", timed.acceptedOn(plainQueue), listOf("w1"), emptyList()),
                ReadCase("stored by an earlier release", job(step(1)), emptyList(), listOf("w1")),
                ReadCase("lasting, stored by an earlier release", lasting, emptyList(), listOf("w1")),
                ReadCase("timed, stored by an earlier release", timed, emptyList(), listOf("w1")),
            ) { case ->
                val engine = engineOf()
                engine.accept(JOB, case.record, now = 0)
                engine.startedOn(20_000) shouldBe case.startsWithoutQueue
                engine.configure(version(6, plainQueue), now = 20_010)
                engine.startedOn(20_020) shouldBe case.startsWithQueue
            }
        }

        context("a job whose queue was removed continues under the next owner") {
            withData(
                nameFn = { it.name },
                ChangeCase("not started", job(step(1)).acceptedOn(plainQueue)),
                ChangeCase(
                    "between two steps",
                    job(step(1), step(1, dependsOn = listOf(0))).acceptedOn(plainQueue),
                    ProgressRecord(listOf("0.0.0")),
                ),
            ) { case ->
                val engine = engineOf()
                engine.inherit(JOB, case.record, case.progress, acceptedAtMillis = 0, now = 0)
                engine.configure(version(7), now = 10)
                engine.startedOn(20_000) shouldBe listOf("w1")
            }
        }

        context("a waiting job follows the newest settings of its queue") {
            withData(
                nameFn = { it.name },
                ChangeCase("queued", job(step(1, cpuMillis = 5_000)).acceptedOn(plainQueue)),
                ChangeCase("stored by an earlier release", job(step(1, cpuMillis = 5_000))),
                ChangeCase(
                    "between two steps",
                    job(step(1), step(1, cpuMillis = 5_000, dependsOn = listOf(0))),
                    ProgressRecord(listOf("0.0.0")),
                ),
            ) { case ->
                val engine = engineOf(plainQueue)
                engine.upsertWorker(worker("w2", cpuMillis = 8_000).copy(serviceName = OTHER_SERVICE), now = 0)
                engine.inherit(JOB, case.record, case.progress, acceptedAtMillis = 0, now = 0)
                engine.startedOn(20_000) shouldBe emptyList()
                engine.configure(version(7, plainQueue.copy(serviceName = OTHER_SERVICE)), now = 20_010)
                engine.startedOn(20_020) shouldBe listOf("w2")
                engine.ready.waitingByTeam(SERVICE) shouldBe emptyMap()
            }
        }

        test("settings that were stored with a job do not override a configuration of the same or a later version") {
            val engine = engineOf()
            engine.configure(version(ACCEPTED_VERSION, plainQueue.copy(priority = 3)))
            engine.accept(JOB, job(step(1)).acceptedOn(plainQueue), now = 0)
            engine.state.jobs
                .getValue(JOB)
                .queue.priority shouldBe 3
            engine.configure(version(ACCEPTED_VERSION + 1, plainQueue.copy(priority = 4)))
            engine.state.jobs
                .getValue(JOB)
                .queue.priority shouldBe 4
        }

        test("a job that has failed as often as a lowered number of attempts allows ends, and nothing starts") {
            val engine = engineOf(plainQueue)
            engine.accept(JOB, job(step(1)), now = 0)
            val start = engine.decide(0, 0).starts().single()
            val failed = end(1, TaskId(JOB, 0, 0, 0), start.order.runId, EndKind.FAILED)
            engine.handleListing("w1", listing(ended = listOf(failed)), sentAtMillis = 10, now = 20)
            engine.configure(version(2, plainQueue.copy(maxAttempts = 1)), now = 30)
            engine.startedOn(20_000) shouldBe emptyList()
            engine.state
                .takeChanges(10)
                .single()
                .state shouldBe JobState.FAILED
        }

        test("a job of an unknown queue is counted as pending and logged once") {
            val engine = engineOf()
            engine.accept(JOB, job(step(1)), now = 0)
            engine.pendingByQueue() shouldBe mapOf(QUEUE to 1)
            engine.jobsOfUnknownQueues shouldBe 1
            val notes = engine.decide(0, 0).filterIsInstance<EngineAction.Note>().map { it.note.kind }
            notes.filter { it == NoteKind.QUEUE_UNKNOWN } shouldBe listOf(NoteKind.QUEUE_UNKNOWN)
            engine.configure(version(2, plainQueue))
            engine.jobsOfUnknownQueues shouldBe 0
        }
    })
