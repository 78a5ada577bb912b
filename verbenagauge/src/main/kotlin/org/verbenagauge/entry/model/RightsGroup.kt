package org.verbenagauge.entry.model

import kotlinx.serialization.Serializable

/** Resources whose rights move together to where they are needed. */
@Serializable(with = RightsGroupSerializer::class)
public sealed interface RightsGroup {
    /** Running requests of the team [teamId]. */
    public data class Team(
        val teamId: String,
    ) : RightsGroup

    /** Slots of all workers of the pool [poolId]. */
    public data class Pool(
        val poolId: String,
    ) : RightsGroup
}
