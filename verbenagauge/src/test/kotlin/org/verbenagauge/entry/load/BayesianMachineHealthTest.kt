package org.verbenagauge.entry.load

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe

private const val MACHINE = "m1"
private const val SUSPECT = 0.99

private data class ConcurrentRunsCase(
    val name: String,
    val ratios: List<Double>,
    val isSuspect: Boolean,
    val slowdown: Double = 1.0,
)

/** @property results results of consecutive runs: F for failed, D for done. */
private data class FailedRunsCase(
    val name: String,
    val results: String,
    val isSuspect: Boolean,
)

private fun runStats(
    runId: Long,
    ratio: Double,
) = RunStats(runId, "q", ratio)

// Starts with completed runs on another machine, which give the median ratio of the queue.
private fun healthWithPeers(): BayesianMachineHealth {
    val health = BayesianMachineHealth(MeanRunTimes())
    repeat(30) { health.recordCompletion("other", runStats(1_000L + it, 1.0), now = 0) }
    return health
}

class BayesianMachineHealthTest :
    FunSpec({
        context("concurrent runs") {
            withData(
                nameFn = { it.name },
                ConcurrentRunsCase("one long task alone is weak evidence", listOf(7.0), false),
                ConcurrentRunsCase("one long task beside others on time is no evidence", listOf(7.0, 0.9, 1.2), false),
                ConcurrentRunsCase("two long tasks beside others on time", listOf(7.0, 6.0, 0.8, 1.1, 1.0), false),
                ConcurrentRunsCase(
                    "three long tasks alone, which may coincide by chance",
                    listOf(7.0, 6.0, 7.0),
                    false,
                ),
                ConcurrentRunsCase("eight late runs at once", List(8) { 5.0 + it % 3 }, true),
                ConcurrentRunsCase("three runs that slow down at once", listOf(6.0, 5.0, 7.0), true, slowdown = 6.0),
                ConcurrentRunsCase("one late run beside others on time", listOf(1.0, 1.1, 0.9, 6.0), false),
                ConcurrentRunsCase("all on time", listOf(1.0, 1.0, 0.7, 1.3), false),
            ) { case ->
                val health = healthWithPeers()
                // A run counts as one piece of evidence, however often it is observed.
                repeat(10) {
                    health.observeRunning(
                        MACHINE,
                        case.ratios.mapIndexed {
                            id,
                            ratio,
                            ->
                            runStats(id + 1L, ratio).copy(slowdown = case.slowdown)
                        },
                        it * 100L,
                    )
                }
                (health.standing(MACHINE, 1_000).certainty >= SUSPECT) shouldBe case.isSuspect
            }
        }

        context("failed runs") {
            withData(
                nameFn = { it.name },
                FailedRunsCase("a single failure is weak evidence", "F", false),
                FailedRunsCase("two in a row", "FF", true),
                FailedRunsCase("every second run, never two in a row", "FDFDF", true),
                FailedRunsCase("one among many completed runs", "DDDDDDDFDDDD", false),
            ) { case ->
                val health = healthWithPeers()
                case.results.forEachIndexed { index, result ->
                    if (result == 'F') {
                        health.recordFailure(MACHINE, "q", index * 50L)
                    } else {
                        health.recordCompletion(
                            MACHINE,
                            runStats(index.toLong(), 1.0),
                            index * 50L,
                        )
                    }
                }
                (health.standing(MACHINE, case.results.length * 50L).certainty >= SUSPECT) shouldBe case.isSuspect
            }
        }

        test("runs that are equally late on all machines are evidence against none") {
            val health = BayesianMachineHealth(MeanRunTimes())
            repeat(50) { machine ->
                health.observeRunning("m$machine", List(4) { runStats(machine * 10L + it, 5.0) }, now = 0)
            }
            (0 until 50).count { health.standing("m$it", 0).certainty >= SUSPECT } shouldBe 0
        }

        test("failures on all machines are evidence against none") {
            val health = healthWithPeers()
            repeat(400) { health.recordFailure("m${it % 50}", "q", it * 10L) }
            (0 until 50).count { health.standing("m$it", 30_000).certainty >= SUSPECT } shouldBe 0
        }

        test("suspicion decays without new evidence, and immediately with runs on time") {
            val health = healthWithPeers()
            repeat(8) { health.recordCompletion(MACHINE, runStats(it.toLong(), 6.0), now = 0) }
            health.standing(MACHINE, 0).certainty shouldBeGreaterThan SUSPECT
            health.standing(MACHINE, 0).factor shouldBeGreaterThan 4.0
            health.standing(MACHINE, 12_000).certainty shouldBeLessThan 0.5
            health.observeRunning(MACHINE, List(6) { runStats(100L + it, 1.0) }, 100)
            health.standing(MACHINE, 100).certainty shouldBeLessThan 0.5
        }

        test("a flapping machine has to stay up before it is trusted again, and a single loss is not flapping") {
            val health = healthWithPeers()
            health.recordMachineLoss(MACHINE, 0)
            health.standing(MACHINE, 10).certainty shouldBeLessThan 0.05
            health.recordMachineLoss(MACHINE, 3_000)
            health.standing(MACHINE, 3_500).certainty shouldBe 1.0
            health.recordMachineLoss(MACHINE, 6_000)
            health.standing(MACHINE, 9_500).certainty shouldBe 1.0
            health.standing(MACHINE, 14_100).certainty shouldBeLessThan 0.5
        }
    })
