package org.verbenagauge.entry.state.control

import kotlinx.serialization.Serializable

/**
 * Where each instance belongs, what is being done with it, and how far each wave is.
 *
 * @property poolIdByInstance pool of each instance; an instance that is missing belongs to none.
 * @property stepByInstance step of each instance that a wave or a move has taken out of placement.
 * @property homePoolIdByLent pool that each lent instance goes back to.
 * @property waves progress of each wave by its name.
 * @property finishedMoveIds moves of the document that have ended.
 * @property historyByPool what the queues of each pool have ever allowed.
 */
@Serializable
public data class FleetState(
    val poolIdByInstance: Map<String, String> = emptyMap(),
    val stepByInstance: Map<String, InstanceStep> = emptyMap(),
    val homePoolIdByLent: Map<String, String> = emptyMap(),
    val waves: Map<String, WaveRecord> = emptyMap(),
    val finishedMoveIds: Set<String> = emptySet(),
    val historyByPool: Map<String, PoolHistory> = emptyMap(),
) {
    /** Pool that [instanceId] counts for in a wave: its home pool while it is lent; null for none. */
    public fun homePoolId(instanceId: String): String? = homePoolIdByLent[instanceId] ?: poolIdByInstance[instanceId]

    /** Whether new work may be placed on [instanceId]. */
    public fun mayPlace(instanceId: String): Boolean = instanceId in poolIdByInstance && instanceId !in stepByInstance
}

/**
 * What is being done with an instance that is out of placement.
 *
 * @property purpose why it is out.
 * @property phase how far it is.
 * @property place where the instance stands.
 * @property fromPoolId pool that it was taken from.
 * @property toPoolId pool that it joins at the end, or null when it leaves the fleet.
 * @property takenOutVersion version that took the instance out of placement.
 * @property phaseVersion version that began the phase: the fencing token of every edit of this step.
 * @property startedAtWallMillis wall clock of the entry that began the step, for display.
 * @property bootCountBefore boots of the instance that the platform's list showed before the reboot.
 */
@Serializable
public data class InstanceStep(
    val purpose: StepPurpose,
    val phase: StepPhase,
    val place: InstancePlace,
    val fromPoolId: String,
    val toPoolId: String?,
    val takenOutVersion: Long,
    val phaseVersion: Long,
    val startedAtWallMillis: Long,
    val bootCountBefore: Long = 0,
)

/**
 * Failure domains of an instance.
 *
 * @property rackId rack.
 * @property zoneId availability zone.
 */
@Serializable
public data class InstancePlace(
    val rackId: String,
    val zoneId: String,
)

/**
 * What the queues of a pool have ever allowed: work that began under an older document may still run.
 *
 * @property longestRunMillis longest run of a request.
 * @property hadNonIdempotent whether any queue was not idempotent.
 */
@Serializable
public data class PoolHistory(
    val longestRunMillis: Long = 0,
    val hadNonIdempotent: Boolean = false,
)

/** How far a step is. */
@Serializable
public enum class StepPhase {
    /** Takes no new work; what runs goes on to its end. Can be cancelled. */
    DRAINING,

    /** Idempotent work that outlived the drain timeout is checkpointed and stopped. */
    STOPPING,

    /** Empty, belongs to no pool if it moves, and reboots. */
    REBOOTING,

    /** Has not come back within the reboot timeout. */
    LOST,
}

/**
 * Progress of a wave.
 *
 * @property finishedIds instances that were maintained.
 * @property hold why the wave takes no further instance out, or null when it goes on.
 */
@Serializable
public data class WaveRecord(
    val finishedIds: Set<String> = emptySet(),
    val hold: WaveHold? = null,
)

/** Evidence on which a wave stops until the evidence is gone. */
@Serializable
public enum class WaveHold {
    /** More instances than tolerated have not come back from their reboot. */
    LOST_INSTANCES,

    /** Instances fail after their maintenance far more often than those that wait for it. */
    FAILURES_AFTER_MAINTENANCE,
}
