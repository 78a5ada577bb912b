package org.verbenagauge.entry.state

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

/** Raises the longest run of each pool to what [configuration] allows; drops pools that are gone. */
internal fun FleetState.withLongestRuns(configuration: Configuration): FleetState {
    val allowed =
        configuration.queues.groupBy { it.poolId }.mapValues { (_, queues) ->
            queues.maxOf { it.maxRunMillis }
        }
    val poolIds = configuration.pools.map { it.id } + poolIdByInstance.values
    return copy(
        longestRunMillisByPool =
            poolIds.distinct().associateWith { maxOf(longestRunMillisByPool[it] ?: 0, allowed[it] ?: 0) },
    )
}

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
    val joinsUnknown =
        edit is FleetEdit.Finish && id !in poolIdByInstance && configuration.pools.none { it.id == step.toPoolId }
    return "pool '${step.toPoolId}' of instance '$id' does not exist; cancel its step".takeIf { joinsUnknown }
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
        is FleetEdit.Finish -> finished(edit.instanceId)
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

private fun FleetState.finished(id: String): FleetState {
    val step = stepByInstance.getValue(id)
    val purpose = step.purpose
    val ended = copy(stepByInstance = stepByInstance - id)
    if (purpose is StepPurpose.Maintenance) return ended.withMaintained(purpose.waveId, id)
    val joined = ended.copy(poolIdByInstance = poolIdByInstance + (id to checkNotNull(step.toPoolId)))
    return joined.copy(homePoolIdByLent = homesAfterJoin(id, step)).withFinishedMove(purpose)
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
