package org.verbenagauge.platform

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe

private data class WaveCase(
    val name: String,
    val key: String,
    val value: String?,
    val machineIds: Set<String>,
    val unreadable: Int = 0,
)

private const val KEY = "wave/1"

// Guards against the fault that a row without machines was taken for a wave that has none left, and reported as completed.
class UnreadableWaveTest :
    FunSpec({
        context("after a wave of machine m-1 was read") {
            withData(
                nameFn = { it.name },
                WaveCase("a new row replaces it", KEY, """{"Wave":1,"Machines":["m-2"]}""", setOf("m-2")),
                WaveCase("a wave of no machines replaces it", KEY, """{"Wave":1,"Machines":[]}""", emptySet()),
                WaveCase("a removed row takes it back", KEY, null, emptySet()),
                WaveCase("a row without machines leaves it", KEY, """{"Wave":1}""", setOf("m-1"), 1),
                WaveCase("machines of another type leave it", KEY, """{"Wave":1,"Machines":2}""", setOf("m-1"), 1),
                WaveCase("a row in words leaves it", KEY, "soon", setOf("m-1"), 1),
                WaveCase("an empty row leaves it", KEY, "", setOf("m-1"), 1),
                WaveCase("another wave joins it", "wave/2", """{"Wave":2,"Machines":["m-2"]}""", setOf("m-1", "m-2")),
                WaveCase("another wave without machines is left out", "wave/2", """{"Wave":2}""", setOf("m-1"), 1),
                WaveCase("a row that is no wave changes nothing", "notice", "soon", setOf("m-1")),
            ) { case ->
                var unreadable = 0
                val rows = WaveRows { unreadable++ }
                rows.take(KEY, """{"Wave":1,"Machines":["m-1"]}""".encodeToByteArray())
                rows.take(case.key, case.value?.encodeToByteArray())
                rows.requested.flatMapTo(HashSet()) { it.machineIds } shouldBe case.machineIds
                unreadable shouldBe case.unreadable
            }
        }
    })
