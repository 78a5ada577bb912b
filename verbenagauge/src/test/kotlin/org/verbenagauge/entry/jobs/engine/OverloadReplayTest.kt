package org.verbenagauge.entry.jobs.engine

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.shouldBe

private const val SEEDS = 6

private fun mean(
    overload: Double,
    order: (RunTimes) -> JobOrder,
): ReplayResult {
    val results = (1..SEEDS).map { OverloadReplay(overload, it, order).play() }
    return ReplayResult(
        onTime = results.map { it.onTime }.average(),
        useful = results.map { it.useful }.average(),
        largeOnTime = results.map { it.largeOnTime }.average(),
    )
}

private data class OverloadCase(
    val overload: Double,
    val naiveName: String,
    val naive: (RunTimes) -> JobOrder,
)

class OverloadReplayTest :
    FunSpec({
        context("in a burst that exceeds the pool, more jobs are on time and no fewer are useful") {
            withData(
                nameFn = { "${it.overload} times the pool, compared with ${it.naiveName}" },
                OverloadCase(1.5, "first come, first served", { ArrivalOrder }),
                OverloadCase(1.5, "earliest objective", ::EarliestObjectiveOrder),
                OverloadCase(2.0, "first come, first served", { ArrivalOrder }),
                OverloadCase(2.0, "earliest objective", ::EarliestObjectiveOrder),
                OverloadCase(3.0, "first come, first served", { ArrivalOrder }),
                OverloadCase(3.0, "earliest objective", ::EarliestObjectiveOrder),
            ) { case ->
                val naive = mean(case.overload, case.naive)
                val chosen = mean(case.overload, ::ObjectiveOrder)
                chosen.onTime shouldBeGreaterThan naive.onTime
                (chosen.useful >= naive.useful) shouldBe true
            }
        }

        test("all jobs are on time while demand does not exceed the pool") {
            mean(1.0, ::ObjectiveOrder).onTime shouldBe 1.0
        }
    })
