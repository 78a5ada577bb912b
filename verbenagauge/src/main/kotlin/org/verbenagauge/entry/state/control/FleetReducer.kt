package org.verbenagauge.entry.state.control

import org.verbenagauge.entry.state.document.Configuration
import org.verbenagauge.entry.state.document.InstanceMove
import org.verbenagauge.entry.state.document.Queue

/** Applies [edit] under [configuration] as the change that makes [version]. */
internal fun FleetState.edited(
    edit: FleetEdit,
    configuration: Configuration,
    version: Long,
): PartOutcome<FleetState> {
    val problem = problemOf(edit, configuration)
    if (problem != null) return PartOutcome.Rejected(listOf(problem))
    return PartOutcome.Edited(after(edit, configuration, version))
}

/** Adds what [configuration] allows to the history of each pool; drops pools that are gone. */
internal fun FleetState.withHistory(configuration: Configuration): FleetState {
    val queuesByPool = configuration.queues.groupBy { it.poolId }
    val poolIds = (configuration.pools.map { it.id } + poolIdByInstance.values).distinct()
    return copy(historyByPool = poolIds.associateWith { historyOf(it).with(queuesByPool[it].orEmpty()) })
}

private fun FleetState.historyOf(poolId: String) = historyByPool[poolId] ?: PoolHistory()

private fun PoolHistory.with(queues: List<Queue>) =
    PoolHistory(
        longestRunMillis = maxOf(longestRunMillis, queues.maxOfOrNull { it.maxRunMillis } ?: 0),
        hadNonIdempotent = hadNonIdempotent || queues.any { !it.idempotent },
    )

private fun FleetState.problemOf(
    edit: FleetEdit,
    configuration: Configuration,
): String? =
    when (edit) {
        is FleetEdit.AssignInstance -> assignProblem(edit, configuration)
        is FleetEdit.Begin -> beginProblem(edit, configuration)
        is FleetEdit.OfStep -> stepProblem(edit, configuration)
        is FleetEdit.Hold ->
            "wave '${edit.waveId}' does not exist".takeIf { configuration.waves.none { it.id == edit.waveId } }
        is FleetEdit.Forget -> forgetProblem(edit, configuration)
    }

private fun FleetState.assignProblem(
    edit: FleetEdit.AssignInstance,
    configuration: Configuration,
): String? {
    val id = edit.instanceId
    return when {
        configuration.pools.none { it.id == edit.poolId } -> "pool '${edit.poolId}' of instance '$id' does not exist"
        id in stepByInstance -> "instance '$id' is out of placement; wait until its step has ended"
        id in poolIdByInstance ->
            "instance '$id' belongs to pool '${poolIdByInstance[id]}'; add a move to the document to change that"
        else -> null
    }
}

private fun FleetState.stepProblem(
    edit: FleetEdit.OfStep,
    configuration: Configuration,
): String? {
    val id = edit.instanceId
    val step = stepByInstance[id] ?: return "instance '$id' has no step"
    if (step.phaseVersion != edit.phaseVersion) {
        return "step of instance '$id' has token ${step.phaseVersion}, not ${edit.phaseVersion}"
    }
    if (!mayFollow(edit, step)) return "step of instance '$id' is ${step.phase}, which does not allow this edit"
    if (edit is FleetEdit.Abandon) return abandonProblem(id, configuration)
    val joinsUnknown =
        edit is FleetEdit.Finish && step.toPoolId != step.fromPoolId && !configuration.hasPool(step.toPoolId)
    return "pool '${step.toPoolId}' of instance '$id' does not exist; cancel its step".takeIf { joinsUnknown }
}

private fun Configuration.hasPool(poolId: String?) = pools.any { it.id == poolId }

private fun FleetState.abandonProblem(
    id: String,
    configuration: Configuration,
): String? =
    "no move of the document takes instance '$id' out of the fleet".takeIf { removalOf(id, configuration) == null }

