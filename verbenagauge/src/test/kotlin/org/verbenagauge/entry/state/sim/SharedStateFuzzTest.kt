package org.verbenagauge.entry.state.sim

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan

private val firstSeed = System.getProperty("verbenagauge.fuzz.firstSeed", "1").toLong()
private val schedules = System.getProperty("verbenagauge.fuzz.schedules", "1000").toLong()

class SharedStateFuzzTest :
    FunSpec({
        test("given entries under faults, when changes race, then no promise about versions is broken") {
            var accepted = 0L
            for (seed in firstSeed until firstSeed + schedules) {
                val schedule = SimSchedule(seed)
                try {
                    schedule.run()
                } catch (e: OracleViolation) {
                    throw AssertionError("seed $seed: ${e.message}\n${schedule.trace.joinToString("\n")}", e)
                }
                accepted += schedule.acceptedVersions
            }
            accepted shouldBeGreaterThan schedules
        }
    })
