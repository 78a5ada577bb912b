package org.verbenagauge.entry.jobs.owner

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe

private data class LatencyCase(
    val name: String,
    val play: DecisionLatency.() -> Unit,
    val ageMillis: Long,
    val decisionMillis: Long,
)

class DecisionLatencyTest :
    FunSpec({
        context("the decision latency at 10 s reports") {
            withData(
                nameFn = { it.name },
                LatencyCase("nothing without events", { }, 0, 0),
                LatencyCase("the age of the first event of a decision", {
                    recordEvent(9_000)
                    recordEvent(9_040)
                    recordDecision(9_050, 9_052)
                }, 50, 2),
                LatencyCase("the longest of several decisions", {
                    recordEvent(8_000)
                    recordDecision(8_005, 8_030)
                    recordEvent(9_000)
                    recordDecision(9_100, 9_101)
                }, 100, 25),
                LatencyCase("an event that still waits", {
                    recordEvent(9_000)
                    recordDecision(9_001, 9_002)
                    recordEvent(9_300)
                }, 700, 1),
                LatencyCase("nothing older than five seconds", {
                    recordEvent(1_000)
                    recordDecision(4_000, 4_500)
                }, 0, 0),
                LatencyCase("a decision without an event", { recordDecision(9_000, 9_003) }, 0, 3),
            ) { case ->
                val latency = DecisionLatency().also(case.play)
                latency.longestAgeMillis(10_000) shouldBe case.ageMillis
                latency.longestDecisionMillis(10_000) shouldBe case.decisionMillis
            }
        }
    })
