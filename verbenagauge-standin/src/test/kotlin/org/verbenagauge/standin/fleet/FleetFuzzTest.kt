package org.verbenagauge.standin.fleet

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty

private const val SCHEDULES = 1_000

class FleetFuzzTest :
    FunSpec({
        test("given failures, outages, pauses and operators, when entries drive waves and moves, then all rules hold") {
            repeat(SCHEDULES) { seed ->
                withClue("seed $seed") { FleetSchedule(seed).run().shouldBeEmpty() }
            }
        }
    })
