package org.verbenagauge.entry.peers

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe
import kotlin.random.Random

class DialPlannerTest :
    FunSpec({
        val later = PeerAddress("10.0.0.2", 7_000, "b")

        test(
            "given a pair, when both want a connection, then the first by name dials at once and the other follows later",
        ) {
            DialPlanner("a", Random(1)).due(listOf(later), 0) shouldBe listOf(later)
            val second = DialPlanner("c", Random(1))
            second.due(listOf(later), 0) shouldBe emptyList()
            second.due(listOf(later), 1_000) shouldBe listOf(later)
        }

        test("given an address that never answers, when an hour passes, then attempts are bounded by the backoff") {
            val planner = DialPlanner("a", Random(1))
            val attempts = (0L..3_600_000L step 100).sumOf { planner.due(listOf(later), it).size }
            attempts shouldBeInRange 680..1_500
        }
    })
