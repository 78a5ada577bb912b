package org.verbenagauge.entry.jobs.owner

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager
import org.apache.logging.log4j.core.config.Configurator

private const val LOGGER = "verbenagauge"
private const val FIRST_SEED = 1L
private const val SEED_COUNT = 250L

// Run another range of seeds with -DtakeoverSeeds=1000..4000
private fun seeds(): LongRange {
    val text = System.getProperty("takeoverSeeds") ?: return FIRST_SEED until FIRST_SEED + SEED_COUNT
    val (first, last) = text.split("..").map { it.toLong() }
    return first..last
}

private fun printTrace(
    seed: Long,
    violation: Violation,
) {
    val simulation = TakeoverSimulation(seed, isTraced = true)
    simulation.run()
    val jobId = violation.subject.substringBefore('.')
    val workerIds = Regex(" on (w[0-9-]+)").findAll(violation.detail).map { it.groupValues[1] + " " }
    val subjects = listOf(violation.subject, jobId, "entry ", "crashes", "listed", "expires", " ms") + workerIds
    val lines = simulation.trace.about(subjects)
    println("seed $seed: $violation\n" + lines.joinToString("\n"))
}

class OwnerTakeoverFuzzTest :
    FunSpec({
        val level = LogManager.getLogger(LOGGER).level

        // The simulations would flood the log; printTrace prints the relevant events of a failed seed.
        beforeSpec { Configurator.setLevel(LOGGER, Level.OFF) }
        afterSpec { Configurator.setLevel(LOGGER, level) }

        test("takeovers, faults and late answers violate no rule, and every accepted job ends") {
            val isSurvey = System.getProperty("takeoverSurvey") != null
            val found = LinkedHashMap<Breach, ArrayList<Long>>()
            seeds().forEach { seed ->
                val simulation = TakeoverSimulation(seed)
                val violation = simulation.run().firstOrNull() ?: return@forEach
                found.getOrPut(violation.breach) { ArrayList() } += seed
                if (isSurvey) {
                    println("seed $seed: $violation ${simulation.faultKinds}")
                } else {
                    printTrace(seed, violation)
                    withClue("seed $seed") { listOf(violation).shouldBeEmpty() }
                }
            }
            println("takeovers: ${seeds().count()} seeds, violations " + found.mapValues { it.value.size })
            found.keys.shouldBeEmpty()
        }
    })
