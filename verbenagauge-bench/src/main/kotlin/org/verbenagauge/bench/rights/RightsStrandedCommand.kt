package org.verbenagauge.bench.rights

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlin.random.Random

private const val SHIFT_MILLIS = 10_000L
private const val MEASURED_FROM_MILLIS = 2_000L
private const val MEASURED_TO_MILLIS = 3_000L
private const val SAMPLE_MILLIS = 20L
private const val WAITING = 500
private const val PERCENT = 100.0

/** Measures which part of a team's limit is not in use after its demand has moved to other entries. */
@OptIn(ExperimentalCli::class)
internal class RightsStrandedCommand :
    Subcommand("rights-stranded", "Rights not in use after demand has moved, against a fixed split.") {
    private val entries by option(ArgType.Int, "entries", description = "Entry instances").default(8)
    private val shifts by option(ArgType.Int, "shifts", description = "Demand shifts").default(10)
    private val seed by option(ArgType.Int, "seed", description = "Seed").default(1)

    override fun execute() {
        listOf(true, false).forEach { rightsMove ->
            val result = measure(rightsMove)
            val name = if (rightsMove) "escrow" else "fixed split"
            println(
                "$name: entries=$entries limit=$LIMIT stranded 2 s to 3 s after a shift: " +
                    "mean %.1f%% worst %.1f%%; highest running %d".format(result.mean, result.worst, result.highest),
            )
        }
    }

    private fun measure(rightsMove: Boolean): Stranded {
        val team = MeasuredTeam("large", weight = 1, limit = LIMIT, meanRunMillis = MEAN_RUN_MILLIS)
        val shape = FleetShape(entries, 1, WORKERS, SLOTS, listOf(team), rightsMove, seed = seed.toLong())
        val fleet = RightsFleet(shape) { _, _, _ -> }
        val random = Random(seed)
        val samples = ArrayList<Double>()
        var highest = 0
        repeat(shifts) { shift ->
            moveDemand(fleet, random)
            val startMillis = shift * SHIFT_MILLIS
            for (at in startMillis..startMillis + SHIFT_MILLIS step SAMPLE_MILLIS) {
                fleet.runUntil(at)
                highest = maxOf(highest, fleet.running)
                val sinceMillis = at - startMillis
                if (sinceMillis in MEASURED_FROM_MILLIS..MEASURED_TO_MILLIS) {
                    samples += PERCENT * (LIMIT - fleet.running) / LIMIT
                }
            }
        }
        return Stranded(samples.average(), samples.max(), highest)
    }

    private fun moveDemand(
        fleet: RightsFleet,
        random: Random,
    ) {
        val hot = (0 until entries).shuffled(random).take(maxOf(1, entries / 4)).toSet()
        (0 until entries).forEach { fleet.setWaiting(it, "pool-0", "large", if (it in hot) WAITING else 0) }
    }

    private class Stranded(
        val mean: Double,
        val worst: Double,
        val highest: Int,
    )

    private companion object {
        const val LIMIT = 160
        const val WORKERS = 40
        const val SLOTS = 8
        const val MEAN_RUN_MILLIS = 200L
    }
}
