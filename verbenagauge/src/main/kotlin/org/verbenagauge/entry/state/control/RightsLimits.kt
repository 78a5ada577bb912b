package org.verbenagauge.entry.state.control

import org.verbenagauge.entry.model.Resource
import org.verbenagauge.entry.state.document.Team

/** Limits of all resources: the upper limit of each team, and the slots of each instance that is in a pool. */
public fun ControlState.limits(): Map<Resource, Int> {
    val slotsByPool = configuration.pools.associate { it.id to it.slotsPerWorker }
    return buildMap {
        configuration.teams.forEach { put(Resource.Team(it.id), it.maxRunning) }
        fleet.poolIdByInstance.forEach { (instanceId, poolId) ->
            put(Resource.Slot(instanceId), slotsByPool[poolId] ?: 0)
        }
    }
}

/** Resources whose lowered limit is not in force yet: more rights are granted than the limit allows. */
public fun ControlState.limitsNotInForce(): List<Resource> {
    val limits = limits()
    return rights.grants.keys.filter { rights.granted(it) > (limits[it] ?: 0) }
}

internal fun ControlState.limitOf(resource: Resource): Int =
    when (resource) {
        is Resource.Team -> configuration.teams.firstOrNull { it.id == resource.teamId }?.maxRunning ?: 0
        is Resource.Slot -> slotsOf(resource.instanceId)
    }

private fun ControlState.slotsOf(instanceId: String): Int {
    val poolId = fleet.poolIdByInstance[instanceId] ?: return 0
    return configuration.pools.firstOrNull { it.id == poolId }?.slotsPerWorker ?: 0
}

/** Returns this state with the holders of rights brought in line with its members and queues. */
internal fun ControlState.rightsFollowing(): ControlState {
    val longestRunMillis = configuration.queues.maxOfOrNull { it.maxRunMillis } ?: 0
    val followed = rights.following(membership.members.map { it.id }, version, longestRunMillis)
    return if (followed === rights) this else copy(rights = followed)
}
