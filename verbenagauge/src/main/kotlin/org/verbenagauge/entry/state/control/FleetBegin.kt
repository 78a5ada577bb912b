package org.verbenagauge.entry.state.control

import org.verbenagauge.entry.state.document.Configuration
import org.verbenagauge.entry.state.document.Wave
import org.verbenagauge.entry.state.document.WaveCommand

/** Returns the pool that the instance of [edit] joins at the end, or null when it leaves the fleet. */
internal fun FleetState.destination(
    edit: FleetEdit.Begin,
    configuration: Configuration,
): String? =
    when (val purpose = edit.purpose) {
        is StepPurpose.Maintenance -> poolIdByInstance[edit.instanceId]
        is StepPurpose.Move -> configuration.moves.firstOrNull { it.id == purpose.moveId }?.toPoolId
        StepPurpose.Lend -> edit.toPoolId
        StepPurpose.Return -> homePoolIdByLent[edit.instanceId]
    }

/** Returns why [edit] may not take its instance out of placement, or null. */
internal fun FleetState.beginProblem(
    edit: FleetEdit.Begin,
    configuration: Configuration,
): String? {
    if (edit.instanceId in stepByInstance) return "instance '${edit.instanceId}' is out of placement already"
    return purposeProblem(edit, configuration) ?: budgetProblem(edit, configuration)
}

private fun FleetState.purposeProblem(
    edit: FleetEdit.Begin,
    configuration: Configuration,
): String? =
    when (val purpose = edit.purpose) {
        is StepPurpose.Maintenance -> maintenanceProblem(edit.instanceId, purpose.waveId, configuration)
        is StepPurpose.Move -> moveProblem(edit.instanceId, purpose.moveId, configuration)
        StepPurpose.Lend -> lendProblem(edit, configuration)
        StepPurpose.Return -> returnProblem(edit.instanceId, configuration)
    }

private fun FleetState.maintenanceProblem(
    id: String,
    waveId: String,
    configuration: Configuration,
): String? {
    val wave = configuration.waves.firstOrNull { it.id == waveId } ?: return "wave '$waveId' does not exist"
    val record = waves[waveId] ?: WaveRecord()
    val away = stepByInstance.values.count { it.purpose == StepPurpose.Maintenance(waveId) }
    return when {
        wave.command != WaveCommand.RUN -> "wave '$waveId' does not run"
        record.hold != null -> "wave '$waveId' is held: ${record.hold}"
        id in record.finishedIds -> "instance '$id' was maintained in wave '$waveId'"
        !takesPart(id, wave) -> "instance '$id' takes no part in wave '$waveId'"
        wave.maxAtOnce != null && away >= wave.maxAtOnce -> "wave '$waveId' holds $away instances away, its most"
        else -> null
    }
}

/** Whether [id] takes part in [wave]. */
internal fun FleetState.takesPart(
    id: String,
    wave: Wave,
): Boolean {
    val poolId = homePoolId(id) ?: return false
    return (wave.poolIds.isEmpty() || poolId in wave.poolIds) &&
        (wave.instanceIds.isEmpty() || id in wave.instanceIds)
}

private fun FleetState.moveProblem(
    id: String,
    moveId: String,
    configuration: Configuration,
): String? {
    val move = configuration.moves.firstOrNull { it.id == moveId } ?: return "move '$moveId' does not exist"
    return when {
        move.instanceId != id -> "move '$moveId' is one of instance '${move.instanceId}', not '$id'"
        move.cancelled -> "move '$moveId' is cancelled"
        moveId in finishedMoveIds -> "move '$moveId' has ended"
        poolIdByInstance[id] == move.toPoolId -> "instance '$id' belongs to pool '${move.toPoolId}' already"
        else -> null
    }
}

private fun FleetState.lendProblem(
    edit: FleetEdit.Begin,
    configuration: Configuration,
): String? {
    val id = edit.instanceId
    val from = configuration.pools.firstOrNull { it.id == poolIdByInstance[id] }
    val to = configuration.pools.firstOrNull { it.id == edit.toPoolId }
    return when {
        from == null || !from.spare -> "instance '$id' does not belong to a spare pool"
        to == null -> "pool '${edit.toPoolId}' does not exist"
        to.spare -> "pool '${to.id}' is a spare pool itself"
        id in homePoolIdByLent -> "instance '$id' is lent already"
        else -> null
    }
}

private fun FleetState.returnProblem(
    id: String,
    configuration: Configuration,
): String? {
    val home = homePoolIdByLent[id] ?: return "instance '$id' is not lent"
    return "pool '$home' of instance '$id' does not exist".takeIf { configuration.pools.none { it.id == home } }
}

private fun FleetState.budgetProblem(
    edit: FleetEdit.Begin,
    configuration: Configuration,
): String? {
    if (edit.isDown && destination(edit, configuration) == null) return null
    val pool = configuration.pools.firstOrNull { it.id == poolIdByInstance[edit.instanceId] } ?: return null
    val room = poolRooms(this, configuration, down = emptyMap()).getValue(pool.id)
    return when {
        room.free < 1 -> "pool '${pool.id}' has ${room.planned} instances away, its most"
        !room.domainsAllow(edit.place) ->
            "pool '${pool.id}' has the most of rack '${edit.place.rackId}' or zone '${edit.place.zoneId}' away"
        else -> null
    }
}
