package org.verbenagauge.entry.jobs.owner

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe

private data class PaceCase(
    val name: String,
    val play: DecisionPace.() -> Unit,
    val ageMillis: Long,
    val decisionMillis: Long,
)

class DecisionPaceTest :
    FunSpec({
        context("at 10 s the pace of decisions tells") {
            withData(
                nameFn = { it.name },
                PaceCase("nothing without events", { }, 0, 0),
                PaceCase("the age of the first event of a decision", {
                    event(9_000)
                    event(9_040)
                    decided(9_050, 9_052)
                }, 50, 2),
                PaceCase("the longest of several decisions", {
                    event(8_000)
                    decided(8_005, 8_030)
                    event(9_000)
                    decided(9_100, 9_101)
                }, 100, 25),
                PaceCase("an event that still waits", {
                    event(9_000)
                    decided(9_001, 9_002)
                    event(9_300)
                }, 700, 1),
                PaceCase("nothing of more than five seconds ago", {
                    event(1_000)
                    decided(4_000, 4_500)
                }, 0, 0),
                PaceCase("a decision without an event", { decided(9_000, 9_003) }, 0, 3),
            ) { case ->
                val pace = DecisionPace().also(case.play)
                pace.longestAgeMillis(10_000) shouldBe case.ageMillis
                pace.longestDecisionMillis(10_000) shouldBe case.decisionMillis
            }
        }
    })
