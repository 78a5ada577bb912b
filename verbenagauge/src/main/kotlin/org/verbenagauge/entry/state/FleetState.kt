package org.verbenagauge.entry.state

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Where each instance belongs.
 *
 * @property poolIdByInstance pool of each instance; an instance that is missing belongs to none.
 */
@Serializable
public data class FleetState(
    val poolIdByInstance: Map<String, String> = emptyMap(),
)

/** Edit of the fleet. */
@Serializable
public sealed interface FleetEdit : Edit {
    /** Puts the instance into [poolId], or into none. */
    @Serializable
    @SerialName("assign-instance")
    public data class AssignInstance(
        val instanceId: String,
        val poolId: String?,
    ) : FleetEdit
}

/** Outcome of an edit of one part of the state. */
internal sealed interface PartOutcome<out T> {
    data class Edited<T>(
        val part: T,
    ) : PartOutcome<T>

    data class Rejected(
        val problems: List<String>,
    ) : PartOutcome<Nothing>
}

/** Applies [edit] under [configuration]. */
internal fun FleetState.edited(
    edit: FleetEdit,
    configuration: Configuration,
): PartOutcome<FleetState> =
    when (edit) {
        is FleetEdit.AssignInstance -> assign(edit, configuration)
    }

private fun FleetState.assign(
    edit: FleetEdit.AssignInstance,
    configuration: Configuration,
): PartOutcome<FleetState> {
    val poolId = edit.poolId ?: return PartOutcome.Edited(copy(poolIdByInstance = poolIdByInstance - edit.instanceId))
    if (configuration.pools.none { it.id == poolId }) {
        return PartOutcome.Rejected(listOf("pool '$poolId' of instance '${edit.instanceId}' does not exist"))
    }
    return PartOutcome.Edited(copy(poolIdByInstance = poolIdByInstance + (edit.instanceId to poolId)))
}
