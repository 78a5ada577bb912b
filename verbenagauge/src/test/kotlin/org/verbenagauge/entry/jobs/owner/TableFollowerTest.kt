package org.verbenagauge.entry.jobs.owner

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runTest
import org.verbenagauge.entry.jobs.MemoryRowStore
import org.verbenagauge.entry.jobs.ports.ReadResult
import org.verbenagauge.entry.jobs.ports.RowBatch
import org.verbenagauge.entry.jobs.ports.RowChange
import org.verbenagauge.entry.jobs.ports.RowFeed
import org.verbenagauge.entry.jobs.ports.RowPlace
import org.verbenagauge.entry.jobs.ports.RowStore
import org.verbenagauge.entry.logging.EventLog

private val place = RowPlace("op")

/** A store whose feed has too many changes to return in time, while its current rows can be read in time. */
private class StoreWithLaggingFeed(
    private val rows: MemoryRowStore,
) : RowStore by rows {
    override fun feed(table: String): RowFeed =
        object : RowFeed {
            override suspend fun changesAfter(
                version: Long,
                waitMillis: Long,
            ): ReadResult<RowBatch> {
                val all = rows.readAll(listOf(place)) as ReadResult.Read
                if (all.value.version <= version) awaitCancellation()
                delay(waitMillis)
                return ReadResult.Failed("no whole answer")
            }

            override fun close() = Unit
        }
}

@OptIn(ExperimentalCoroutinesApi::class)
class TableFollowerTest :
    FunSpec({
        test("when the feed fails several times in a row, the current rows are read") {
            runTest {
                val rows = MemoryRowStore()
                listOf<Byte>(1, 2, 3).forEach { value ->
                    rows.transact(emptyList(), listOf(RowChange(place, "config", byteArrayOf(value))), 100)
                }
                val seen = ArrayList<Byte>()
                val take: (RowBatch) -> Unit = { batch -> batch.rows.mapNotNullTo(seen) { it.value?.first() } }
                val follower =
                    TableFollower(
                        StoreWithLaggingFeed(rows),
                        listOf(place),
                        waitMillis = 1_000,
                        pauseMillis = 0,
                        EventLog("a"),
                    )
                val running = backgroundScope.launch { follower.run(onAll = take, onChanges = take, readVersion = 1) }
                advanceTimeBy(4_000)
                running.cancel()
                seen shouldBe listOf<Byte>(3)
            }
        }
    })
