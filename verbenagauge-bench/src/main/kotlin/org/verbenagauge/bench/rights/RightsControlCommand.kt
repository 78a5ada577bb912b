package org.verbenagauge.bench.rights

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import java.lang.management.ManagementFactory
import kotlin.random.Random

private const val WARM_MILLIS = 5_000L
private const val CHANGE_MILLIS = 1_000L
private const val MILLIS_PER_SECOND = 1_000L
private const val NANOS_PER_MILLI = 1_000_000.0
private const val PERCENT = 100.0

/** Measures the control traffic and processor time of moving rights, per entry. */
@OptIn(ExperimentalCli::class)
internal class RightsControlCommand :
    Subcommand("rights-control", "Bytes and processor time a second that moving rights costs an entry.") {
    private val entries by option(ArgType.Int, "entries", description = "Entry instances").default(40)
    private val pools by option(ArgType.Int, "pools", description = "Pools").default(36)
    private val workers by option(ArgType.Int, "workers", description = "Workers of a pool").default(33)
    private val teams by option(ArgType.Int, "teams", description = "Teams").default(120)
    private val activePools by option(
        ArgType.Int,
        "active-pools",
        description = "Pools that are backlogged",
    ).default(12)
    private val seconds by option(ArgType.Int, "seconds", description = "Measured virtual seconds").default(20)
    private val seed by option(ArgType.Int, "seed", description = "Seed").default(1)

    override fun execute() {
        val measured = List(teams) { MeasuredTeam("team-$it", 1 + it % 4, TEAM_LIMIT, MEAN_RUN_MILLIS) }
        val shape = FleetShape(entries, pools, workers, SLOTS, measured, seed = seed.toLong())
        val fleet = RightsFleet(shape) { _, _, _ -> }
        val random = Random(seed)
        advance(fleet, random, WARM_MILLIS)
        val bytesBefore = fleet.sentBytes
        val messagesBefore = fleet.sentMessages
        val cpuBefore = cpuNanos()
        advance(fleet, random, WARM_MILLIS + seconds * MILLIS_PER_SECOND)
        val entrySeconds = entries.toDouble() * seconds
        val cpuPercent = PERCENT * (cpuNanos() - cpuBefore) / NANOS_PER_MILLI / MILLIS_PER_SECOND / entrySeconds
        println(
            "entries=$entries pools=$pools workers=${pools * workers} teams=$teams active-pools=$activePools: " +
                "%.0f bytes/s and %.1f messages/s sent per entry, ".format(
                    (fleet.sentBytes - bytesBefore) / entrySeconds,
                    (fleet.sentMessages - messagesBefore) / entrySeconds,
                ) + "%.2f%% of a core with the simulated requests".format(cpuPercent),
        )
    }

    // Each second the demand of one active pool in four moves to other entries.
    private fun advance(
        fleet: RightsFleet,
        random: Random,
        endMillis: Long,
    ) {
        while (fleet.nowMillis < endMillis) {
            repeat(maxOf(1, activePools / 4)) { moveDemand(fleet, random, "pool-${random.nextInt(activePools)}") }
            fleet.runUntil(fleet.nowMillis + CHANGE_MILLIS)
        }
    }

    private fun moveDemand(
        fleet: RightsFleet,
        random: Random,
        poolId: String,
    ) {
        repeat(TEAMS_PER_POOL) {
            val teamId = "team-${(poolId.hashCode() + it).mod(teams)}"
            (0 until entries).forEach { index ->
                val waiting = if (random.nextInt(4) == 0) 1 + random.nextInt(WAITING) else 0
                fleet.setWaiting(index, poolId, teamId, waiting)
            }
        }
    }

    private fun cpuNanos(): Long = ManagementFactory.getThreadMXBean().currentThreadCpuTime

    private companion object {
        const val SLOTS = 8
        const val TEAM_LIMIT = 200
        const val MEAN_RUN_MILLIS = 500L
        const val TEAMS_PER_POOL = 6
        const val WAITING = 30
    }
}
