package org.verbenagauge.entry.fleet

import org.verbenagauge.entry.state.control.ControlState
import org.verbenagauge.entry.state.control.FleetEdit
import org.verbenagauge.entry.state.control.PoolRoom
import org.verbenagauge.entry.state.control.StepPurpose
import org.verbenagauge.entry.state.document.InstanceMove

/** Decides which move of the document begins next. */
internal class MoveDirector(
    private val control: ControlState,
    private val rooms: Map<String, PoolRoom>,
    private val sightings: Sightings,
    private val nowWallMillis: Long,
) {
    private val fleet = control.fleet

    /** Moves that have not begun, in the order of the document. */
    val waiting: List<InstanceMove> =
        control.configuration.moves.filter { move ->
            !move.cancelled &&
                move.id !in fleet.finishedMoveIds &&
                move.instanceId !in fleet.stepByInstance &&
                fleet.poolIdByInstance[move.instanceId] != move.toPoolId
        }

    /** Returns the step of the first move that may begin, or null. */
    fun next(): FleetEdit.Begin? =
        waiting.firstOrNull(::mayBegin)?.let {
            FleetEdit.Begin(
                it.instanceId,
                StepPurpose.Move(it.id),
                sightings.place(it.instanceId),
                nowWallMillis = nowWallMillis,
                isDown = !sightings.isLive(it.instanceId),
            )
        }

    // An instance that is down is away already: taking it out for good costs no availability.
    private fun mayBegin(move: InstanceMove): Boolean {
        val room = rooms[fleet.poolIdByInstance[move.instanceId]] ?: return true
        val isDown = !sightings.isLive(move.instanceId)
        if (isDown) return move.toPoolId == null
        return room.free > 0 && room.domainsAllow(sightings.place(move.instanceId))
    }
}
