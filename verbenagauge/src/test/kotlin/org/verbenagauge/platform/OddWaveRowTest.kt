package org.verbenagauge.platform

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runTest
import org.verbenagauge.entry.jobs.MemoryRowStore
import org.verbenagauge.entry.jobs.ports.RowChange
import org.verbenagauge.entry.jobs.ports.RowPlace
import org.verbenagauge.entry.logging.Event
import org.verbenagauge.entry.logging.EventLog

private fun read(text: String) = readWave("wave/1", text.encodeToByteArray())

@OptIn(ExperimentalCoroutinesApi::class)
class OddWaveRowTest :
    FunSpec({
        context("a wave without a possible time or number is none") {
            withData(
                nameFn = { it },
                """{"Wave":1,"DurationS":-5}""",
                """{"Wave":1,"DurationS":-0.01}""",
                """{"Wave":1,"DurationS":1e300}""",
                """{"Wave":1,"DurationS":1e400}""",
                """{"Wave":1,"DurationS":NaN}""",
                """{"Wave":-1,"DurationS":5}""",
                """{"Wave":123456789012345678901234567890,"DurationS":5}""",
            ) { text -> read(text) shouldBe null }
        }

        test("a wave without time left is a wave") {
            read("""{"Wave":1,"DurationS":0}""")?.durationMillis shouldBe 0
        }

        test("a row of a wave that becomes unreadable leaves the wave as it was read") {
            runTest {
                val rows = MemoryRowStore()
                val wave = RowChange(RowPlace("op"), "wave/1", "[".encodeToByteArray())
                rows.transact(emptyList(), listOf(wave), 100)
                val told = ArrayList<String>()
                var unreadable = 0
                val documents =
                    OperatorDocuments(
                        ReadOnce(rows),
                        EventLog("a") { if (it == Event.DOCUMENT_UNREADABLE) unreadable++ },
                        onConfiguration = { },
                        onWave = { key, _ -> told += key },
                        onEvacuated = { },
                    )
                val running = backgroundScope.launch { documents.run() }
                advanceTimeBy(100)
                running.cancel()
                told shouldBe emptyList()
                unreadable shouldBe 1
            }
        }
    })
