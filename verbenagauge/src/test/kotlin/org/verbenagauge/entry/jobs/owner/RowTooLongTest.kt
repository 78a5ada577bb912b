package org.verbenagauge.entry.jobs.owner

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.booleans.shouldBeTrue
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
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
import org.verbenagauge.entry.jobs.engine.addRecordedWorker
import org.verbenagauge.entry.jobs.engine.configuration
import org.verbenagauge.entry.jobs.engine.job
import org.verbenagauge.entry.jobs.engine.listing
import org.verbenagauge.entry.jobs.engine.starts
import org.verbenagauge.entry.jobs.engine.step
import org.verbenagauge.entry.jobs.engine.worker
import org.verbenagauge.entry.jobs.ports.OrderOutcome
import org.verbenagauge.entry.jobs.ports.ReadResult
import org.verbenagauge.entry.jobs.ports.RowChange
import org.verbenagauge.entry.jobs.records.OwnerRecord
import org.verbenagauge.entry.jobs.records.ProgressRecord
import org.verbenagauge.entry.jobs.records.RecordCodec
import org.verbenagauge.entry.load.LoadSettings

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
) {
    val store = MemoryRowStore(MAX_ROW_BYTES)
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

    suspend fun ownerRow(): OwnerRecord {
        val read = store.read(StoredTables.states, StoredTables.OWNER_KEY, 100) as ReadResult.Read
        return checkNotNull(read.value?.value?.let { RecordCodec.decode(OwnerRecord.serializer(), it) })
    }
}

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

        test("the row of one job that is too long keeps no other row from being stored, and is not repeated") {
            runTest {
                val engine = JobEngine(epoch = 1, EngineLimits(), now = 0)
                engine.configure(configuration())
                val done = List(9_000) { "0.0.$it" }
                engine.inherit("long", job(step(9_999)), ProgressRecord(doneTasks = done), 0, 0)
                listOf(
                    "before",
                    "after",
                ).forEach { engine.inherit(it, job(step(2)), ProgressRecord(listOf("0.0.0")), 0, 0) }
                val rig = WriterRig(this, engine)
                rig.start()
                backgroundScope.launch { rig.writer.run { } }
                repeat(20) {
                    listOf("before", "long", "after").forEach { id ->
                        engine.state.markChanged(engine.state.jobs.getValue(id))
                    }
                    rig.writer.wake()
                    delay(200)
                    rig.writer.isLeaseValid().shouldBeTrue()
                }
                listOf("before", "after").forEach { rig.store.row(StoredTables.progress, it) shouldNotBe null }
                rig.store.row(StoredTables.states, StoredTables.stateKey("long")) shouldNotBe null
                rig.store.rejectedKeys.filter {
                    it.first() == "long" && "before" !in it && "after" !in it
                } shouldHaveSize
                    1
            }
        }
    })
