package org.verbenagauge.entry.fleet

import org.verbenagauge.entry.state.control.StepPhase
import org.verbenagauge.entry.state.control.StepPurpose

/**
 * What operators read of waves, moves and pools.
 *
 * @property version version of the shared state that it was worked out from.
 * @property waves waves of the document.
 * @property away instances that steps hold out of placement, whatever the purpose.
 * @property pools pools against their budgets.
 * @property waitingMoveIds moves of the document that have not begun.
 */
public data class FleetProgress(
    val version: Long,
    val waves: List<WaveProgress>,
    val away: List<AwayInstance>,
    val pools: List<PoolAvailability>,
    val waitingMoveIds: List<String>,
)

/**
 * Progress of one wave.
 *
 * @property waveId wave.
 * @property stage how far it is.
 * @property instances instances that take part.
 * @property finished instances that were maintained.
 * @property away instances that the wave holds away.
 * @property nextInstanceIds instances that it takes out next, as far as known.
 * @property waits what holds the whole wave back; empty when nothing does.
 * @property poolWaits what holds back each pool that still has instances to maintain.
 * @property expectedEndWallMillis when it should end as it goes now, or null when that cannot be told.
 */
public data class WaveProgress(
    val waveId: String,
    val stage: WaveStage,
    val instances: Int,
    val finished: Int,
    val away: Int,
    val nextInstanceIds: List<String>,
    val waits: List<WaveWait>,
    val poolWaits: Map<String, PoolWait>,
    val expectedEndWallMillis: Long?,
)

/** How far a wave is. */
public enum class WaveStage {
    WAITING,
    RUNNING,
    HELD,
    PAUSED,
    CANCELLED,
    FINISHED,
}

/** What holds a whole wave back. */
public enum class WaveWait(
    public val text: String,
) {
    START_TIME("its start time has not come"),
    MAINTENANCE_HOURS("it is outside its maintenance hours"),
    PAUSED("an operator paused it"),
    CANCELLED("an operator cancelled it"),
    LOST_INSTANCES("more instances than tolerated have not come back from their reboot"),
    FAILURES_AFTER_MAINTENANCE("instances fail after their maintenance far more often than those that wait for it"),
    SLOWED("it goes slower because instances have not come back from their reboot"),
    LIST_OUTDATED("the platform's list of instances has not been read lately"),
    MAX_AT_ONCE("it holds as many instances away as it may at once"),
}

/** What holds one pool of a wave back. */
public enum class PoolWait(
    public val text: String,
) {
    BUDGET_USED("its budget is used up by instances away for maintenance or moves"),
    BUDGET_LOST("its budget is used up by instances that are down"),
    BUDGET_ZERO("its budget allows no instance away and no spare instance can be lent"),
    DOMAIN_BUDGET_USED("its budget for the rack or zone of each remaining instance is used up"),
    RESERVE("the rest of its budget is kept for the loss of a rack or zone"),
    URGENT_WORK("it is full with urgent work"),
    FINISH_BY("its deferrable work must finish first"),
    POOL_ORDER("pools that stand earlier in the order are not finished"),
    INSTANCES_DOWN("its remaining instances are down"),
    WAVE("the wave as a whole takes no further instance now"),
}

/** What a step waits for. */
public enum class StepWait(
    public val text: String,
) {
    IN_FORCE("some entry may still place work on it"),
    RUNNING_WORK("running work has not had its longest time to end"),
    REPORTED_WORK("it still reports running work, which cannot be stopped and run again"),
    PLATFORM("the platform has not taken the action"),
    BOOT("it has not come back from its reboot"),
    HEALTH("it is back and being checked"),
    LOST("it has not come back in time; look at the machine"),
}

/**
 * An instance that a step holds out of placement.
 *
 * @property instanceId instance.
 * @property poolId pool that it was taken from.
 * @property toPoolId pool that it joins, or null when it leaves the fleet.
 * @property purpose why it is out.
 * @property phase how far the step is.
 * @property wait what the step waits for, or null when that is not known here.
 * @property sinceWallMillis when the step began.
 */
public data class AwayInstance(
    val instanceId: String,
    val poolId: String,
    val toPoolId: String?,
    val purpose: StepPurpose,
    val phase: StepPhase,
    val wait: StepWait?,
    val sinceWallMillis: Long,
)

/**
 * A pool against its budget.
 *
 * @property poolId pool.
 * @property size instances that belong to it, without those lent to it.
 * @property lent instances lent to it.
 * @property plannedAway instances away for maintenance or moves.
 * @property unplannedAway instances that are down.
 * @property maxAway instances that may be away.
 */
public data class PoolAvailability(
    val poolId: String,
    val size: Int,
    val lent: Int,
    val plannedAway: Int,
    val unplannedAway: Int,
    val maxAway: Int,
)
