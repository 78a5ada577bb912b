package org.verbenagauge.bench.rights

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlin.math.abs

private const val WARM_MILLIS = 10_000L
private const val WINDOW_MILLIS = 10_000L
private const val STEP_MILLIS = 1_000L
private const val PERCENT = 100.0

/** Measures how near each team comes to its share over the fleet when callers arrive unevenly. */
@OptIn(ExperimentalCli::class)
internal class RightsSharesCommand :
    Subcommand("rights-shares", "Nearness to share over the fleet, against fair queues per entry.") {
    private val entries by option(ArgType.Int, "entries", description = "Entry instances").default(8)
    private val seconds by option(ArgType.Int, "seconds", description = "Measured virtual seconds").default(60)
    private val seed by option(ArgType.Int, "seed", description = "Seed").default(1)

    override fun execute() {
        report("rights and shares over the fleet", rightsMove = true, sharesOverFleet = true)
        report("rights move, fair queue per entry", rightsMove = true, sharesOverFleet = false)
        report("fixed split, fair queue per entry", rightsMove = false, sharesOverFleet = false)
    }

    private fun report(
        name: String,
        rightsMove: Boolean,
        sharesOverFleet: Boolean,
    ) {
        val servedByTeam = teams.associate { it.id to LongArray(seconds + (WARM_MILLIS / STEP_MILLIS).toInt() + 1) }
        val shape =
            FleetShape(entries, 1, WORKERS, SLOTS, teams, rightsMove, sharesOverFleet, seed.toLong())
        val fleet =
            RightsFleet(shape) { teamId, _, nowMillis ->
                servedByTeam.getValue(teamId)[(nowMillis / STEP_MILLIS).toInt()]++
            }
        addDemand(fleet)
        fleet.runUntil(WARM_MILLIS + seconds * STEP_MILLIS - 1)
        val errors = windowErrors(servedByTeam)
        println(
            "$name: entries=$entries worst error of any 10 s window %.1f%% of the share, mean %.1f%%".format(
                errors.max(),
                errors.average(),
            ),
        )
    }

    // Large teams reach few entries, small ones all of them.
    private fun addDemand(fleet: RightsFleet) {
        teams.forEachIndexed { teamIndex, team ->
            val reached = if (teamIndex < LARGE_TEAMS) 1 + teamIndex else entries
            repeat(reached) { fleet.setWaiting((teamIndex + it) % entries, "pool-0", team.id, WAITING / (1 + it)) }
        }
    }

    private fun windowErrors(servedByTeam: Map<String, LongArray>): List<Double> {
        val weights = teams.sumOf { it.weight }.toDouble()
        val windowSteps = (WINDOW_MILLIS / STEP_MILLIS).toInt()
        val first = (WARM_MILLIS / STEP_MILLIS).toInt()
        return (first..first + seconds - windowSteps).flatMap { start ->
            val served = servedByTeam.mapValues { (_, steps) -> (start until start + windowSteps).sumOf { steps[it] } }
            val total = served.values.sum().toDouble()
            teams.map { PERCENT * abs(served.getValue(it.id) / total - it.weight / weights) / (it.weight / weights) }
        }
    }

    private companion object {
        const val WORKERS = 8
        const val SLOTS = 8
        const val WAITING = 100
        const val LARGE_TEAMS = 3
        val teams =
            listOf(4, 3, 2, 1, 1, 1).mapIndexed {
                index,
                weight,
                ->
                MeasuredTeam("team-$index", weight, 1_000, 100)
            }
    }
}
