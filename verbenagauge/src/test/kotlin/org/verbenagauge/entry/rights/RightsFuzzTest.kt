package org.verbenagauge.entry.rights

import io.kotest.assertions.fail
import io.kotest.core.spec.style.FunSpec

private const val CI_SCHEDULES = 1_000L
private const val TRACE_LINES = 200

/** Longer run: `mvn -B -o -pl verbenagauge test -Dtest=RightsFuzzTest -Drights.schedules=100000`. */
class RightsFuzzTest :
    FunSpec({
        val schedules = System.getProperty("rights.schedules")?.toLong() ?: CI_SCHEDULES
        val firstSeed = System.getProperty("rights.firstSeed")?.toLong() ?: 1L

        test(
            "given any schedule of faults, when requests start and end, then no limit is exceeded and no right is lost",
        ) {
            (firstSeed until firstSeed + schedules).forEach { seed ->
                val problem = FuzzWorld(seed).run() ?: return@forEach
                fail("seed $seed: $problem\n${traceOf(seed)}")
            }
        }
    })

private fun traceOf(seed: Long): String {
    val lines = ArrayDeque<String>()
    FuzzWorld(seed) { line ->
        lines += line
        if (lines.size > TRACE_LINES) lines.removeFirst()
    }.run()
    return lines.joinToString("\n")
}
