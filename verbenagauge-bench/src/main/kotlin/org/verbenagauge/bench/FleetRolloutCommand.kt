package org.verbenagauge.bench

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import org.verbenagauge.entry.fleet.BudgetPlanner
import org.verbenagauge.entry.fleet.GreedyByRack
import org.verbenagauge.entry.fleet.OneAtATime
import org.verbenagauge.entry.fleet.WavePlanner

private const val MILLIS_PER_MINUTE = 60_000.0

/** Measures the roll-out of a wave in virtual time against the lower bound and both baselines. */
@OptIn(ExperimentalCli::class)
internal class FleetRolloutCommand : Subcommand("fleet-rollout", "Measure the roll-out of a wave in virtual time.") {
    private val scenario by option(ArgType.String, "scenario", description = "Fleet, or all").default("all")
    private val seed by option(ArgType.Int, "seed", description = "Seed of run times and failures").default(1)

    private val planners: Map<String, WavePlanner> =
        mapOf("budget" to BudgetPlanner, "greedy-by-rack" to GreedyByRack, "one-at-a-time" to OneAtATime)

    override fun execute() {
        println("| fleet | failures | planner | roll-out min | ratio to bound | moves | away h | lent h | most away |")
        println("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
        fleetScenarios.filter { scenario == "all" || it.name == scenario }.forEach { fleet ->
            listOf(false, true).forEach { withFailures ->
                planners.forEach { (name, planner) -> measure(fleet, withFailures, name, planner) }
            }
        }
    }

    private fun measure(
        fleet: FleetScenario,
        withFailures: Boolean,
        name: String,
        planner: WavePlanner,
    ) {
        val figures = FleetRollout(fleet, planner, withFailures, seed).run()
        val minutes = figures.rolloutMillis?.let { "%.0f".format(it / MILLIS_PER_MINUTE) } ?: "not ended"
        val ratio = figures.rolloutMillis?.let { "%.3f".format(it.toDouble() / figures.lowerBoundMillis) } ?: "-"
        val hours = "%.1f | %.1f".format(figures.awayHours, figures.lentHours)
        println(
            "| ${fleet.name} | $withFailures | $name | $minutes | $ratio | ${figures.moves} | $hours | ${figures.mostAway} |",
        )
    }
}
