package org.verbenagauge.standin.fleet

import org.verbenagauge.entry.state.control.ControlState
import org.verbenagauge.entry.state.control.FleetEdit
import org.verbenagauge.entry.state.control.StepPhase
import org.verbenagauge.entry.state.control.StepPurpose
import org.verbenagauge.entry.state.store.InstancePhase
import org.verbenagauge.entry.state.store.ListedInstance

private const val LAST_EDITS = 8

/** Checks the rules of waves and moves by plain counting, without the code that it checks. */
internal class FleetOracle : FleetObserver {
    lateinit var fleet: VirtualFleet
    val violations = ArrayList<String>()
    val lastEdits = ArrayDeque<FleetEdit>()
    private val rebootedSteps = HashSet<String>()
    private val reboots = HashMap<MaintainedInstance, Int>()

    override fun stored(
        before: ControlState,
        edit: FleetEdit,
        listed: List<ListedInstance>,
    ) {
        lastEdits.addLast(edit)
        if (lastEdits.size > LAST_EDITS) lastEdits.removeFirst()
        if (edit is FleetEdit.Begin) checkBudget(before, edit, listed)
    }

    override fun rejected(
        before: ControlState,
        edit: FleetEdit,
    ) = violate("rejected: $edit on ${before.fleet} ${before.configuration}")

    // Planned absence with what the driver knew to be down stays within the budget of the pool, rack and zone.
    private fun checkBudget(
        before: ControlState,
        edit: FleetEdit.Begin,
        listed: List<ListedInstance>,
    ) {
        val poolId = before.fleet.poolIdByInstance[edit.instanceId] ?: return
        val budget =
            before.configuration.pools
                .firstOrNull { it.id == poolId }
                ?.budget ?: return
        val live = listed.filter { it.phase == InstancePhase.LIVE }.map { it.id }
        val members =
            before.fleet.poolIdByInstance
                .filterValues { it == poolId }
                .keys
        val lent = members.count { it in before.fleet.homePoolIdByLent }
        val down = members.filter { it !in before.fleet.stepByInstance && it !in live }
        // An instance that is down may be taken out of the fleet for good: that costs no availability.
        if (edit.instanceId in down) return checkRemoval(before, edit)
        val away = members.filter { it in before.fleet.stepByInstance || it in down } + edit.instanceId
        val most = (budget.maxAwayPercent?.let { (members.size - lent) * it / 100 } ?: budget.maxAway) + lent
        val place =
            fleet.platform.instances
                .getValue(edit.instanceId)
                .place
        val places =
            away.map {
                fleet.platform.instances
                    .getValue(it)
                    .place
            }
        val inRack = places.count { it.rackId == place.rackId }
        val inZone = places.count { it.zoneId == place.zoneId }
        if (away.size > most) violate("budget: pool '$poolId' has ${away.size} away, may have $most, at $edit")
        if (inRack > (budget.maxAwayPerRack ?: inRack)) violate("rack budget: $inRack in '$place' at $edit")
        if (inZone > (budget.maxAwayPerZone ?: inZone)) violate("zone budget: $inZone in '$place' at $edit")
    }

    private fun checkRemoval(
        before: ControlState,
        edit: FleetEdit.Begin,
    ) {
        val moveId = (edit.purpose as? StepPurpose.Move)?.moveId
        val move = before.configuration.moves.firstOrNull { it.id == moveId }
        if (move == null || move.toPoolId != null) violate("down instance taken out of placement: $edit")
    }

    override fun rebooting(
        instance: VirtualInstance,
        state: ControlState,
        nowMillis: Long,
    ) {
        val id = instance.id
        if (fleet.placers(id).isNotEmpty()) violate("reboot: an entry may still place work on '$id'")
        if (instance.runningCount > 0) violate("cut short: ${instance.runningCount} jobs run on '$id' at its reboot")
        val step = state.fleet.stepByInstance[id]
        if (step?.phase != StepPhase.REBOOTING) violate("stray reboot of '$id' in step $step")
        if (step != null &&
            !rebootedSteps.add("$id of version ${step.takenOutVersion}")
        ) {
            violate("once: '$id' again in $step")
        }
        val purpose = step?.purpose
        if (purpose is StepPurpose.Maintenance) reboots.merge(MaintainedInstance(purpose.waveId, id), 1, Int::plus)
    }

    /** Checks that no two entries see an instance in different pools while both may place work on it. */
    fun checkPools(nowMillis: Long) {
        fleet.platform.instances.keys.forEach { id ->
            val pools = fleet.placers(id).mapNotNullTo(HashSet()) { it.view.fleet.poolIdByInstance[id] }
            if (pools.size > 1) violate("one pool: entries place work on '$id' as one of $pools at $nowMillis ms")
        }
    }

    /** Checks that each instance that counts as maintained was rebooted exactly once by its wave. */
    fun checkOnce() {
        fleet.platform.state.fleet.waves.forEach { (waveId, record) ->
            record.finishedIds.forEach { id ->
                val count = reboots[MaintainedInstance(waveId, id)] ?: 0
                if (count != 1) violate("once: wave '$waveId' rebooted '$id' $count times")
            }
        }
    }

    fun violate(text: String) {
        violations += text
    }

    private data class MaintainedInstance(
        val waveId: String,
        val instanceId: String,
    )
}
