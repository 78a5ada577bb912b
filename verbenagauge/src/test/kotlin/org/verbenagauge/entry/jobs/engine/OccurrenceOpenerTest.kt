package org.verbenagauge.entry.jobs.engine

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.verbenagauge.entry.jobs.model.JobState
import org.verbenagauge.entry.jobs.model.TaskId
import org.verbenagauge.entry.jobs.ports.EndKind
import org.verbenagauge.entry.jobs.ports.OrderOutcome
import org.verbenagauge.entry.jobs.records.JobRecord
import org.verbenagauge.entry.jobs.records.ProgressRecord

private const val SMALL = "small"
private const val OTHER_QUEUE = "other"
private const val MAX_REPETITIONS = 105_120
private const val UNIX_MILLIS = 1_700_000_000_000L

private fun timed(
    taskCount: Int,
    repetitions: Int = MAX_REPETITIONS,
    queueName: String = QUEUE,
    firstRunUnixMillis: Long = 0,
): JobRecord {
    val plain = job(step(taskCount, cpuMillis = 100))
    val schedule =
        plain.specification.copy(
            repetitions = repetitions,
            firstRunUnixMillis = firstRunUnixMillis,
            intervalMillis = 300_000,
        )
    return plain.copy(specification = schedule, queueName = queueName)
}

private fun large(queueName: String = QUEUE) = job(step(10_000, cpuMillis = 8_000)).copy(queueName = queueName)

/** Engine with a worker of 4 cores and twenty-one queues of the same service. */
private fun engineOfQueues(limits: EngineLimits = EngineLimits()): JobEngine {
    val engine = JobEngine(epoch = 1, limits, now = 0)
    val queue = configuration().queues.single()
    val names = List(20) { "$QUEUE-$it" } + OTHER_QUEUE + QUEUE
    engine.configure(configuration().copy(queues = names.map { queue.copy(name = it, pathPrefix = "/$it/") }))
    engine.state.isWorkerListKnown = true
    engine.addRecordedWorker(worker("w1"), now = 0)
    engine.handleListing("w1", listing(), sentAtMillis = 0, now = 0)
    return engine
}

private data class OpenTasksCase(
    val name: String,
    val records: List<JobRecord>,
    val smallQueueName: String,
    val maxOpenTasks: Long = 200_000,
)

private data class DueCase(
    val name: String,
    val record: JobRecord,
    val openTasks: Long,
)

