package org.verbenagauge.entry.jobs.owner

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runTest
import org.verbenagauge.entry.jobs.MemoryRowStore
import org.verbenagauge.entry.jobs.ports.ReadResult
import org.verbenagauge.entry.jobs.ports.RowBatch
import org.verbenagauge.entry.jobs.ports.RowFeed
import org.verbenagauge.entry.jobs.ports.RowPlace
import org.verbenagauge.entry.jobs.ports.RowStore
import org.verbenagauge.entry.jobs.ports.StoredRow
import org.verbenagauge.entry.logging.Event
import org.verbenagauge.entry.logging.EventLog
import org.verbenagauge.platform.PlatformWorkerList

private val place = RowPlace("servers")

/** A store that holds [all], and then gives each of [changes] once. */
private class ScriptedStore(
    private val all: RowBatch,
    private val changes: List<RowBatch>,
) : RowStore by MemoryRowStore() {
    override suspend fun readAll(places: List<RowPlace>): ReadResult<RowBatch> = ReadResult.Read(all)

    override fun feed(table: String): RowFeed =
        object : RowFeed {
            private val left = ArrayDeque(changes)

            override suspend fun changesAfter(
                version: Long,
                waitMillis: Long,
            ): ReadResult<RowBatch> = ReadResult.Read(left.removeFirstOrNull() ?: awaitCancellation())

            override fun close() = Unit
        }
}

private val worker =
    """{"Service":"hall","Address":"10.0.0.9:80","Zone":"z","State":"ready","born":5}""".encodeToByteArray()

private fun workers(
    version: Long,
    vararg ids: String,
) = RowBatch(ids.map { StoredRow(place.table, it, worker, version) }, version)

@OptIn(ExperimentalCoroutinesApi::class)
class RowThatEndsFollowerTest :
    FunSpec({
        test("a worker that cannot be taken in holds up no other worker, in the first reading and in changes") {
            runTest {
                val store =
                    ScriptedStore(workers(1, "a", "odd", "z"), listOf(workers(2, "b", "odd", "y"), workers(3, "c")))
                var unreadable = 0
                val log = EventLog("e") { if (it == Event.DOCUMENT_UNREADABLE) unreadable++ }
                val all = ArrayList<String>()
                val changed = ArrayList<String>()
                val running =
                    backgroundScope.launch {
                        PlatformWorkerList(store, log).follow(
                            onAll = { workers ->
                                val ids = workers.map { it.address.workerId }
                                check("odd" !in ids) { "odd worker" }
                                all += ids
                            },
                            onChange = { workerId, _ ->
                                check(workerId != "odd") { "odd worker" }
                                changed += workerId
                            },
                        )
                    }
                advanceTimeBy(5_000)
                running.cancel()
                all shouldBe listOf("a", "z")
                changed.toSet() shouldBe setOf("a", "z", "b", "y", "c")
                unreadable shouldBe 2
            }
        }

        test("a failure that does not come again when the rows are taken in one by one is logged") {
            runTest {
                var unreadable = 0
                val log = EventLog("e") { if (it == Event.DOCUMENT_UNREADABLE) unreadable++ }
                val taken = HashSet<String>()
                val running =
                    backgroundScope.launch {
                        PlatformWorkerList(ScriptedStore(workers(1, "a"), listOf(workers(2, "b", "odd"))), log).follow(
                            onAll = { },
                            onChange = { workerId, _ -> check(!taken.add(workerId) || workerId != "odd") { "odd" } },
                        )
                    }
                advanceTimeBy(5_000)
                running.cancel()
                taken shouldBe setOf("b", "odd")
                unreadable shouldBe 1
            }
        }
    })
