package org.verbenagauge.entry.fleet

import org.verbenagauge.entry.settings.FleetSettings
import org.verbenagauge.entry.state.control.ControlState
import org.verbenagauge.entry.state.control.FleetEdit
import org.verbenagauge.entry.state.control.InstanceStep
import org.verbenagauge.entry.state.control.PoolHistory
import org.verbenagauge.entry.state.control.StepPhase
import org.verbenagauge.entry.state.control.StepPurpose
import org.verbenagauge.entry.state.control.removalOf
import org.verbenagauge.entry.state.document.Configuration
import org.verbenagauge.entry.state.document.WaveCommand
import org.verbenagauge.entry.state.store.InstanceAction
import org.verbenagauge.entry.state.store.ListedInstance

/**
 * What is to be done next for one step.
 *
 * @property edit edit to propose, or null.
 * @property actions actions on the platform and the endpoint.
 * @property wait what the step waits for, or null when it goes on at once.
 */
internal data class StepDecision(
    val edit: FleetEdit.OfStep? = null,
    val actions: List<FleetAction> = emptyList(),
    val wait: StepWait? = null,
)

/**
 * Decides how a step goes on.
 *
 * An action is sent only in the phase that names it, and the phase is left only once this entry has seen
 * the action taken. Its operation id names the phase, so that a repetition by an entry that was paused has
 * no effect.
 */
