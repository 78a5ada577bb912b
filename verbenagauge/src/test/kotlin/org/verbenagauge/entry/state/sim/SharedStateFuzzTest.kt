package org.verbenagauge.entry.state.sim

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import java.util.concurrent.atomic.AtomicLong
import java.util.stream.LongStream

private val firstSeed = System.getProperty("verbenagauge.fuzz.firstSeed", "1").toLong()
private val schedules = System.getProperty("verbenagauge.fuzz.schedules", "1000").toLong()

/** Runs the schedule of [seed]; null when it keeps all promises, else the problem with the trace. */
private fun problemOf(
    seed: Long,
    accepted: AtomicLong,
): String? {
    val schedule = SimSchedule(seed)
    return try {
        schedule.run()
        accepted.addAndGet(schedule.acceptedVersions)
        null
    } catch (e: OracleViolation) {
        "seed $seed: ${e.message}\n${schedule.trace.joinToString("\n")}"
    }
}

class SharedStateFuzzTest :
    FunSpec({
        test("given entries under faults, when changes race, then no promise about versions is broken") {
            val accepted = AtomicLong()
            val problems =
                LongStream
                    .range(firstSeed, firstSeed + schedules)
                    .parallel()
                    .mapToObj { problemOf(it, accepted).orEmpty() }
                    .filter { it.isNotEmpty() }
                    .toList()
            problems.firstOrNull() shouldBe null
            accepted.get() shouldBeGreaterThan schedules
        }
    })
