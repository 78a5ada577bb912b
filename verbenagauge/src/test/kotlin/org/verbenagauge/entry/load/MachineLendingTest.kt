package org.verbenagauge.entry.load

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe

private data class LendingCase(
    val name: String,
    val requests: List<MachineRequest>,
    val supply: Int,
    val greedy: List<String>,
    val even: List<String>,
)

private const val SUPPLY = 40

class MachineLendingTest :
    FunSpec({
        context("machines for concurrent requests") {
            val hall = MachineRequest("hall", wantedMachines = 10, missingMachines = 5)
            val desk = MachineRequest("desk", wantedMachines = 4, missingMachines = 2)
            withData(
                nameFn = { it.name },
                LendingCase("no request", emptyList(), 3, emptyList(), emptyList()),
                LendingCase("no machines", listOf(hall), 0, emptyList(), emptyList()),
                LendingCase("one request", listOf(desk), 9, listOf("desk", "desk"), listOf("desk", "desk")),
                LendingCase(
                    "two pools lack the same share, and there are too few machines for both",
                    listOf(hall, desk),
                    4,
                    listOf("hall", "hall", "hall", "hall"),
                    listOf("hall", "desk", "hall", "hall"),
                ),
                LendingCase(
                    "the smaller pool lacks the larger share",
                    listOf(hall, desk.copy(missingMachines = 4)),
                    3,
                    listOf("desk", "desk", "desk"),
                    listOf("desk", "desk", "hall"),
                ),
            ) {
                GreedyLending.allocate(it.requests, it.supply) shouldBe it.greedy
                EvenLending.allocate(it.requests, it.supply) shouldBe it.even
            }
        }

        test("when the peaks of two pools start together, neither lacks most of its machines") {
            val requests = listOf("hall", "desk").map { MachineRequest(it, wantedMachines = 40, missingMachines = 30) }

            fun largestMissingShare(lending: MachineLending) =
                requests.maxOf { pool ->
                    (pool.missingMachines - lending.allocate(requests, SUPPLY).count { it == pool.poolName }) / 40.0
                }
            largestMissingShare(EvenLending) shouldBeLessThan 0.3
            largestMissingShare(GreedyLending) shouldBeGreaterThan 0.45
        }
    })
