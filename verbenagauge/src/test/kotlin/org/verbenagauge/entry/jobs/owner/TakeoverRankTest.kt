package org.verbenagauge.entry.jobs.owner

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe

private data class RankCase(
    val name: String,
    val ownCores: Double,
    val othersCores: List<Double>,
    val isLater: Boolean,
)

class TakeoverRankTest :
    FunSpec({
        context("an entry ranks behind all reachable ones on stronger machines") {
            withData(
                nameFn = { it.name },
                RankCase("alone", 0.36, emptyList(), isLater = false),
                RankCase("among machines of the same kind", 0.36, listOf(0.36, 0.36), isLater = false),
                RankCase("beside a reachable entry on a stronger machine", 0.36, listOf(0.36, 1.5), isLater = true),
                RankCase("on the strongest machine itself", 1.5, listOf(0.36, 0.36), isLater = false),
                RankCase("on one of several strong machines", 1.5, listOf(1.5, 0.36), isLater = false),
                RankCase("when its own number of cores is not known", 0.0, listOf(1.5), isLater = false),
            ) { case ->
                val rank = TakeoverRank("entry-7", case.ownCores).rank(case.othersCores)
                val alone = TakeoverRank("entry-7", case.ownCores).rank(emptyList())
                (alone in 0..7) shouldBe true
                (rank >= 8) shouldBe case.isLater
            }
        }
    })