internal class StepDriver(
    private val settings: FleetSettings,
    private val control: ControlState,
    private val sightings: Sightings,
    private val versionInForce: Long,
    private val nowMillis: Long,
) {
    private val configuration: Configuration = control.configuration

    /** Decides on [step] of [id], of which [memory] is known. */
    fun decide(
        id: String,
        step: InstanceStep,
        memory: StepMemory,
    ): StepDecision {
        noteInForce(step, memory)
        if (isRevoked(id, step)) return StepDecision(FleetEdit.Cancel(id, step.phaseVersion))
        if (!sightings.isCurrent(nowMillis, settings.maxListAgeMillis)) return StepDecision(wait = StepWait.PLATFORM)
        return when (step.phase) {
            StepPhase.DRAINING -> drain(id, step, memory)
            StepPhase.STOPPING -> stopWork(id, step, memory)
            StepPhase.REBOOTING -> reboot(id, step, memory)
            StepPhase.LOST -> lost(id, step, memory)
        }
    }

    private fun noteInForce(
        step: InstanceStep,
        memory: StepMemory,
    ) {
        if (versionInForce >= step.takenOutVersion && memory.inForceSinceMillis == null) {
            memory.inForceSinceMillis = nowMillis
        }
    }

    private fun isRevoked(
        id: String,
        step: InstanceStep,
    ): Boolean {
        if (step.phase == StepPhase.STOPPING) return false
        return when (val purpose = step.purpose) {
            is StepPurpose.Maintenance -> step.phase == StepPhase.DRAINING && isCancelledWave(purpose.waveId)
            is StepPurpose.Move -> mayTurnBack(step) && isCancelledMove(id, purpose.moveId)
            StepPurpose.Lend, StepPurpose.Return -> mayTurnBack(step) && !hasPool(step.toPoolId)
        }
    }

    private fun mayTurnBack(step: InstanceStep) = step.phase == StepPhase.DRAINING || step.toPoolId != step.fromPoolId

    private fun isCancelledWave(waveId: String): Boolean {
        val wave = configuration.waves.firstOrNull { it.id == waveId }
        return wave == null || wave.command == WaveCommand.CANCEL
    }

    private fun isCancelledMove(
        id: String,
        moveId: String,
    ): Boolean {
        val move = configuration.moves.firstOrNull { it.id == moveId }
        return move == null || move.cancelled || move.instanceId != id
    }

    private fun hasPool(poolId: String?) = configuration.pools.any { it.id == poolId }

    private fun drain(
        id: String,
        step: InstanceStep,
        memory: StepMemory,
    ): StepDecision {
        val inForceSinceMillis = memory.inForceSinceMillis ?: return StepDecision(wait = StepWait.IN_FORCE)
        val drainedMillis = nowMillis - inForceSinceMillis
        val listed = sightings.listed(id)
        val running = listed?.runningCount
        return when {
            drainedMillis < longestRunMillis(step, running) -> StepDecision(wait = StepWait.RUNNING_WORK)
            running == null || running == 0 -> StepDecision(rebootEdit(id, step, listed))
            drainedMillis < drainTimeoutMillis(step) || mayNotStop(step) ->
                StepDecision(wait = StepWait.REPORTED_WORK)
            else -> StepDecision(FleetEdit.StopWork(id, step.phaseVersion))
        }
    }

    // Work that began under an older document may run longer than the document now says.
    private fun longestRunMillis(
        step: InstanceStep,
        running: Int?,
    ): Long {
        val now = configuration.queues.filter { it.poolId == step.fromPoolId }.maxOfOrNull { it.maxRunMillis } ?: 0
        val ever = history(step).longestRunMillis
        return settings.drainMarginMillis + if (running == 0) now else maxOf(now, ever)
    }

    private fun mayNotStop(step: InstanceStep) = history(step).hadNonIdempotent

    private fun history(step: InstanceStep) = control.fleet.historyByPool[step.fromPoolId] ?: PoolHistory()

    private fun drainTimeoutMillis(step: InstanceStep): Long = waveOf(step)?.drainTimeoutMillis ?: 0

    private fun waveOf(step: InstanceStep) =
        (step.purpose as? StepPurpose.Maintenance)?.let { purpose ->
            configuration.waves.firstOrNull { it.id == purpose.waveId }
        }

    private fun rebootEdit(
        id: String,
        step: InstanceStep,
        listed: ListedInstance?,
    ) = FleetEdit.Reboot(id, step.phaseVersion, listed?.bootCount ?: 0)

    private fun stopWork(
        id: String,
        step: InstanceStep,
        memory: StepMemory,
    ): StepDecision {
        val acts = listOf(act(id, step, InstanceAction.CHECKPOINT), act(id, step, InstanceAction.STOP_TASKS))
        val next = acts.firstOrNull { it.operationId !in memory.appliedAtMillis }
        val listed = sightings.listed(id)
        return when {
            next != null -> StepDecision(actions = unasked(next, memory), wait = StepWait.PLATFORM)
            (listed?.runningCount ?: 0) > 0 -> StepDecision(wait = StepWait.REPORTED_WORK)
            else -> StepDecision(rebootEdit(id, step, listed))
        }
    }

    private fun reboot(
        id: String,
        step: InstanceStep,
        memory: StepMemory,
    ): StepDecision {
        val act = act(id, step, InstanceAction.REBOOT)
        val appliedAtMillis =
            memory.appliedAtMillis[act.operationId]
                ?: return StepDecision(actions = unasked(act, memory), wait = StepWait.PLATFORM)
        val waited = awaitHealth(id, step, memory, appliedAtMillis)
        val timeoutMillis = waveOf(step)?.rebootTimeoutMillis ?: DEFAULT_REBOOT_TIMEOUT_MILLIS
        val late = nowMillis - appliedAtMillis > timeoutMillis
        return if (waited.wait == StepWait.BOOT && late) lose(id, step) else waited
    }

    private fun lose(
        id: String,
        step: InstanceStep,
    ) = StepDecision(FleetEdit.Lose(id, step.phaseVersion))

    private fun lost(
        id: String,
        step: InstanceStep,
        memory: StepMemory,
    ): StepDecision {
        if (control.fleet.removalOf(id, configuration) != null) {
            return StepDecision(FleetEdit.Abandon(id, step.phaseVersion))
        }
        val waited = awaitHealth(id, step, memory, listedAfterMillis = 0)
        return if (waited.wait == StepWait.BOOT) waited.copy(wait = StepWait.LOST) else waited
    }

    private fun awaitHealth(
        id: String,
        step: InstanceStep,
        memory: StepMemory,
        listedAfterMillis: Long,
    ): StepDecision {
        val listed = sightings.listed(id)
        val isBack =
            listed != null &&
                sightings.isLive(id) &&
                listed.bootCount > step.bootCountBefore &&
                (sightings.askedAtMillis ?: 0) >= listedAfterMillis
        if (listed == null || !isBack) {
            memory.healthySinceMillis = null
            return StepDecision(wait = StepWait.BOOT)
        }
        val healthySinceMillis = memory.healthySinceMillis
        if (healthySinceMillis != null && nowMillis - healthySinceMillis >= settings.healthyMillis) {
            return StepDecision(FleetEdit.Finish(id, step.phaseVersion))
        }
        val probe = FleetAction.Probe(id, listed.host, listed.port)
        return StepDecision(actions = listOf(probe), wait = StepWait.HEALTH)
    }

    private fun act(
        id: String,
        step: InstanceStep,
        action: InstanceAction,
    ) = FleetAction.Act(id, action, "fleet-${step.phaseVersion}-$id-${action.name.lowercase()}")

    private fun unasked(
        act: FleetAction.Act,
        memory: StepMemory,
    ): List<FleetAction> = if (act.operationId in memory.askedOperationIds) emptyList() else listOf(act)

    private companion object {
        const val DEFAULT_REBOOT_TIMEOUT_MILLIS = 900_000L
    }
}
