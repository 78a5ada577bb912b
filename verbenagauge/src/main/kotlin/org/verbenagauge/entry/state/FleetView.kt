package org.verbenagauge.entry.state

import org.verbenagauge.entry.state.control.ControlState
import org.verbenagauge.entry.state.store.ListedInstance

/**
 * What an entry knows of the fleet.
 *
 * @property control shared state.
 * @property listed instances as the platform's lagging list shows them.
 */
public data class FleetView(
    val control: ControlState,
    val listed: List<ListedInstance>,
)
