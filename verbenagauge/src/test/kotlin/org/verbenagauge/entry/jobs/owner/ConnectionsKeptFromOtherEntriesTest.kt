package org.verbenagauge.entry.jobs.owner

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.maps.shouldHaveSize
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runTest
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.jobs.MemoryRowStore
import org.verbenagauge.entry.jobs.engine.EngineLimits
import org.verbenagauge.entry.jobs.engine.JobEngine
import org.verbenagauge.entry.jobs.engine.SERVICE
import org.verbenagauge.entry.jobs.engine.configuration
import org.verbenagauge.entry.jobs.engine.job
import org.verbenagauge.entry.jobs.engine.step
import org.verbenagauge.entry.jobs.model.ServiceConfiguration
import org.verbenagauge.entry.jobs.ports.ReadResult
import org.verbenagauge.entry.jobs.ports.RowBatch
import org.verbenagauge.entry.jobs.ports.RowChange
import org.verbenagauge.entry.jobs.ports.RowFeed
import org.verbenagauge.entry.jobs.ports.RowStore
import org.verbenagauge.entry.jobs.records.OwnerRecord
import org.verbenagauge.entry.logging.EventLog

// Later than every lease of an owner before.
private const val START_MILLIS = 20_000L

private class QuietStore(
    private val rows: MemoryRowStore,
) : RowStore by rows {
    override fun feed(table: String): RowFeed =
        object : RowFeed {
            override suspend fun changesAfter(
                version: Long,
                waitMillis: Long,
            ): ReadResult<RowBatch> {
                delay(waitMillis)
                return ReadResult.Read(RowBatch(emptyList(), version))
            }

            override fun close() = Unit
        }
}

/** The term of one owner of [workers], and the job [jobId] that it runs. */
private class Term(
    private val scope: TestScope,
    private val workers: ConnectionLimitedWorkers.Entry,
) {
    private val clock =
        object : Clock {
            override fun monotonicMillis(): Long = scope.testScheduler.currentTime + START_MILLIS

            override fun wallMillis(): Long = monotonicMillis()
        }
    val engine = JobEngine(epoch = 1, EngineLimits(), clock.monotonicMillis() - START_MILLIS)
    private lateinit var term: OwnerTerm

    suspend fun start(connectionLimit: Int = 64): Job {
        val store = QuietStore(MemoryRowStore())
        val record = OwnerRecord("a", epoch = 1, sequence = 0)
        val row = RowChange(StoredTables.states, StoredTables.OWNER_KEY, OwnerLease.encode(record))
        store.transact(emptyList(), listOf(row), 100)
        val lease = OwnerLease(store, clock, record, version = 1, clock.monotonicMillis())
        val service =
            ServiceConfiguration(SERVICE, enforcesCapacity = false, isStandby = false, connectionLimit.toLong())
        engine.configure(configuration().copy(services = mapOf(SERVICE to service)))
        term =
            OwnerTerm(
                OwnerPorts(store, workers, advisor = null, workers, waves = null),
                lease,
                engine,
                EndedJobCleaner(store, clock),
                ProgressRows(),
                workVersion = 1,
                clock,
                OwnerSettings(),
                EventLog("a"),
                broadcast = null,
            )
        return scope.backgroundScope.launch { term.run() }
    }

    fun accept(
        jobId: String,
        taskCount: Int,
    ) {
        engine.accept(jobId, job(step(taskCount, cpuMillis = 10)), clock.monotonicMillis())
        term.wake()
    }

    fun cancel(jobId: String) {
        engine.cancel(jobId, clock.monotonicMillis())
        term.wake()
    }

    fun release() = term.release()
}

private data class FrozenCase(
    val name: String,
    val maxConnections: Int,
    val frozenOwners: Int,
    val isAtWork: Boolean = false,
)

// Tasks that fill the three workers.
private const val ALL_ROOM = 1_200
private const val FIRST_JOB = "0000000000000001"
private const val SECOND_JOB = "0000000000000002"

