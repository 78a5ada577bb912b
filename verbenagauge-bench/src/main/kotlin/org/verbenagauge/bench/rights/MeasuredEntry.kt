package org.verbenagauge.bench.rights

import org.verbenagauge.entry.model.PeerId
import org.verbenagauge.entry.model.Resource
import org.verbenagauge.entry.rights.rightsCore

/** One entry of a measured fleet; among its teams it starts the one with the least service for its weight. */
internal class MeasuredEntry(
    val id: PeerId,
    private val shape: FleetShape,
) {
    val core = rightsCore(id)
    private val teamsById = shape.teams.associateBy { it.id }
    private val slotsByPool = shape.poolIds.associateWith { shape.slots(it) }
    private val lanes = shape.poolIds.associateWith { HashMap<String, TeamLane>() }

    fun setWaiting(
        poolId: String,
        teamId: String,
        waiting: Int,
    ) {
        lanes.getValue(poolId).getOrPut(teamId) { TeamLane() }.waiting = waiting
        core.waiting(poolId, teamId, waiting)
    }

    /** Starts one request of [poolId], or returns null when none can start. */
    fun startOne(poolId: String): Start? {
        val teams = lanes.getValue(poolId).filterValues { it.waiting > 0 }.keys
        if (teams.isEmpty()) return null
        val slot = slotsByPool.getValue(poolId).firstOrNull { core.free(it) > 0 } ?: return null
        val teamId =
            teams.sortedBy { virtualTime(poolId, it) }.firstOrNull { core.tryTake(Resource.Team(it)) } ?: return null
        core.tryTake(slot)
        core.started(poolId, teamId)
        lanes.getValue(poolId).getValue(teamId).started++
        return Start(teamsById.getValue(teamId), slot)
    }

    private fun virtualTime(
        poolId: String,
        teamId: String,
    ): Double {
        val own = lanes.getValue(poolId).getValue(teamId).started
        val elsewhere = if (shape.sharesOverFleet) core.startedElsewhere(poolId, teamId) else 0
        return (own + elsewhere).toDouble() / teamsById.getValue(teamId).weight
    }

    private class TeamLane {
        var waiting = 0
        var started = 0L
    }
}
