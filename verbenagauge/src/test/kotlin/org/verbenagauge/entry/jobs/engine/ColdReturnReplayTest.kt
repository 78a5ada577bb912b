package org.verbenagauge.entry.jobs.engine

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import org.verbenagauge.entry.load.ColdCapacityRule
import org.verbenagauge.entry.load.FullCapacity
import org.verbenagauge.entry.load.LoadSettings
import org.verbenagauge.entry.load.WarmUpCapacity
import org.verbenagauge.entry.load.WarmUpState

private const val COLD_MILLIS = 4_000L

private fun play(
    burst: Int,
    coldMillis: Long,
    rooms: ColdCapacityRule,
) = ColdReturnReplay(burst, coldMillis, rooms).play()

private data class WarmthCase(
    val name: String,
    val atMillis: Long,
    val warmShare: Double,
    val share: Double,
)

private data class ColdCase(
    val name: String,
    val isOn: Boolean,
    val isLasting: Boolean,
    val starts: Int,
)

class ColdReturnReplayTest :
    FunSpec({
        context("a zone returns with cold workers: fewer jobs are late than when all of its room is used at once") {
            withData(nameFn = { "and a burst of $it jobs" }, 40, 60, 80) { burst ->
                val naive = play(burst, COLD_MILLIS, FullCapacity())
                val chosen = play(burst, COLD_MILLIS, WarmUpCapacity())
                chosen.jobs shouldBe naive.jobs
                chosen.late shouldBeLessThan naive.late
            }
        }

        test("a zone that returns with warm workers makes no job late") {
            play(60, coldMillis = 0, WarmUpCapacity()).late shouldBe 0
        }

        context("of a worker that said at 1,000 ms that it is cold for 4,000 ms") {
            withData(
                nameFn = { it.name },
                WarmthCase("nothing beyond one task is used at first", 1_000, warmShare = 0.75, share = 0.0),
                WarmthCase("half is used after half of the time", 3_000, warmShare = 0.75, share = 0.5),
                WarmthCase("all is used when it is warm", 5_000, warmShare = 0.75, share = 1.0),
                WarmthCase("all is used at once where most of the pool is cold", 1_000, warmShare = 0.4, share = 1.0),
            ) { case ->
                val coldness = WarmUpState().also { it.recordColdMillis(COLD_MILLIS, now = 1_000) }
                WarmUpCapacity().share(coldness, case.warmShare, case.atMillis) shouldBe case.share
            }
        }

        test("what a worker said before its zone returned is doubted until it writes again") {
            val coldness = WarmUpState().also { it.recordColdMillis(0, now = 0) }
            coldness.invalidate(now = 1_000)
            coldness.warmFraction(1_500) shouldBe 0.0
            coldness.recordColdMillis(0, now = 1_600)
            coldness.warmFraction(1_600) shouldBe 1.0
        }

        context("a cold worker in a pool of warm ones") {
            withData(
                nameFn = { it.name },
                ColdCase("takes one task and more as it warms up", isOn = true, isLasting = false, starts = 1),
                ColdCase(
                    "takes as many as fit with the decision switched off",
                    isOn = false,
                    isLasting = false,
                    starts = 4,
                ),
                ColdCase("takes as many lasting tasks as fit", isOn = true, isLasting = true, starts = 4),
            ) { case ->
                val limits = EngineLimits(load = LoadSettings(coldWorkers = case.isOn))
                val engine = JobEngine(epoch = 1, limits, now = 0)
                engine.configure(configuration())
                engine.state.isListKnown = true
                listOf("w1", "w2", "w3").forEach { id ->
                    val coldMillis = if (id == "w1") COLD_MILLIS else 0
                    engine.listRecorded(worker(id).copy(coldMillis = coldMillis), now = 0)
                    engine.listed(id, listing(), sentAtMillis = 0, now = 0)
                }
                engine.accept("0000000000000001", job(step(12, isLasting = case.isLasting)), now = 0)
                val starts =
                    engine
                        .decide(0, 0)
                        .starts()
                        .groupingBy { it.address.workerId }
                        .eachCount()
                starts shouldBe mapOf("w1" to case.starts, "w2" to 4, "w3" to 4)
                engine.decide(COLD_MILLIS, 0).starts().size shouldBe 4 - case.starts
            }
        }
    })
