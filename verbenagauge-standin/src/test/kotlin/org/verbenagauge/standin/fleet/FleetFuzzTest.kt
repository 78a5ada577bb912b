package org.verbenagauge.standin.fleet

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import java.util.stream.IntStream

private const val SCHEDULES = 1_000

class FleetFuzzTest :
    FunSpec({
        test("given failures, outages, pauses and operators, when entries drive waves and moves, then all rules hold") {
            val violations =
                IntStream
                    .range(
                        0,
                        SCHEDULES,
                    ).parallel()
                    .boxed()
                    .flatMap { violationsOf(it).stream() }
                    .toList()
            violations.shouldBeEmpty()
        }
    })

private fun violationsOf(seed: Int): List<String> = FleetSchedule(seed).run().map { "seed $seed: $it" }
