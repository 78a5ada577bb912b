package org.verbenagauge.entry.jobs.owner

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.booleans.shouldBeTrue
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.maps.shouldContainKey
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runTest
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.jobs.MemoryRowStore
import org.verbenagauge.entry.jobs.engine.EngineLimits
import org.verbenagauge.entry.jobs.engine.JobEngine
import org.verbenagauge.entry.jobs.engine.JobEntry
import org.verbenagauge.entry.jobs.engine.addRecordedWorker
import org.verbenagauge.entry.jobs.engine.configuration
import org.verbenagauge.entry.jobs.engine.end
import org.verbenagauge.entry.jobs.engine.job
import org.verbenagauge.entry.jobs.engine.listing
import org.verbenagauge.entry.jobs.engine.readyEngine
import org.verbenagauge.entry.jobs.engine.starts
import org.verbenagauge.entry.jobs.engine.step
import org.verbenagauge.entry.jobs.engine.worker
import org.verbenagauge.entry.jobs.model.TaskId
import org.verbenagauge.entry.jobs.ports.EndKind
import org.verbenagauge.entry.jobs.ports.OrderOutcome
import org.verbenagauge.entry.jobs.ports.ReadResult
import org.verbenagauge.entry.jobs.ports.RowChange
import org.verbenagauge.entry.jobs.records.JobRecord
import org.verbenagauge.entry.jobs.records.OwnerRecord
import org.verbenagauge.entry.jobs.records.ProgressRecord
import org.verbenagauge.entry.jobs.records.RecordCodec
import org.verbenagauge.entry.load.LoadSettings
import org.verbenagauge.entry.logging.EventLog

/** Longest row that the platform's store accepts, in bytes. */
private const val MAX_ROW_BYTES = 65_536
private const val START_MILLIS = 10_000L
private const val QUEUES = 2_000
private const val BUSY_QUEUE = "queue-of-an-auction-hall-0007"

private fun queueName(number: Int) = "queue-of-an-auction-hall-%04d".format(number)

/** Engine with one full worker and [QUEUES] queues, of which [waitingQueues] have a waiting job and one has fifty. */
private fun engineOfManyQueues(waitingQueues: Int): JobEngine {
    val load = LoadSettings(accountShares = true, admission = true)
    val engine = JobEngine(epoch = 1, EngineLimits(load = load), now = START_MILLIS)
    val plain = configuration()
    engine.configure(
        plain.copy(queues = List(QUEUES) { plain.queues.single().copy(name = queueName(it), pathPrefix = "/q$it/") }),
    )
    engine.state.isWorkerListKnown = true
    engine.addRecordedWorker(worker("w1"), now = START_MILLIS)
    engine.handleListing("w1", listing(), sentAtMillis = START_MILLIS, now = START_MILLIS)
    repeat(waitingQueues) { engine.accept("job-$it", job(step(4)).copy(queueName = queueName(it)), now = START_MILLIS) }
    repeat(50) { engine.accept("busy-$it", job(step(4)).copy(queueName = BUSY_QUEUE), now = START_MILLIS) }
    engine.decide(START_MILLIS, 0).starts().forEach {
        engine.handleStartOutcome("w1", it.order, OrderOutcome.Done(START_MILLIS), START_MILLIS, START_MILLIS)
    }
    return engine
}

private fun TestScope.clock() =
    object : Clock {
        override fun monotonicMillis() = testScheduler.currentTime + START_MILLIS

        override fun wallMillis() = testScheduler.currentTime + START_MILLIS
    }

private class WriterRig(
    scope: TestScope,
    val engine: JobEngine,
    maxRowBytes: Int = MAX_ROW_BYTES,
) {
    val store = MemoryRowStore(maxRowBytes)
    private val clock = scope.clock()
    private val record = OwnerRecord("a", epoch = 1, sequence = 0)
    private val settings = OwnerSettings()
    lateinit var writer: OwnerWriter
        private set

    suspend fun start() {
        val row = RowChange(StoredTables.states, StoredTables.OWNER_KEY, OwnerLease.encode(record))
        store.transact(emptyList(), listOf(row), 100)
        val lease = OwnerLease(store, clock, record, version = 1, clock.monotonicMillis())
        writer = OwnerWriter(lease, engine, clock, settings, EndedJobCleaner(store, clock))
    }

    /** Progress of the job [LONG_JOB] as the next owner restores it from the store; null if nothing is stored. */
    suspend fun restored(record: JobRecord): ProgressRecord? {
        val place = StoredTables.work(LONG_JOB)
        store.put(place, StoredTables.jobKey(LONG_JOB), RecordCodec.encode(JobRecord.serializer(), record))
        val next = JobEngine(epoch = 2, EngineLimits(), now = 0)
        next.configure(configuration())
        StoredStateLoader(store, clock, EventLog("a") {}).read(next, EndedJobCleaner(store, clock), ProgressRows())
        return next.state.jobs[LONG_JOB]?.let(::sortedProgress)
    }

    fun progressOf(jobId: String): ProgressRecord = sortedProgress(engine.state.jobs.getValue(jobId))

    private fun sortedProgress(job: JobEntry) = job.progress().let { it.copy(doneTasks = it.doneTasks.sorted()) }

    suspend fun ownerRow(): OwnerRecord {
        val read = store.read(StoredTables.states, StoredTables.OWNER_KEY, 100) as ReadResult.Read
        return checkNotNull(read.value?.value?.let { RecordCodec.decode(OwnerRecord.serializer(), it) })
    }
}

