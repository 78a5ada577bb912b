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
import org.verbenagauge.entry.logging.EventLog

private fun read(text: String) = readWave(text.encodeToByteArray())

@OptIn(ExperimentalCoroutinesApi::class)
class OddWaveRowTest :
    FunSpec({
        context("a wave without a possible time or number is none") {
            withData(
                nameFn = { it },
                """{"Wave":1,"Machines":[],"DurationS":-5}""",
                """{"Wave":1,"Machines":[],"DurationS":-0.01}""",
                """{"Wave":1,"Machines":[],"DurationS":1e300}""",
                """{"Wave":1,"Machines":[],"DurationS":1e400}""",
                """{"Wave":1,"Machines":[],"DurationS":NaN}""",
                """{"Wave":-1,"Machines":[],"DurationS":5}""",
                """{"Wave":123456789012345678901234567890,"Machines":[],"DurationS":5}""",
            ) { text -> read(text) shouldBe null }
        }

        test("a wave without time left is a wave") {
            read("""{"Wave":1,"Machines":[],"DurationS":0}""")?.durationMillis shouldBe 0
        }

        test("a row of a wave that becomes unreadable leaves the wave as it was read") {
            runTest {
                val rows = MemoryRowStore()
                val wave = RowChange(RowPlace("op"), "wave/1", "[".encodeToByteArray())
                rows.transact(emptyList(), listOf(wave), 100)
                var unreadable = 0
                val waves = WaveRows { unreadable++ }
                val documents =
                    OperatorDocuments(
                        ReadOnce(rows),
                        EventLog("a"),
                        onConfiguration = { },
                        onWave = waves::take,
                        onEvacuated = { },
                    )
                val running = backgroundScope.launch { documents.run() }
                advanceTimeBy(100)
                running.cancel()
                waves.requested.size shouldBe 0
                unreadable shouldBe 1
            }
        }
    })
