package org.verbenagauge.entry.state.control

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Edit of the fleet. */
@Serializable
public sealed interface FleetEdit : Edit {
    /** Puts an instance that belongs to no pool into [poolId]. */
    @Serializable
    @SerialName("assign-instance")
    public data class AssignInstance(
        val instanceId: String,
        val poolId: String,
    ) : FleetEdit

    /**
     * Takes [instanceId], which stands at [place], out of placement for [purpose].
     *
     * @property toPoolId pool to lend to; the other purposes name their pool themselves.
     * @property isDown whether the platform's list shows it down, so that taking it out of the fleet costs nothing.
     */
    @Serializable
    @SerialName("begin-step")
    public data class Begin(
        val instanceId: String,
        val purpose: StepPurpose,
        val place: InstancePlace,
        val toPoolId: String? = null,
        val nowWallMillis: Long,
        val isDown: Boolean = false,
    ) : FleetEdit

    /** Edit of a step that exists; [phaseVersion] is its fencing token. */
    @Serializable
    public sealed interface OfStep : FleetEdit {
        public val instanceId: String
        public val phaseVersion: Long
    }

    /** The drain timeout has passed and only idempotent work still runs: it is to be stopped. */
    @Serializable
    @SerialName("stop-work")
    public data class StopWork(
        override val instanceId: String,
        override val phaseVersion: Long,
    ) : OfStep

    /** No entry can place work on the instance and none runs there: it leaves its pool if it moves, and reboots. */
    @Serializable
    @SerialName("reboot-instance")
    public data class Reboot(
        override val instanceId: String,
        override val phaseVersion: Long,
        val bootCountBefore: Long,
    ) : OfStep

    /** The instance has not come back in time. */
    @Serializable
    @SerialName("instance-lost")
    public data class Lose(
        override val instanceId: String,
        override val phaseVersion: Long,
    ) : OfStep

    /** The instance is back and healthy: it takes work again, in its new pool if it moves. */
    @Serializable
    @SerialName("finish-step")
    public data class Finish(
        override val instanceId: String,
        override val phaseVersion: Long,
    ) : OfStep

    /** The instance never comes back, and a move of the document takes it out of the fleet. */
    @Serializable
    @SerialName("abandon-instance")
    public data class Abandon(
        override val instanceId: String,
        override val phaseVersion: Long,
    ) : OfStep

    /** Puts a draining instance back; one that moves and has left its pool goes back to it after the reboot. */
    @Serializable
    @SerialName("cancel-step")
    public data class Cancel(
        override val instanceId: String,
        override val phaseVersion: Long,
    ) : OfStep

    /** Stops the wave [waveId] on evidence, or lets it go on when [hold] is null. */
    @Serializable
    @SerialName("hold-wave")
    public data class Hold(
        val waveId: String,
        val hold: WaveHold?,
    ) : FleetEdit

    /** Drops what is known of waves and moves that the document no longer holds. */
    @Serializable
    @SerialName("forget-ended")
    public data class Forget(
        val waveIds: Set<String>,
        val moveIds: Set<String>,
    ) : FleetEdit
}
