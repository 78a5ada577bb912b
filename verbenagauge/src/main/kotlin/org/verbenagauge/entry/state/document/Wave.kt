package org.verbenagauge.entry.state.document

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * A maintenance wave: every instance of its pools is drained and rebooted exactly once.
 *
 * @property id name of the wave.
 * @property poolIds pools whose instances take part; empty for all pools.
 * @property instanceIds instances that take part; empty for all instances of the pools.
 * @property startAtWallMillis earliest start, in milliseconds since 1970-01-01T00:00:00Z.
 * @property hours hours of the day within which an instance may be taken out, or null for any time.
 * @property poolOrder pools that are finished one after another in this order, before all other pools.
 * @property maxAtOnce instances that the wave may hold away at once over all pools, or null for no such bound.
 * @property command what the operator wants of the wave.
 * @property reserve how much of each budget the wave leaves free for the loss of a rack or a zone.
 * @property toleratedLosses instances that may fail to come back before the wave stops.
 * @property drainTimeoutMillis time after which idempotent work that still runs is checkpointed and stopped.
 * @property rebootTimeoutMillis time after which a rebooted instance counts as one that did not come back.
 */
@Serializable
public data class Wave(
    val id: String,
    val poolIds: List<String> = emptyList(),
    val instanceIds: List<String> = emptyList(),
    val startAtWallMillis: Long = 0,
    val hours: MaintenanceHours? = null,
    val poolOrder: List<String> = emptyList(),
    val maxAtOnce: Int? = null,
    val command: WaveCommand = WaveCommand.RUN,
    val reserve: WaveReserve = WaveReserve.SLACK,
    val toleratedLosses: Int = 2,
    val drainTimeoutMillis: Long = 120_000,
    val rebootTimeoutMillis: Long = 900_000,
)

/**
 * Hours of the day (UTC) within which an instance may be taken out; they may pass midnight.
 *
 * @property fromMinuteOfDay first minute.
 * @property untilMinuteOfDay first minute that no longer belongs to the hours.
 */
@Serializable
public data class MaintenanceHours(
    val fromMinuteOfDay: Int,
    val untilMinuteOfDay: Int,
) {
    /** Whether [wallMillis] lies within the hours. */
    public fun contains(wallMillis: Long): Boolean {
        val minute = wallMillis.floorDiv(MILLIS_PER_MINUTE).mod(MINUTES_PER_DAY)
        return when {
            fromMinuteOfDay <= untilMinuteOfDay -> minute in fromMinuteOfDay until untilMinuteOfDay
            else -> minute >= fromMinuteOfDay || minute < untilMinuteOfDay
        }
    }

    private companion object {
        const val MILLIS_PER_MINUTE = 60_000L
        const val MINUTES_PER_DAY = 24 * 60
    }
}

/** What the operator wants of a wave. */
@Serializable
public enum class WaveCommand {
    /** Go on. */
    @SerialName("run")
    RUN,

    /** Take no further instance out; instances that are out are finished. */
    @SerialName("pause")
    PAUSE,

    /** Take no further instance out, and put those that still drain back. */
    @SerialName("cancel")
    CANCEL,
}

/** How much of a budget a wave leaves free for the loss of a rack or a zone. */
@Serializable
public enum class WaveReserve {
    /** As much as does not make the wave longer. */
    @SerialName("slack")
    SLACK,

    /** The loss of any one rack stays within the budget, where the budget is large enough. */
    @SerialName("rack")
    RACK,

    /** The loss of any one availability zone stays within the budget, where the budget is large enough. */
    @SerialName("zone")
    ZONE,
}

/**
 * A move of one instance that an operator asks for.
 *
 * @property id name of the move.
 * @property instanceId instance.
 * @property toPoolId pool that it joins, or null when it leaves the fleet.
 * @property cancelled whether the instance shall go back to where it came from.
 */
@Serializable
public data class InstanceMove(
    val id: String,
    val instanceId: String,
    val toPoolId: String?,
    val cancelled: Boolean = false,
)
