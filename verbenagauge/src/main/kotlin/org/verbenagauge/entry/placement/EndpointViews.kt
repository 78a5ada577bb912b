package org.verbenagauge.entry.placement

import org.verbenagauge.entry.state.FleetView
import org.verbenagauge.entry.state.control.FleetState
import org.verbenagauge.entry.state.store.InstancePhase
import org.verbenagauge.entry.state.store.ListedInstance

/** Returns the endpoints by pool. The shared state assigns instances to pools; the list has their address and phase. */
internal fun endpointsByPool(view: FleetView): Map<String, List<EndpointView>> {
    val fleet = view.control.fleet
    val poolIdByInstance = fleet.poolIdByInstance
    return view.listed
        .filter { it.id in poolIdByInstance }
        .groupBy({ poolIdByInstance.getValue(it.id) }, { endpointView(it, fleet) })
}

private fun endpointView(
    instance: ListedInstance,
    fleet: FleetState,
) = EndpointView(
    address = EndpointAddress(instance.id, instance.host, instance.port),
    acceptsNewWork = instance.phase == InstancePhase.LIVE && fleet.mayPlace(instance.id),
)
