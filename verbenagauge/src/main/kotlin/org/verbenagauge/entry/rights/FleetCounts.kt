package org.verbenagauge.entry.rights

import org.verbenagauge.entry.model.PeerId
import org.verbenagauge.entry.peers.TeamStarted

private const val PERMILLE = 1_000.0

/** Part of the error of a prediction that one report corrects; more would overshoot, since reports are late. */
private const val CORRECTION_GAIN = 0.3

/**
 * Requests that other entries have started, as the homes of the pools tell.
 *
 * Between two reports the service elsewhere is predicted from the service here, by the part of each team's
 * demand that waits here. Without that, all entries would favour the team that the last report shows behind,
 * until the next one shows it ahead.
 */
internal class FleetCounts {
    private val pools = HashMap<String, PoolCounts>()

    fun startedElsewhere(
        poolId: String,
        teamId: String,
    ): Long = pools[poolId]?.teams?.get(teamId)?.told() ?: 0

    /** Handles that a request of [teamId] has started here. */
    fun started(
        poolId: String,
        teamId: String,
    ) {
        pools[poolId]?.teams?.get(teamId)?.predict()
    }

    /** Adds what [home] counted since it last told; the first count of another home is where counting resumes. */
    fun update(
        home: PeerId,
        poolId: String,
        told: List<TeamStarted>,
    ) {
        if (told.isEmpty()) return
        val pool = pools.getOrPut(poolId) { PoolCounts(home) }
        if (pool.home != home) {
            pool.home = home
            pool.teams.values.forEach { it.last = null }
        }
        told.forEach { pool.teams.getOrPut(it.teamId) { TeamCount() }.update(it) }
    }

    private class PoolCounts(
        var home: PeerId,
    ) {
        val teams = HashMap<String, TeamCount>()
    }

    private class TeamCount {
        var last: Long? = null
        private var localPart = 1.0
        private var counted = 0.0
        private var predicted = 0.0
        private var highestTold = 0L

        fun told(): Long {
            highestTold = maxOf(highestTold, predicted.toLong())
            return highestTold
        }

        fun predict() {
            predicted += 1 / localPart - 1
        }

        fun update(report: TeamStarted) {
            val before = last
            last = report.started
            localPart = maxOf(1, report.localPermille) / PERMILLE
            if (before == null) {
                counted = predicted
                return
            }
            counted += maxOf(0, report.started - before)
            predicted += CORRECTION_GAIN * (counted - predicted)
        }
    }
}
