package org.verbenagauge.platform

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.spec.tempfile
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runTest
import org.verbenagauge.entry.logging.EventLog
import org.verbenagauge.entry.settings.oddSettings

// Beyond the time between two looks at the file.
private const val LOOK_MILLIS = 2_100L

// As -Xss in deploy/system.toml.
private const val STACK_BYTES = 256L * 1_024

private fun settingsText(leaseMillis: Long) =
    """
    [entry]
    id = "e"
    zoneId = "z"

    [listeners]
    caller = "127.0.0.1:1"
    readiness = "127.0.0.1:2"

    [platform]
    store = "127.0.0.1:3"

    [limits]
    leaseMaxMillis = $leaseMillis
    """.trimIndent() + "\n"

@OptIn(ExperimentalCoroutinesApi::class)
class SettingsWatchTest :
    FunSpec({
        test("each change of the file is taken once at the next look, also after one that cannot be read") {
            val file = tempfile(suffix = ".toml")
            file.writeText(settingsText(1_000))
            val read = readPlatformSettings(file.toPath()) as PlatformSettingsOutcome.Valid
            val taken = ArrayList<Long>()
            runTest {
                val watch =
                    SettingsWatch(file.toPath(), EventLog("e"), read.settings) { taken += it.limits.leaseMaxMillis }
                val job = launch { watch.run() }
                val texts =
                    listOf(settingsText(1_000), settingsText(2_000), settingsText(2_000), "[entry", settingsText(3_000))
                texts.forEach { text ->
                    file.writeText(text)
                    advanceTimeBy(LOOK_MILLIS)
                }
                job.cancel()
            }
            taken shouldBe listOf(2_000L, 3_000L)
        }

        context("a file that is odd leaves the settings in use, and the next one is taken") {
            withData(nameFn = { it.name }, oddSettings(settingsText(2_000))) { case ->
                val file = tempfile(suffix = ".toml")
                file.writeText(settingsText(1_000))
                val read = readPlatformSettings(file.toPath()) as PlatformSettingsOutcome.Valid
                val taken = ArrayList<Long>()
                val thread =
                    Thread(null, {
                        runTest {
                            val watch =
                                SettingsWatch(file.toPath(), EventLog("e"), read.settings) {
                                    taken += it.limits.leaseMaxMillis
                                }
                            val job = launch { watch.run() }
                            listOf(case.bytes, settingsText(3_000).encodeToByteArray()).forEach { bytes ->
                                file.writeBytes(bytes)
                                advanceTimeBy(LOOK_MILLIS)
                            }
                            job.cancel()
                        }
                    }, "watch", STACK_BYTES)
                thread.start()
                thread.join()
                taken shouldBe listOf(3_000L)
            }
        }
    })
