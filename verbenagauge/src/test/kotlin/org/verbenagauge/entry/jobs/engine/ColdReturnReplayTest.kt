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
    coldRoom: ColdCapacityRule,
) = ColdReturnReplay(burst, coldMillis, coldRoom).play()

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
        context("a zone returns with cold workers: fewer jobs are late than when its whole capacity is used at once") {
            withData(nameFn = { "with a burst of $it jobs" }, 40, 60, 80) { burst ->
                val naive = play(burst, COLD_MILLIS, FullCapacity())
                val chosen = play(burst, COLD_MILLIS, WarmUpCapacity())
                chosen.jobs shouldBe naive.jobs
                chosen.late shouldBeLessThan naive.late
            }
        }

        test("a zone that returns with warm workers makes no job late") {
            play(60, coldMillis = 0, WarmUpCapacity()).late shouldBe 0
        }

        context("share of a worker that reported at 1,000 ms that it stays cold for 4,000 ms") {
            withData(
                nameFn = { it.name },
                WarmthCase("initially no capacity beyond one task is used", 1_000, warmShare = 0.75, share = 0.0),
                WarmthCase("half of the capacity is used after half of the time", 3_000, warmShare = 0.75, share = 0.5),
                WarmthCase("all capacity is used once the worker is warm", 5_000, warmShare = 0.75, share = 1.0),
                WarmthCase("all is used at once if most of the pool is cold", 1_000, warmShare = 0.4, share = 1.0),
            ) { case ->
                val coldness = WarmUpState().also { it.recordColdMillis(COLD_MILLIS, now = 1_000) }
                WarmUpCapacity().share(coldness, case.warmShare, case.atMillis) shouldBe case.share
            }
        }

        test("a report from before the return of the zone is ignored until the worker reports again") {
            val coldness = WarmUpState().also { it.recordColdMillis(0, now = 0) }
            coldness.invalidate(now = 1_000)
            coldness.warmFraction(1_500) shouldBe 0.0
            coldness.recordColdMillis(0, now = 1_600)
            coldness.warmFraction(1_600) shouldBe 1.0
        }

        context("a cold worker in a pool of warm ones") {
            withData(
                nameFn = { it.name },
                ColdCase("starts one task, and more as it warms up", isOn = true, isLasting = false, starts = 1),
                ColdCase(
                    "starts as many tasks as fit if the limit is disabled",
                    isOn = false,
                    isLasting = false,
                    starts = 4,
                ),
                ColdCase("starts as many lasting tasks as fit", isOn = true, isLasting = true, starts = 4),
            ) { case ->
                val limits = EngineLimits(load = LoadSettings(coldWorkers = case.isOn))
                val engine = JobEngine(epoch = 1, limits, now = 0)
                engine.configure(configuration())
                engine.state.isWorkerListKnown = true
                listOf("w1", "w2", "w3").forEach { id ->
                    val coldMillis = if (id == "w1") COLD_MILLIS else 0
                    engine.addRecordedWorker(worker(id).copy(coldMillis = coldMillis), now = 0)
                    engine.handleListing(id, listing(), sentAtMillis = 0, now = 0)
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