class OccurrenceOpenerTest :
    FunSpec({
        // Guards against owners that run out of memory one after the other since a job stands for a million tasks.
        context("tasks that an owner holds are bounded over all jobs, and a small job starts beside them") {
            withData(
                nameFn = { it.name },
                OpenTasksCase("one timed job, all due", listOf(timed(10)), OTHER_QUEUE, maxOpenTasks = 30_000),
                OpenTasksCase("one timed job, all due, same queue", listOf(timed(10)), QUEUE, maxOpenTasks = 30_000),
                OpenTasksCase("twenty timed jobs, all due, one queue", List(20) { timed(10) }, QUEUE),
                OpenTasksCase(
                    "twenty timed jobs, all due, in queues",
                    List(20) { timed(10, queueName = "$QUEUE-$it") },
                    QUEUE,
                ),
                OpenTasksCase("forty large jobs, one queue", List(40) { large() }, OTHER_QUEUE),
                OpenTasksCase("forty large jobs, same queue", List(40) { large() }, QUEUE),
                OpenTasksCase("forty large jobs, in queues", List(40) { large("$QUEUE-${it / 2}") }, QUEUE),
                OpenTasksCase(
                    "timed jobs of large occurrences",
                    List(20) { timed(10_000, queueName = "$QUEUE-$it") },
                    QUEUE,
                ),
            ) { case ->
                val engine = engineOfQueues()
                case.records.forEachIndexed { index, record -> engine.accept("flood-$index", record, now = 0) }
                (1..100).forEach { pass -> engine.decide(pass * 50L, UNIX_MILLIS).also { engine.storeRoster() } }
                engine.openTasks shouldBeGreaterThan 0
                engine.openTasks shouldBeLessThanOrEqual case.maxOpenTasks
                engine.addRecordedWorker(worker("w2"), now = 6_000)
                engine.handleListing("w2", listing(), sentAtMillis = 6_000, now = 6_000)
                val record = job(step(2)).copy(queueName = case.smallQueueName)
                engine.accept(SMALL, record.copy(acceptedUnixMillis = UNIX_MILLIS), now = 6_000)
                val small = engine.state.jobs.getValue(SMALL)
                small.openTasks shouldBe 2
                engine.ready.inOrder(SERVICE, now = 6_000).map { it.job } shouldContain small
            }
        }

        test("a decision opens a bounded number of tasks") {
            val engine = engineOfQueues()
            repeat(20) { engine.accept("flood-$it", timed(10, queueName = "$QUEUE-$it"), now = 0) }
            var before = 0L
            (1..50).forEach { pass ->
                engine.decide(pass * 50L, UNIX_MILLIS)
                engine.openTasks - before shouldBeLessThanOrEqualTo 10_010
                before = engine.openTasks
            }
        }

        context("jobs below the bound are opened as soon as they are due") {
            withData(
                nameFn = { it.name },
                DueCase("the largest job", job(step(10_000)), 10_000),
                DueCase("a timed job of large occurrences", timed(10_000, repetitions = 1), 10_000),
                DueCase("overlapping occurrences", timed(10, repetitions = 100), 1_000),
                DueCase("a timed job that is not due", timed(10, firstRunUnixMillis = UNIX_MILLIS + 1), 0),
            ) { case ->
                val engine = engineOfQueues()
                engine.accept(SMALL, case.record, now = 0)
                engine.decide(0, UNIX_MILLIS)
                engine.openTasks shouldBe case.openTasks
            }
        }

        test("every occurrence of a job that exceeds the bound runs once, in the order of their due times") {
            val engine = engineOfQueues(EngineLimits(maxOpenTasks = 100))
            engine.accept(SMALL, timed(2, repetitions = 300), now = 0)
            val started = ArrayList<TaskId>()
            var now = 0L
            var number = 0L
            while (SMALL in engine.state.jobs && now < 100_000) {
                now += 50
                val starts = engine.decide(now, UNIX_MILLIS).starts()
                engine.storeRoster()
                starts.forEach { engine.handleStartOutcome("w1", it.order, OrderOutcome.Done(now), now, now) }
                val ends = starts.map { end(++number, it.order.taskId, it.order.runId, EndKind.DONE) }
                engine.handleListing("w1", listing(ended = ends, clockMillis = now), now, now)
                engine.openTasks shouldBeLessThanOrEqual 100
                started += starts.map { it.order.taskId }
            }
            started.map { it.localKey }.toSet().size shouldBe 600
            started.size shouldBe 600
            started.map { it.occurrence } shouldBe started.map { it.occurrence }.sorted()
            engine.state
                .takeChanges(10)
                .single()
                .state shouldBe JobState.COMPLETED
        }

        test("a new owner continues after the occurrences that are done, and holds no more than the bound") {
            val engine = engineOfQueues()
            val done = ProgressRecord(listOf("64.0.3"), doneOccurrenceWords = listOf(-1L))
            engine.inherit(SMALL, timed(10), done, acceptedAtMillis = 0, now = 0)
            engine.decide(20_000, UNIX_MILLIS)
            val job = engine.state.jobs.getValue(SMALL)
            job.open.firstKey() shouldBe 64
            job.task(TaskId(SMALL, 64, 0, 3))?.phase shouldBe TaskPhase.DONE
            engine.openTasks shouldBeLessThanOrEqual 30_000
        }

        test("a cancelled job gives its share of the open tasks back") {
            val engine = engineOfQueues()
            engine.accept(SMALL, timed(10), now = 0)
            engine.decide(0, UNIX_MILLIS)
            engine.cancel(SMALL, now = 10)
            engine.openTasks shouldBe 0
            engine.jobsWithWaitingOccurrences shouldBe 0
        }
    })
