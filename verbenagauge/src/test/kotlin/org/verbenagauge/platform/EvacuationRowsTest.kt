package org.verbenagauge.platform

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.awaitCancellation
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
import org.verbenagauge.entry.jobs.ports.StoredRow
import org.verbenagauge.entry.logging.EventLog

private fun row(
    key: String,
    value: String? = "{}",
) = StoredRow("op", key, value?.encodeToByteArray(), version = 1)

private data class RowCase(
    val name: String,
    val rows: List<StoredRow>,
    val isWhole: Boolean,
    val zoneIds: Set<String>,
    val unreadable: Int = 0,
)

// The table read whole, and no change of it.
internal class ReadOnce(
    private val rows: MemoryRowStore,
) : RowStore by rows {
    override fun feed(table: String): RowFeed =
        object : RowFeed {
            override suspend fun changesAfter(
                version: Long,
                waitMillis: Long,
            ): ReadResult<RowBatch> = awaitCancellation()

            override fun close() = Unit
        }
}

@OptIn(ExperimentalCoroutinesApi::class)
class EvacuationRowsTest :
    FunSpec({
        context("after the row of zone a was read") {
            withData(
                nameFn = { it.name },
                RowCase("a row of zone b evacuates it as well", listOf(row("evacuate/b")), false, setOf("a", "b")),
                RowCase("a removed row takes its zone back", listOf(row("evacuate/a", null)), false, emptySet()),
                RowCase("other rows change nothing", listOf(row("config"), row("wave/1")), false, setOf("a")),
                RowCase("a table without the row takes its zone back", listOf(row("evacuate/b")), true, setOf("b")),
                RowCase("a table with the row leaves it", listOf(row("evacuate/a")), true, setOf("a")),
                RowCase("a value that is none keeps it", listOf(row("evacuate/a", "\u0000")), true, setOf("a"), 1),
                RowCase("a new value that is none is left out", listOf(row("evacuate/b", "[]")), false, setOf("a"), 1),
                RowCase("a key without a zone is left out", listOf(row("evacuate/")), false, setOf("a"), 1),
            ) { case ->
                var unreadable = 0
                val evacuations = EvacuationRows { unreadable++ }
                evacuations.takeAll(listOf(row("evacuate/a")))
                if (case.isWhole) evacuations.takeAll(case.rows) else evacuations.take(case.rows)
                evacuations.zoneIds shouldBe case.zoneIds
                unreadable shouldBe case.unreadable
            }
        }

        test(
            "the first read tells evacuated zones before the configuration with which this entry may become the owner",
        ) {
            runTest {
                val rows = MemoryRowStore()
                listOf("config" to """{"Version":1}""", "evacuate/a" to "{}").forEach { (key, value) ->
                    val change = RowChange(RowPlace("op"), key, value.encodeToByteArray())
                    rows.transact(emptyList(), listOf(change), 100)
                }
                val told = ArrayList<String>()
                val documents =
                    OperatorDocuments(
                        ReadOnce(rows),
                        EventLog("a"),
                        onConfiguration = { told += "configuration ${it.version}" },
                        onWave = { _, _ -> },
                        onEvacuated = { told += "evacuated $it" },
                    )
                val running = backgroundScope.launch { documents.run() }
                advanceTimeBy(100)
                running.cancel()
                told shouldBe listOf("evacuated [a]", "configuration 1")
            }
        }
    })
