package org.verbenagauge.entry.state.control

import org.verbenagauge.entry.state.document.Configuration
import org.verbenagauge.entry.state.document.Pool

/**
 * What of a pool is away, and how much may be.
 *
 * @property poolId pool.
 * @property size instances that belong to the pool, without those lent to it.
 * @property lent instances lent to the pool that have joined it.
 * @property planned instances of the pool that steps hold out of placement.
 * @property unplanned instances of the pool that are down without a step.
 * @property maxAway instances that may be away, without the lent ones.
 * @property maxAwayPerRack instances of one rack that may be away, or null for no such bound.
 * @property maxAwayPerZone instances of one availability zone that may be away, or null for no such bound.
 * @property awayByRack instances away, planned or not, by rack.
 * @property awayByZone instances away, planned or not, by availability zone.
 */
public data class PoolRoom(
    val poolId: String,
    val size: Int,
    val lent: Int,
    val planned: Int,
    val unplanned: Int,
    val maxAway: Int,
    val maxAwayPerRack: Int? = null,
    val maxAwayPerZone: Int? = null,
    val awayByRack: Map<String, Int> = emptyMap(),
    val awayByZone: Map<String, Int> = emptyMap(),
) {
    /** Instances that may still be taken out; negative when the budget is exceeded. */
    val free: Int get() = maxAway + lent - planned - unplanned

    /** Whether the budgets of the rack and of the zone allow another instance at [place] to be away. */
    public fun domainsAllow(place: InstancePlace): Boolean =
        (awayByRack[place.rackId] ?: 0) < (maxAwayPerRack ?: Int.MAX_VALUE) &&
            (awayByZone[place.zoneId] ?: 0) < (maxAwayPerZone ?: Int.MAX_VALUE)

    /** Returns the room after an instance at [place] was taken out. */
    public fun without(place: InstancePlace): PoolRoom =
        copy(
            planned = planned + 1,
            awayByRack = awayByRack + (place.rackId to (awayByRack[place.rackId] ?: 0) + 1),
            awayByZone = awayByZone + (place.zoneId to (awayByZone[place.zoneId] ?: 0) + 1),
        )
}

/** Returns the room of each pool of the document; [down] are the places of instances that are known to be down. */
public fun ControlState.poolRooms(down: Map<String, InstancePlace> = emptyMap()): Map<String, PoolRoom> =
    poolRooms(fleet, configuration, down)

internal fun poolRooms(
    fleet: FleetState,
    configuration: Configuration,
    down: Map<String, InstancePlace>,
): Map<String, PoolRoom> {
    val members = fleet.poolIdByInstance.entries.groupBy({ it.value }, { it.key })
    return configuration.pools.associate { it.id to poolRoom(it, members[it.id].orEmpty(), fleet, down) }
}

private fun poolRoom(
    pool: Pool,
    members: List<String>,
    fleet: FleetState,
    down: Map<String, InstancePlace>,
): PoolRoom {
    val lent = members.count { it in fleet.homePoolIdByLent }
    val planned = members.mapNotNull { fleet.stepByInstance[it]?.place }
    val unplanned = members.filter { it !in fleet.stepByInstance }.mapNotNull { down[it] }
    val away = planned + unplanned
    return PoolRoom(
        poolId = pool.id,
        size = members.size - lent,
        lent = lent,
        planned = planned.size,
        unplanned = unplanned.size,
        maxAway = pool.budget.maxAwayOf(members.size - lent),
        maxAwayPerRack = pool.budget.maxAwayPerRack,
        maxAwayPerZone = pool.budget.maxAwayPerZone,
        awayByRack = away.groupingBy { it.rackId }.eachCount(),
        awayByZone = away.groupingBy { it.zoneId }.eachCount(),
    )
}
