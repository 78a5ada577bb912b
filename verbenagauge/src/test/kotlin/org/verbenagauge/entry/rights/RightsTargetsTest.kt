package org.verbenagauge.entry.rights

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import org.verbenagauge.entry.model.PeerId
import org.verbenagauge.entry.peers.TeamDemand

class RightsTargetsTest :
    FunSpec({
        context("given what entries hold and need, when targets are computed, then rights go by share and demand") {
            withData(
                nameFn = { it.name },
                TargetCase("nobody needs any", listOf(entry(9), entry(0), entry(0)), listOf(3, 3, 3)),
                TargetCase("one needs all", listOf(entry(8), entry(0, "a" to 50)), listOf(0, 8)),
                TargetCase("a team at two entries", listOf(entry(9, "a" to 20), entry(0, "a" to 10)), listOf(6, 3)),
                TargetCase("teams by weight", listOf(entry(8, "a" to 50), entry(0, "b" to 50)), listOf(6, 2)),
                TargetCase("a small demand is met", listOf(entry(8, "a" to 1), entry(0, "b" to 50)), listOf(1, 7)),
                TargetCase("one stops", listOf(entry(8, stopping = true), entry(0)), listOf(0, 8)),
            ) { case ->
                val entries = case.entries.mapIndexed { index, it -> it.copy(id = peer(index)) }
                val targets = rightsTargets(entries, weightByTeam = mapOf("a" to 3, "b" to 1))
                entries.map { targets.getValue(it.id) } shouldBe case.targets
            }
        }
    })

private class TargetCase(
    val name: String,
    val entries: List<EntryDemand>,
    val targets: List<Int>,
)

private fun peer(index: Int) = PeerId("entry-$index", 1)

private fun entry(
    held: Int,
    vararg waiting: Pair<String, Int>,
    stopping: Boolean = false,
) = EntryDemand(peer(0), held, stopping, waiting.map { TeamDemand(it.first, it.second) })
