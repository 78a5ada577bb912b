package org.verbenagauge.entry.jobs.owner

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runTest
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.jobs.MemoryRowStore
import org.verbenagauge.entry.jobs.ports.RowChange

private const val JOB_ID = "0000000000000001"

private data class RetentionCase(
    val fullRowRetentionMillis: Long,
    val checkAtMillis: Long,
    val isFull: Boolean,
)

@OptIn(ExperimentalCoroutinesApi::class)
class EndedJobCleanerTest :
    FunSpec({
        context("the full row of an ended job is kept for as long as the next owner needs it") {
            withData(
                RetentionCase(fullRowRetentionMillis = 0, checkAtMillis = 3_900, isFull = true),
                RetentionCase(fullRowRetentionMillis = 0, checkAtMillis = 4_100, isFull = false),
                RetentionCase(fullRowRetentionMillis = 22_000, checkAtMillis = 23_900, isFull = true),
                RetentionCase(fullRowRetentionMillis = 22_000, checkAtMillis = 24_100, isFull = false),
            ) { case ->
                runTest {
                    val clock =
                        object : Clock {
                            override fun monotonicMillis() = testScheduler.currentTime

                            override fun wallMillis() = testScheduler.currentTime + 1_000_000
                        }
                    val store = MemoryRowStore()
                    val place = StoredTables.work(JOB_ID)
                    store.transact(
                        emptyList(),
                        listOf(RowChange(place, StoredTables.jobKey(JOB_ID), ByteArray(50))),
                        100,
                    )
                    val cleaner = EndedJobCleaner(store, clock, case.fullRowRetentionMillis)
                    cleaner.recordEnd(JOB_ID, clock.wallMillis())
                    val running = backgroundScope.launch { cleaner.run() }
                    advanceTimeBy(case.checkAtMillis)
                    val value = store.row(place, StoredTables.jobKey(JOB_ID))?.value
                    (value?.let(StoredTables::isEndedTombstone) == false) shouldBe case.isFull
                    running.cancel()
                }
            }
        }
    })
