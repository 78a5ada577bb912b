package org.verbenagauge.entry.fleet

import org.verbenagauge.entry.state.control.FleetEdit
import org.verbenagauge.entry.state.store.InstanceAction

/** What the shell must do after a decision of the fleet manager. */
public sealed interface FleetAction {
    /** Propose [edit] on top of [baseVersion]. */
    public data class Propose(
        val baseVersion: Long,
        val edit: FleetEdit,
    ) : FleetAction

    /** Ask the platform for [action] on [instanceId]. */
    public data class Act(
        val instanceId: String,
        val action: InstanceAction,
        val operationId: String,
    ) : FleetAction

    /** Ask the endpoint of [instanceId] for its health. */
    public data class Probe(
        val instanceId: String,
        val host: String,
        val port: Int,
    ) : FleetAction
}