/** Returns the move of [configuration] that takes [instanceId] out of the fleet and has not ended, or null. */
internal fun FleetState.removalOf(
    instanceId: String,
    configuration: Configuration,
): InstanceMove? =
    configuration.moves.firstOrNull {
        it.instanceId == instanceId && it.toPoolId == null && !it.cancelled && it.id !in finishedMoveIds
    }

private fun mayFollow(
    edit: FleetEdit.OfStep,
    step: InstanceStep,
): Boolean =
    when (edit) {
        is FleetEdit.StopWork -> step.phase == StepPhase.DRAINING
        is FleetEdit.Reboot -> step.phase == StepPhase.DRAINING || step.phase == StepPhase.STOPPING
        is FleetEdit.Lose -> step.phase == StepPhase.REBOOTING
        is FleetEdit.Finish -> step.phase == StepPhase.REBOOTING || step.phase == StepPhase.LOST
        is FleetEdit.Abandon -> step.phase == StepPhase.LOST
        is FleetEdit.Cancel ->
            step.phase == StepPhase.DRAINING ||
                (step.phase != StepPhase.STOPPING && step.purpose !is StepPurpose.Maintenance)
    }

private fun FleetState.forgetProblem(
    edit: FleetEdit.Forget,
    configuration: Configuration,
): String? {
    val waveId = configuration.waves.firstOrNull { it.id in edit.waveIds }?.id
    val moveId = configuration.moves.firstOrNull { it.id in edit.moveIds }?.id
    return when {
        waveId != null -> "wave '$waveId' still stands in the document"
        moveId != null -> "move '$moveId' still stands in the document"
        else -> null
    }
}

private fun FleetState.after(
    edit: FleetEdit,
    configuration: Configuration,
    version: Long,
): FleetState =
    when (edit) {
        is FleetEdit.AssignInstance -> copy(poolIdByInstance = poolIdByInstance + (edit.instanceId to edit.poolId))
        is FleetEdit.Begin -> begun(edit, configuration, version)
        is FleetEdit.StopWork -> withStep(edit) { it.copy(phase = StepPhase.STOPPING, phaseVersion = version) }
        is FleetEdit.Reboot -> rebooting(edit, version)
        is FleetEdit.Lose -> withStep(edit) { it.copy(phase = StepPhase.LOST, phaseVersion = version) }
        is FleetEdit.Finish -> finished(edit.instanceId, configuration)
        is FleetEdit.Abandon -> abandoned(edit.instanceId, configuration)
        is FleetEdit.Cancel -> cancelled(edit)
        is FleetEdit.Hold ->
            copy(waves = waves + (edit.waveId to (waves[edit.waveId] ?: WaveRecord()).copy(hold = edit.hold)))
        is FleetEdit.Forget ->
            copy(waves = waves - edit.waveIds, finishedMoveIds = finishedMoveIds - edit.moveIds)
    }

private fun FleetState.begun(
    edit: FleetEdit.Begin,
    configuration: Configuration,
    version: Long,
): FleetState {
    val toPoolId = destination(edit, configuration)
    val fromPoolId = poolIdByInstance[edit.instanceId]
    if (fromPoolId == null) return joinedAtOnce(edit, toPoolId)
    val step =
        InstanceStep(
            purpose = edit.purpose,
            phase = StepPhase.DRAINING,
            place = edit.place,
            fromPoolId = fromPoolId,
            toPoolId = toPoolId,
            takenOutVersion = version,
            phaseVersion = version,
            startedAtWallMillis = edit.nowWallMillis,
        )
    return copy(stepByInstance = stepByInstance + (edit.instanceId to step))
}

// An instance that belongs to no pool has nothing to drain.
private fun FleetState.joinedAtOnce(
    edit: FleetEdit.Begin,
    toPoolId: String?,
): FleetState =
    withFinishedMove(edit.purpose).copy(
        poolIdByInstance = if (toPoolId == null) poolIdByInstance else poolIdByInstance + (edit.instanceId to toPoolId),
    )

