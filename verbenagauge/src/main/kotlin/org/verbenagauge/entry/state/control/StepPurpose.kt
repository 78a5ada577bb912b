package org.verbenagauge.entry.state.control

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Why an instance is taken out of placement. */
@Serializable
public sealed interface StepPurpose {
    /** Maintenance by the wave [waveId]. */
    @Serializable
    @SerialName("maintenance")
    public data class Maintenance(
        val waveId: String,
    ) : StepPurpose

    /** The operator's move [moveId]. */
    @Serializable
    @SerialName("move")
    public data class Move(
        val moveId: String,
    ) : StepPurpose

    /** A spare instance goes to a pool that has no room for its maintenance. */
    @Serializable
    @SerialName("lend")
    public data object Lend : StepPurpose

    /** A lent instance goes back to its pool. */
    @Serializable
    @SerialName("return")
    public data object Return : StepPurpose
}