// Incident 014: an owner that stood still, or had lost its term, kept every connection that the workers take.
@OptIn(ExperimentalCoroutinesApi::class)
class ConnectionsKeptFromOtherEntriesTest :
    FunSpec({
        context("the next owner starts tasks on the workers of an owner that stands still") {
            withData(
                nameFn = { it.name },
                FrozenCase("after a busy time", maxConnections = 64, frozenOwners = 1),
                FrozenCase("in a busy time", 64, frozenOwners = 1, isAtWork = true),
                FrozenCase("after two others froze before", 64, frozenOwners = 3),
                FrozenCase("after many others", 64, frozenOwners = 10),
                FrozenCase("of few connections", 16, frozenOwners = 5),
                FrozenCase("of still fewer connections", 8, frozenOwners = 3),
            ) { case ->
                runTest {
                    val workers =
                        ConnectionLimitedWorkers(listOf("w1", "w2", "w3"), case.maxConnections, cpuMillis = 4_000) {
                            testScheduler.currentTime + START_MILLIS
                        }
                    repeat(case.frozenOwners) {
                        val entry = workers.Entry()
                        val term = Term(this, entry)
                        term.start(case.maxConnections)
                        advanceTimeBy(1_000)
                        term.accept(FIRST_JOB, ALL_ROOM)
                        if (case.isAtWork) {
                            advanceTimeBy(30)
                        } else {
                            advanceTimeBy(6_000)
                            term.cancel(FIRST_JOB)
                            advanceTimeBy(6_000)
                        }
                        entry.isFrozen = true
                        workers.runs.values.forEach { it.clear() }
                    }
                    val next = Term(this, workers.Entry())
                    next.start(case.maxConnections)
                    advanceTimeBy(1_000)
                    next.accept(SECOND_JOB, 24)
                    advanceTimeBy(2_000)
                    workers.runs.values.sumOf { it.size } shouldBe 24
                }
            }
        }

        test("a worker that answers no order is sent few, and its tasks start on the others") {
            runTest {
                val workers =
                    ConnectionLimitedWorkers(listOf("w1", "w2"), 64, 1_000_000, deafIds = setOf("w1")) {
                        testScheduler.currentTime + START_MILLIS
                    }
                val term = Term(this, workers.Entry())
                term.start()
                advanceTimeBy(1_000)
                term.accept(FIRST_JOB, 100)
                advanceTimeBy(10_000)
                workers.orders.getValue("w1") shouldBeLessThan 100
                // Those that were sent to the other one may be running there.
                workers.runs.getValue("w2").size shouldBeGreaterThan 90
            }
        }

        test("a worker that closes every connection for orders at once is sent few of them") {
            runTest {
                // The listings of one entry take the only connection.
                val workers =
                    ConnectionLimitedWorkers(listOf("w1", "w2"), maxConnections = 1, cpuMillis = 1_000_000) {
                        testScheduler.currentTime + START_MILLIS
                    }
                val term = Term(this, workers.Entry())
                term.start()
                advanceTimeBy(1_000)
                term.accept(FIRST_JOB, 100)
                advanceTimeBy(10_000)
                workers.orders.values.sum() shouldBeLessThan 200
            }
        }

        context("connections are closed") {
            withData(
                nameFn = { it.first },
                "at the end of the term" to { term: Term, _: ConnectionLimitedWorkers -> term.release() },
                "to workers that have left" to
                    { _: Term, workers: ConnectionLimitedWorkers -> workers.unlisted += workers.ids },
                "when no order uses them for a while" to { _: Term, _: ConnectionLimitedWorkers -> },
            ) { (name, change) ->
                runTest {
                    val workers =
                        ConnectionLimitedWorkers(listOf("w1", "w2"), 64, 1_000_000) {
                            testScheduler.currentTime + START_MILLIS
                        }
                    val term = Term(this, workers.Entry())
                    term.start()
                    advanceTimeBy(1_000)
                    term.accept(FIRST_JOB, 200)
                    advanceTimeBy(2_000)
                    term.cancel(FIRST_JOB)
                    advanceTimeBy(3_000)
                    change(term, workers)
                    advanceTimeBy(15_000)
                    // The listings keep theirs as long as the worker may return.
                    val listings = if (name.startsWith("when")) 1 else 0
                    workers.open.filterValues { it > listings } shouldHaveSize 0
                }
            }
        }
    })
