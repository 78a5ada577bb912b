package org.verbenagauge.entry.load

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe

private data class BurstCase(
    val name: String,
    val weight: Double,
)

class FloodReplayTest :
    FunSpec({
        // A result is useful for 9 s, and the pool completes 40 jobs per second. Small accounts submit 16 per second,
        // the large one 12, then 84.
        val flood =
            Flood(
                smallAccounts = 8,
                smallRate = 2.0,
                largeRate = 12.0,
                factor = 7.0,
                fromMillis = 10_000,
                untilMillis = 40_000,
            )

        test("under a flood from one account, accepted jobs are useful and small accounts are served") {
            (1..3).forEach { seed ->
                val result = FloodReplay(seed, ExpectedWaitAdmission).run(flood)
                result.usefulOfAccepted shouldBeGreaterThanOrEqualTo 0.9
                result.usefulOfSmall shouldBeGreaterThanOrEqualTo 0.9
                result.refusedOfSmall shouldBeLessThan 0.1
                // Refusals must not leave capacity unused.
                val baseline = FloodReplay(seed, acceptAll).run(flood).usefulJobs
                result.usefulJobs shouldBeGreaterThanOrEqualTo baseline * 9 / 10
            }
        }

        test("accepting every job fails under the same flood") {
            (1..3).forEach { seed -> FloodReplay(seed, acceptAll).run(flood).usefulOfAccepted shouldBeLessThan 0.9 }
        }

        context("bursts of five times the mean that are served late but usefully are accepted") {
            withData(
                nameFn = { it.name },
                BurstCase("within shares", weight = 30.0),
                BurstCase("beyond shares", weight = 1.0),
            ) { case ->
                // 90 jobs per second for four seconds, and a hundredth of that otherwise.
                val burst =
                    Flood(
                        smallAccounts = 8,
                        smallRate = 0.1125,
                        largeRate = 0.0,
                        factor = 0.0,
                        weight = case.weight,
                        smallFactor = 100.0,
                    )
                val result = FloodReplay(seed = 1, ExpectedWaitAdmission).run(burst)
                result.refusedOfSmall shouldBe 0.0
                result.usefulOfSmall shouldBeGreaterThanOrEqualTo 0.99
                result.lateOfSmall shouldBeGreaterThanOrEqualTo 0.05
            }
        }
    })
