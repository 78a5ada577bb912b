package org.verbenagauge.entry.model

import kotlinx.serialization.Serializable

/** Something of which only a limited number may be in use at once over the fleet. */
@Serializable(with = ResourceSerializer::class)
public sealed interface Resource {
    /** Running requests of the team [teamId]; the limit is the team's upper limit. */
    public data class Team(
        val teamId: String,
    ) : Resource

    /** Slots of the worker [instanceId]; the limit is the pool's slots per worker. */
    public data class Slot(
        val instanceId: String,
    ) : Resource
}
