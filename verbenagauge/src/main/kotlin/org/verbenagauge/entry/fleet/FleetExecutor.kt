package org.verbenagauge.entry.fleet

import org.verbenagauge.entry.settings.FleetSettings
import org.verbenagauge.entry.state.control.ControlState
import org.verbenagauge.entry.state.control.FleetEdit
import org.verbenagauge.entry.state.control.PoolRoom
import org.verbenagauge.entry.state.control.StepPhase
import org.verbenagauge.entry.state.control.StepPurpose
import org.verbenagauge.entry.state.control.WaveHold
import org.verbenagauge.entry.state.document.Configuration
import org.verbenagauge.entry.state.store.ListedInstance

private const val REPLAN_MILLIS = 5_000L

/**
 * Drives waves, moves and their steps. A pure decision: it does no I/O and knows no clock, and its caller
 * makes sure that one event is handled at a time.
 *
 * Any number of entries may drive at once: every edit is proposed on the version that it was decided on, so
 * that of two entries that decide on the same version one finds a conflict and decides anew.
 */
public class FleetExecutor(
    private val settings: FleetSettings,
    private val planner: WavePlanner = BudgetPlanner,
    private val demandView: DemandView = DemandView { PoolDemand() },
) {
    private val sightings = Sightings()
    private val memories = StepMemories()
    private val demand = DemandMemory(settings)
    private val blocked = BlockedPools()
    private val clearSinceMillis = HashMap<String, Long>()
    private val takeover = Takeover(settings.takeoverMillis)
    private var control = ControlState()
    private var versionInForce = 0L
    private var listed = emptyList<ListedInstance>()
    private var planAgainAtMillis = 0L

    /** Takes in the shared state; an older one is ignored. */
    public fun update(state: ControlState) {
        if (state.version > control.version) {
            control = state
            planAgainAtMillis = 0
        }
    }

    /** Takes in the platform's list, which was asked for at [askedAtMillis]. */
    public fun listed(
        instances: List<ListedInstance>,
        askedAtMillis: Long,
    ) {
        sightings.update(instances, askedAtMillis)
        if (instances != listed) planAgainAtMillis = 0
        listed = instances
    }

    /** Takes in that every entry that may still place work has [version] or a later one. */
    public fun inForce(version: Long) {
        versionInForce = maxOf(versionInForce, version)
    }

    /** Takes in whether the platform took the action [operationId] on [instanceId]. */
    public fun acted(
        instanceId: String,
        operationId: String,
        isApplied: Boolean,
        nowMillis: Long,
    ) {
        val memory = memories.known(instanceId) ?: return
        memory.askedOperationIds -= operationId
        if (isApplied) memory.appliedAtMillis.putIfAbsent(operationId, nowMillis)
    }

    /** Takes in the answer of the endpoint of [instanceId] to a question for its health. */
    public fun probed(
        instanceId: String,
        isHealthy: Boolean,
        nowMillis: Long,
    ) {
        val memory = memories.known(instanceId) ?: return
        when {
            !isHealthy -> memory.healthySinceMillis = null
            memory.healthySinceMillis == null -> memory.healthySinceMillis = nowMillis
        }
    }

    /**
     * Returns what to do now: at most one edit, and actions on the platform and on endpoints.
     *
     * @param rank position of this entry among those that may drive, 0 for the first.
     */
    public fun tick(
        nowMillis: Long,
        nowWallMillis: Long,
        rank: Int,
    ): List<FleetAction> {
        val round = Round(nowMillis, nowWallMillis)
        memories.retain(control.fleet)
        control.configuration.pools.forEach { noteDemand(it.id, nowMillis) }
        val edit = round.stepEdit() ?: planEdit(round, nowMillis)
        val propose = edit?.let { FleetAction.Propose(control.version, it) }
        val actions = listOfNotNull(propose) + round.stepActions()
        if (!takeover.mayAct(control.version, actions, rank, nowMillis)) return emptyList()
        actions.filterIsInstance<FleetAction.Act>().forEach { noteAsked(it) }
        return actions
    }

    /** Returns what operators read. */
    public fun progress(
        nowMillis: Long,
        nowWallMillis: Long,
    ): FleetProgress {
        val round = Round(nowMillis, nowWallMillis)
        return progressReport(control, round.rooms, round.decisions, round.waitingMoves, round.waits, nowWallMillis)
    }

    // What was planned stays true until the state or the list changes; only the passing of time is looked at now and then.
    private fun planEdit(
        round: Round,
        nowMillis: Long,
    ): FleetEdit? {
        if (nowMillis < planAgainAtMillis) return null
        blocked.note(round.rooms, nowMillis)
        val edit = round.planEdit()
        if (edit == null) planAgainAtMillis = nowMillis + REPLAN_MILLIS
        return edit
    }

    private fun noteAsked(act: FleetAction.Act) {
        memories.known(act.instanceId)?.askedOperationIds?.add(act.operationId)
    }

    private fun noteDemand(
        poolId: String,
        nowMillis: Long,
    ) = demand.note(poolId, demandView.demandOf(poolId).urgentWaiting > 0, nowMillis)

    /** All decisions on one version at one time. */
    private inner class Round(
        private val nowMillis: Long,
        nowWallMillis: Long,
    ) {
        private val configuration: Configuration = control.configuration
        private val fleet = control.fleet
        private val director by lazy {
            WaveDirector(planner, settings, control, sightings, demand, demandView, nowMillis, nowWallMillis)
        }
        val rooms: Map<String, PoolRoom> get() = director.rooms
        private val moves by lazy { MoveDirector(control, rooms, sightings, nowWallMillis) }
        private val lending by lazy { Lending(control, rooms, sightings, blocked, nowMillis, nowWallMillis) }
        private val steps = decideSteps()
        private val nowWall = nowWallMillis
        val decisions: List<WaveDecision> by lazy { director.decide() }
        val waitingMoves get() = moves.waiting
        val waits: Map<String, StepWait> = steps.mapNotNull { (id, step) -> step.wait?.let { id to it } }.toMap()

        fun stepActions(): List<FleetAction> = steps.values.flatMap { it.actions }

        fun stepEdit(): FleetEdit? = steps.values.firstNotNullOfOrNull { it.edit }

        fun planEdit(): FleetEdit? =
            putBack()
                ?: decisions.firstNotNullOfOrNull(::holdEdit)
                ?: if (isListCurrent()) beginEdit() else forgetEdit()

        private fun beginEdit(): FleetEdit? =
            lending.giveBack(decisions)
                ?: moves.next()
                ?: decisions.firstNotNullOfOrNull(::maintenanceEdit)
                ?: lending.lend(decisions)
                ?: forgetEdit()

        private fun isListCurrent() = sightings.isCurrent(nowMillis, settings.maxListAgeMillis)

        private fun decideSteps(): Map<String, StepDecision> {
            val driver = StepDriver(settings, control, sightings, versionInForce, nowMillis)
            return fleet.stepByInstance.mapValues { (id, step) -> driver.decide(id, step, memories.of(id, step)) }
        }

        // A loss that came after an instance was taken out: the one that drains and was taken last goes back.
        private fun putBack(): FleetEdit? {
            if (!isListCurrent()) return null
            val draining = fleet.stepByInstance.filterValues { it.phase == StepPhase.DRAINING }
            val last = draining.filterKeys(::isOverBudget).maxByOrNull { it.value.takenOutVersion } ?: return null
            return FleetEdit.Cancel(last.key, last.value.phaseVersion)
        }

        private fun isOverBudget(id: String): Boolean {
            val room = rooms[fleet.poolIdByInstance[id]] ?: return false
            return room.free < 0 && sightings.isLive(id)
        }

        private fun maintenanceEdit(decision: WaveDecision): FleetEdit? =
            decision.plan.begin.firstOrNull()?.let {
                FleetEdit.Begin(
                    it.instanceId,
                    StepPurpose.Maintenance(decision.situation.wave.id),
                    it.place,
                    nowWallMillis = nowWall,
                )
            }

        private fun holdEdit(decision: WaveDecision): FleetEdit? {
            val situation = decision.situation
            val evidence = evidenceOf(situation)
            val held = situation.record.hold
            val waveId = situation.wave.id
            if (evidence != null) clearSinceMillis -= waveId
            return when {
                evidence == held || !isListCurrent() -> null
                evidence != null -> FleetEdit.Hold(waveId, evidence)
                nowMillis - clearSinceMillis.getOrPut(waveId) { nowMillis } < settings.resumeMillis -> null
                else -> FleetEdit.Hold(waveId, null)
            }
        }

        private fun evidenceOf(situation: WaveSituation): WaveHold? =
            when {
                situation.lost > situation.tolerated -> WaveHold.LOST_INSTANCES
                situation.isHarmful -> WaveHold.FAILURES_AFTER_MAINTENANCE
                else -> null
            }

        private fun forgetEdit(): FleetEdit? {
            val busy = fleet.stepByInstance.values.mapTo(HashSet()) { it.purpose }
            val waveIds = fleet.waves.keys - configuration.waves.map { it.id }.toSet()
            val ended = waveIds.filterTo(HashSet()) { StepPurpose.Maintenance(it) !in busy }
            val moveIds = fleet.finishedMoveIds - configuration.moves.map { it.id }.toSet()
            return if (ended.isEmpty() && moveIds.isEmpty()) null else FleetEdit.Forget(ended, moveIds)
        }
    }
}