private fun FleetState.withStep(
    edit: FleetEdit.OfStep,
    change: (InstanceStep) -> InstanceStep,
): FleetState =
    copy(stepByInstance = stepByInstance + (edit.instanceId to change(stepByInstance.getValue(edit.instanceId))))

private fun FleetState.rebooting(
    edit: FleetEdit.Reboot,
    version: Long,
): FleetState {
    val id = edit.instanceId
    val step = stepByInstance.getValue(id)
    if (step.purpose is StepPurpose.Maintenance) return withStep(edit) { it.rebooting(edit, version) }
    val left = copy(poolIdByInstance = poolIdByInstance - id)
    if (step.toPoolId != null) return left.withStep(edit) { it.rebooting(edit, version) }
    return left
        .copy(stepByInstance = stepByInstance - id, homePoolIdByLent = homePoolIdByLent - id)
        .withFinishedMove(step.purpose)
}

private fun InstanceStep.rebooting(
    edit: FleetEdit.Reboot,
    version: Long,
) = copy(phase = StepPhase.REBOOTING, phaseVersion = version, bootCountBefore = edit.bootCountBefore)

private fun FleetState.finished(
    id: String,
    configuration: Configuration,
): FleetState {
    val step = stepByInstance.getValue(id)
    val purpose = step.purpose
    val ended = copy(stepByInstance = stepByInstance - id)
    if (purpose is StepPurpose.Maintenance) return ended.withMaintained(purpose.waveId, id)
    if (!configuration.hasPool(step.toPoolId)) return ended.withFinishedMove(purpose)
    val joined = ended.copy(poolIdByInstance = poolIdByInstance + (id to checkNotNull(step.toPoolId)))
    return joined.copy(homePoolIdByLent = homesAfterJoin(id, step)).withFinishedMove(purpose)
}

private fun FleetState.abandoned(
    id: String,
    configuration: Configuration,
): FleetState {
    val moveId = checkNotNull(removalOf(id, configuration)).id
    return copy(
        poolIdByInstance = poolIdByInstance - id,
        stepByInstance = stepByInstance - id,
        homePoolIdByLent = homePoolIdByLent - id,
        finishedMoveIds = finishedMoveIds + moveId,
    )
}

private fun FleetState.homesAfterJoin(
    id: String,
    step: InstanceStep,
): Map<String, String> {
    val wentBack = step.toPoolId == step.fromPoolId
    return when (step.purpose) {
        StepPurpose.Lend -> if (wentBack) homePoolIdByLent else homePoolIdByLent + (id to step.fromPoolId)
        StepPurpose.Return, is StepPurpose.Move -> if (wentBack) homePoolIdByLent else homePoolIdByLent - id
        is StepPurpose.Maintenance -> homePoolIdByLent
    }
}

private fun FleetState.withMaintained(
    waveId: String,
    id: String,
): FleetState {
    val record = waves[waveId] ?: WaveRecord()
    return copy(waves = waves + (waveId to record.copy(finishedIds = record.finishedIds + id)))
}

private fun FleetState.withFinishedMove(purpose: StepPurpose): FleetState =
    if (purpose is StepPurpose.Move) copy(finishedMoveIds = finishedMoveIds + purpose.moveId) else this

// The token stays, so that a cancelled move keeps the operation id of its reboot.
private fun FleetState.cancelled(edit: FleetEdit.Cancel): FleetState {
    val step = stepByInstance.getValue(edit.instanceId)
    return when (step.phase) {
        StepPhase.DRAINING -> copy(stepByInstance = stepByInstance - edit.instanceId).withFinishedMove(step.purpose)
        else -> withStep(edit) { it.copy(toPoolId = it.fromPoolId) }
    }
}