private const val LONG_JOB = "00000000000000aa"

private fun timed(
    record: JobRecord,
    repetitions: Int,
) = record.copy(specification = record.specification.copy(repetitions = repetitions, intervalMillis = 1))

/** Engine whose worker has listed an end that is not acknowledged yet. */
private fun engineWithEnds(): JobEngine {
    val engine = readyEngine("w1")
    engine.inherit("ended", job(step(2)), progress = null, acceptedAtMillis = 0, now = 0)
    val ended = listing(ended = listOf(end(1, TaskId("ended", 0, 0, 0), 1, EndKind.DONE)))
    engine.handleListing("w1", ended, sentAtMillis = 0, now = 0)
    return engine
}

private fun JobEngine.areEndsAcknowledged() = state.workers.getValue("w1").storedEnd == 1L

private data class ProgressCase(
    val name: String,
    val record: JobRecord,
    val progress: ProgressRecord,
    val maxRowBytes: Int = MAX_ROW_BYTES,
)

private data class ManyQueuesCase(
    val name: String,
    val waitingQueues: Int,
)

@OptIn(ExperimentalCoroutinesApi::class)
class RowTooLongTest :
    FunSpec({
        context("the owner's row fits into the store, however many queues share a full pool") {
            withData(
                nameFn = { it.name },
                ManyQueuesCase("jobs wait in one queue", 0),
                ManyQueuesCase("jobs wait in a few queues", 40),
                ManyQueuesCase("jobs wait in each queue", QUEUES),
            ) { case ->
                runTest {
                    val rig = WriterRig(this, engineOfManyQueues(case.waitingQueues))
                    rig.start()
                    backgroundScope.launch { rig.writer.run { } }
                    advanceTimeBy(4_000)
                    rig.store.rejectedKeys.shouldBeEmpty()
                    rig.writer.isLeaseValid().shouldBeTrue()
                    val row = rig.ownerRow()
                    row.pendingByQueue.getValue(BUSY_QUEUE) shouldBe if (case.waitingQueues > 7) 50 else 49
                    row.pressure?.byQueue.orEmpty() shouldContainKey BUSY_QUEUE
                    row.pendingAgeMillis shouldNotBe null
                    row.omitsPending shouldBe (row.pendingByQueue.size < maxOf(1, case.waitingQueues))
                    OwnerLease.encode(row).size shouldBeLessThanOrEqual MAX_ROW_BYTES
                }
            }
        }

        test("a queue in which nothing waits takes no room in the owner's row") {
            val pressure = checkNotNull(engineOfManyQueues(waitingQueues = 0).state.pressure.read(START_MILLIS + 1_000))
            pressure.byQueue.keys shouldBe setOf(BUSY_QUEUE)
        }

        // Guards against done tasks that start again: their ends were acknowledged while no row held their progress.
        context("whatever progress an accepted job makes is stored before its ends are acknowledged") {
            withData(
                nameFn = { it.name },
                ProgressCase("many tasks are done", job(step(10_000)), ProgressRecord(List(9_000) { "0.0.$it" })),
                ProgressCase(
                    "many tasks have checkpoints",
                    job(step(10_000)),
                    ProgressRecord(
                        checkpoints = (0 until 10_000).associate { "0.0.$it" to "checkpoint-%06d".format(it) },
                    ),
                ),
                ProgressCase(
                    "many runs have failed",
                    job(step(10_000)),
                    ProgressRecord(
                        failedRuns = (0 until 10_000).associate { "0.0.$it" to listOf(it + 1L, it + 20_000L) },
                    ),
                ),
                ProgressCase(
                    "many occurrences are partly done",
                    timed(job(step(2)), repetitions = 9_000),
                    ProgressRecord(List(9_000) { "$it.0.1" }),
                ),
                ProgressCase(
                    "every second occurrence is done",
                    timed(job(step(1)), repetitions = 100_000),
                    ProgressRecord(doneOccurrenceWords = List(100_000 / 64) { 0x5555_5555_5555_5555L }),
                ),
                ProgressCase(
                    "the store takes shorter rows",
                    job(step(2_000)),
                    ProgressRecord(List(1_999) { "0.0.$it" }),
                    8_000,
                ),
            ) { case ->
                runTest {
                    val engine = engineWithEnds()
                    val rig = WriterRig(this, engine, case.maxRowBytes)
                    rig.start()
                    engine.inherit(LONG_JOB, case.record, case.progress, 0, 0)
                    engine.state.markChanged(engine.state.jobs.getValue(LONG_JOB))
                    backgroundScope.launch { rig.writer.run { } }
                    val acknowledgedAfter =
                        (1..400).firstOrNull {
                            advanceTimeBy(
                                5,
                            ).let { engine.areEndsAcknowledged() }
                        }
                    acknowledgedAfter shouldNotBe null
                    rig.restored(case.record) shouldBe rig.progressOf(LONG_JOB)
                    rig.store.rowCount(StoredTables.progressPages) shouldBeGreaterThan 0
                }
            }
        }

        test("progress that an earlier owner stored in one row and later ones in pages is read together") {
            runTest {
                val engine = engineWithEnds()
                val rig = WriterRig(this, engine)
                rig.start()
                val record = job(step(10_000))
                engine.inherit(LONG_JOB, record, ProgressRecord(List(9_000) { "0.0.$it" }), 0, 0)
                engine.state.markChanged(engine.state.jobs.getValue(LONG_JOB))
                backgroundScope.launch { rig.writer.run { } }
                advanceTimeBy(1_000)
                // An earlier release writes its row only, from the part of it that it could read.
                val row = checkNotNull(rig.store.row(StoredTables.progress, LONG_JOB)?.value)
                val known = checkNotNull(RecordCodec.decode(ProgressRecord.serializer(), row)).doneTasks
                val written = ProgressRecord(known.take(1_000) + "0.0.9999")
                rig.store.put(StoredTables.progress, LONG_JOB, RecordCodec.encode(ProgressRecord.serializer(), written))
                val restored = checkNotNull(rig.restored(record))
                restored.doneTasks.toSet() shouldBe (List(9_000) { "0.0.$it" } + "0.0.9999").toSet()
            }
        }

        test("the pages of a job are removed after its end") {
            runTest {
                val engine = engineWithEnds()
                val rig = WriterRig(this, engine)
                rig.start()
                engine.inherit(LONG_JOB, job(step(10_000)), ProgressRecord(List(9_000) { "0.0.$it" }), 0, 0)
                engine.state.markChanged(engine.state.jobs.getValue(LONG_JOB))
                backgroundScope.launch { rig.writer.run { } }
                advanceTimeBy(1_000)
                engine.cancel(LONG_JOB, START_MILLIS)
                advanceTimeBy(8_000)
                rig.store.rowCount(StoredTables.progressPages) shouldBe 0
                rig.store.row(StoredTables.progress, LONG_JOB) shouldBe null
            }
        }

        test("a store that takes no row of one job stores the others, and no end is acknowledged") {
            runTest {
                val engine = engineWithEnds()
                listOf(
                    "before",
                    "after",
                ).forEach { engine.inherit(it, job(step(2)), ProgressRecord(listOf("0.0.0")), 0, 0) }
                val rig = WriterRig(this, engine)
                rig.store.rejectedKey = LONG_JOB
                rig.start()
                engine.inherit(LONG_JOB, job(step(2)), ProgressRecord(listOf("0.0.0")), 0, 0)
                backgroundScope.launch { rig.writer.run { } }
                repeat(20) {
                    listOf("before", LONG_JOB, "after").forEach { id ->
                        engine.state.markChanged(engine.state.jobs.getValue(id))
                    }
                    rig.writer.wake()
                    delay(200)
                    rig.writer.isLeaseValid().shouldBeTrue()
                }
                listOf("before", "after").forEach { rig.store.row(StoredTables.progress, it) shouldNotBe null }
                rig.store.row(StoredTables.states, StoredTables.stateKey(LONG_JOB)) shouldNotBe null
                engine.areEndsAcknowledged() shouldBe false
                // At first once for each length of the rows, then once a second.
                rig.store.rejectedKeys.count {
                    LONG_JOB in it && "before" !in it && "after" !in it
                } shouldBeLessThanOrEqual
                    10
                rig.store.rejectedKey = null
                delay(3_000)
                engine.areEndsAcknowledged().shouldBeTrue()
            }
        }
    })
