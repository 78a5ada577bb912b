package org.verbenagauge.entry.fleet

import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.logging.EventLog
import org.verbenagauge.entry.settings.EntrySettings
import org.verbenagauge.entry.state.EntryState

/** Creates the fleet manager of the entry that [settings] describe. */
public fun fleetManager(
    settings: EntrySettings,
    state: EntryState,
    instances: ListRecorder,
    demand: DemandView,
    clock: Clock,
    log: EventLog,
): FleetManager =
    FleetManager(
        settings.fleet,
        FleetParts(
            entryId = settings.entry.id,
            changes = state.changes,
            inForce = state.service,
            instances = instances,
            network = state.network,
            probe = httpHealthProbe(),
            clock = clock,
            log = log,
            demand = demand,
        ),
    )
