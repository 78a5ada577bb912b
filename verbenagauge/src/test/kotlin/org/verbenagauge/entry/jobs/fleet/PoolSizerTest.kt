package org.verbenagauge.entry.jobs.fleet

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import org.verbenagauge.entry.jobs.model.Amount

private const val MACHINE_CPU_MILLIS = 64_000L
private const val STEP_MILLIS = 100L
private const val MOVE_MILLIS = 1_500L

// Cores needed per second by a queue of the auctions workload at low load: a nine-second burst, then almost none.
private val burstCores = listOf(270, 410, 305, 505, 770, 937, 533, 395, 125) + List(25) { if (it % 8 == 2) 8 else 0 }

private class DemandReplay(
    private val sizer: PoolSizer,
) {
    private val sizes = ArrayList<Int>()

    // Returns the missing core seconds and the machine seconds paid for. A requested machine serves after MOVE_MILLIS.
    fun run(): Pair<Double, Double> {
        var missing = 0.0
        var paid = 0.0
        val delaySteps = (MOVE_MILLIS / STEP_MILLIS).toInt()
        repeat(burstCores.size * 10) { index ->
            val needMillis = burstCores[index / 10] * 1_000L
            val wanted = sizer.size(demand(needMillis), index * STEP_MILLIS)
            sizes += wanted
            val serving = minOf(wanted, sizes[maxOf(0, index - delaySteps)])
            missing += maxOf(0L, needMillis - serving * MACHINE_CPU_MILLIS) / 1_000.0 / 10
            paid += maxOf(wanted, serving) / 10.0
        }
        return missing to paid
    }

    private fun demand(needMillis: Long) =
        PoolDemand("hall", Amount(needMillis), Amount(), Amount(MACHINE_CPU_MILLIS, 100_000, 0))
}

class PoolSizerTest :
    FunSpec({
        test("on a replayed burst, sizing by peak demand lacks less capacity and costs less than a fixed size") {
            val (fixedMissing, fixedPaid) = DemandReplay(FixedSizer(8)).run()
            val (missing, paid) = DemandReplay(PeakDemandSizer()).run()
            missing shouldBeLessThan fixedMissing
            paid shouldBeLessThan fixedPaid
            fixedMissing shouldBeGreaterThan 0.0
        }

        test("a pool keeps its size through a pause within a burst and shrinks after the burst") {
            val sizer = PeakDemandSizer()
            val busy = PoolDemand("hall", Amount(640_000), Amount(), Amount(64_000, 100_000))
            val idle = busy.copy(used = Amount())
            val atPeak = sizer.size(busy, 0)
            sizer.size(idle, 2_000) shouldBe atPeak
            sizer.size(idle, 3_100) shouldBeLessThan atPeak
        }
    })
