package org.verbenagauge.entry.jobs.owner

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runTest
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.jobs.MemoryRowStore
import org.verbenagauge.entry.jobs.engine.EngineLimits
import org.verbenagauge.entry.jobs.engine.JobEngine
import org.verbenagauge.entry.jobs.engine.configuration
import org.verbenagauge.entry.jobs.engine.job
import org.verbenagauge.entry.jobs.engine.step
import org.verbenagauge.entry.jobs.ports.RowChange
import org.verbenagauge.entry.jobs.records.JobRecord
import org.verbenagauge.entry.jobs.records.RecordCodec
import org.verbenagauge.entry.jobs.records.RefusalRecord
import org.verbenagauge.entry.logging.EventLog

private const val JOB = "00000000000000aa"
private const val OTHER = "00000000000000ab"
private val refusal = RecordCodec.encode(RefusalRecord.serializer(), RefusalRecord(1))

private fun TestScope.clock() =
    object : Clock {
        override fun monotonicMillis() = testScheduler.currentTime + 10_000

        override fun wallMillis() = testScheduler.currentTime + 10_000
    }

private suspend fun MemoryRowStore.put(
    jobId: String,
    value: ByteArray,
) = transact(emptyList(), listOf(RowChange(StoredTables.work(jobId), StoredTables.jobKey(jobId), value)), 100)

private fun MemoryRowStore.has(jobId: String) = row(StoredTables.work(jobId), StoredTables.jobKey(jobId)) != null

class RefusalRowTest :
    FunSpec({
        test(
            "a new owner does not run a refused job, keeps its refusal row for the retention time and then removes it",
        ) {
            runTest {
                val store = MemoryRowStore()
                store.put(JOB, refusal)
                val clock = clock()
                val engine = JobEngine(2, EngineLimits(), clock.monotonicMillis()).apply { configure(configuration()) }
                val cleaner = EndedJobCleaner(store, clock)
                StoredStateLoader(store, clock, EventLog("a") {}).read(engine, cleaner, ProgressRows())
                engine.state.jobs.keys shouldBe emptySet()
                backgroundScope.launch { cleaner.run() }
                advanceTimeBy(170_000)
                store.has(JOB) shouldBe true
                advanceTimeBy(20_000)
                store.has(JOB) shouldBe false
            }
        }

        test("a refusal row that a job has replaced meanwhile is not removed") {
            runTest {
                val store = MemoryRowStore()
                store.put(JOB, refusal)
                store.put(OTHER, refusal)
                val cleaner = EndedJobCleaner(store, clock())
                listOf(JOB, OTHER).forEach {
                    val version = checkNotNull(store.row(StoredTables.work(it), StoredTables.jobKey(it))).version
                    cleaner.recordRefusal(it, version)
                }
                store.put(JOB, RecordCodec.encode(JobRecord.serializer(), job(step(1))))
                backgroundScope.launch { cleaner.run() }
                advanceTimeBy(200_000)
                listOf(JOB, OTHER).map(store::has) shouldBe listOf(true, false)
            }
        }
    })
