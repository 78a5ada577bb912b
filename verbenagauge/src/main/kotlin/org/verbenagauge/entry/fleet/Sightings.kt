package org.verbenagauge.entry.fleet

import org.verbenagauge.entry.state.control.FleetState
import org.verbenagauge.entry.state.control.InstancePlace
import org.verbenagauge.entry.state.store.InstancePhase
import org.verbenagauge.entry.state.store.ListedInstance

private val unknownPlace = InstancePlace(rackId = "", zoneId = "")

/** What the platform's lagging list has shown. */
internal class Sightings {
    private var listedById = emptyMap<String, ListedInstance>()
    private val places = HashMap<String, InstancePlace>()

    /** When the last list was asked for, or null before the first. */
    var askedAtMillis: Long? = null
        private set

    /** Takes in [listed], which was asked for at [askedAtMillis]. */
    fun update(
        listed: List<ListedInstance>,
        askedAtMillis: Long,
    ) {
        listedById = listed.associateBy { it.id }
        listed.forEach { places[it.id] = InstancePlace(it.rackId, it.zoneId) }
        this.askedAtMillis = askedAtMillis
    }

    /** Whether the list is not older than [maxAgeMillis]. */
    fun isCurrent(
        nowMillis: Long,
        maxAgeMillis: Long,
    ): Boolean = askedAtMillis?.let { nowMillis - it <= maxAgeMillis } ?: false

    /** Returns the instance as listed last, or null. */
    fun listed(instanceId: String): ListedInstance? = listedById[instanceId]

    /** Whether [instanceId] is listed as live. */
    fun isLive(instanceId: String): Boolean = listedById[instanceId]?.phase == InstancePhase.LIVE

    /** Place of [instanceId], also after the list has dropped it. */
    fun place(instanceId: String): InstancePlace = places[instanceId] ?: unknownPlace

    /** Places of the instances of pools that are down without a step. */
    fun down(fleet: FleetState): Map<String, InstancePlace> =
        fleet.poolIdByInstance.keys
            .filter { it !in fleet.stepByInstance && !isLive(it) }
            .associateWith(::place)

    /** Racks of more than one instance in which every listed instance is down. */
    fun lostRacks(): Set<String> =
        listedById.values
            .groupBy { it.rackId }
            .filterValues { rack -> rack.size > 1 && rack.none { it.phase == InstancePhase.LIVE } }
            .keys
}
