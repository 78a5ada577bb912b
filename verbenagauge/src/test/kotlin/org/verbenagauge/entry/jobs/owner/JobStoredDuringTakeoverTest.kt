package org.verbenagauge.entry.jobs.owner

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runTest
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.jobs.MemoryRowStore
import org.verbenagauge.entry.jobs.engine.EngineLimits
import org.verbenagauge.entry.jobs.engine.JobEngine
import org.verbenagauge.entry.jobs.engine.addInheritedWorker
import org.verbenagauge.entry.jobs.engine.configuration
import org.verbenagauge.entry.jobs.engine.job
import org.verbenagauge.entry.jobs.engine.listing
import org.verbenagauge.entry.jobs.engine.starts
import org.verbenagauge.entry.jobs.engine.step
import org.verbenagauge.entry.jobs.engine.worker
import org.verbenagauge.entry.jobs.ports.ReadResult
import org.verbenagauge.entry.jobs.ports.RowBatch
import org.verbenagauge.entry.jobs.ports.RowFeed
import org.verbenagauge.entry.jobs.ports.RowStore
import org.verbenagauge.entry.jobs.ports.StoredRow
import org.verbenagauge.entry.jobs.records.JobRecord
import org.verbenagauge.entry.jobs.records.RecordCodec
import org.verbenagauge.entry.logging.EventLog

private const val JOB = "0000000000000001"
private const val WORK_READ_VERSION = 5L

/** A store whose feed returns a job that was stored right after the accepted jobs were read. */
private class StoreWithLaterJob : RowStore by MemoryRowStore() {
    override fun feed(table: String): RowFeed =
        object : RowFeed {
            override suspend fun changesAfter(
                version: Long,
                waitMillis: Long,
            ): ReadResult<RowBatch> {
                delay(5)
                if (version > WORK_READ_VERSION) awaitCancellation()
                val value = RecordCodec.encode(JobRecord.serializer(), job(step(1)))
                val row = StoredRow(table, StoredTables.jobKey(JOB), value, WORK_READ_VERSION + 1)
                return ReadResult.Read(RowBatch(listOf(row), WORK_READ_VERSION + 1))
            }

            override fun close() = Unit
        }
}

private data class TakeoverCase(
    val name: String,
    val loadMillis: Long,
)

// Incident 003: a job was stored while a new owner was loading stored state, and the earlier owner had started it.
@OptIn(ExperimentalCoroutinesApi::class)
class JobStoredDuringTakeoverTest :
    FunSpec({
        context("a job that was stored after the accepted jobs were read waits for all workers") {
            withData(
                nameFn = { it.name },
                TakeoverCase("when the other tables were read quickly", loadMillis = 100),
                TakeoverCase("when the other tables were read after the lease expired", loadMillis = 2_000),
            ) { case ->
                runTest {
                    val clock =
                        object : Clock {
                            override fun monotonicMillis() = testScheduler.currentTime

                            override fun wallMillis() = testScheduler.currentTime
                        }
                    val engine = JobEngine(epoch = 2, EngineLimits(), now = 0)
                    engine.configure(configuration())
                    engine.state.isWorkerListKnown = true
                    // Accepted jobs have been read by now; reading states, progress and roster takes longer.
                    advanceTimeBy(case.loadMillis)
                    val follower =
                        WorkFollower(StoreWithLaterJob(), engine, clock, WORK_READ_VERSION, EventLog("a")) { }
                    val running = backgroundScope.launch { follower.run() }
                    listOf("w1", "w2").forEach { engine.addInheritedWorker(worker(it), clock.monotonicMillis()) }
                    engine.handleListing("w2", listing(), clock.monotonicMillis(), clock.monotonicMillis())
                    advanceTimeBy(50)
                    running.cancel()
                    engine.state.jobs.containsKey(JOB) shouldBe true
                    engine.decide(clock.monotonicMillis(), 0).starts().size shouldBe 0
                }
            }
        }
    })
