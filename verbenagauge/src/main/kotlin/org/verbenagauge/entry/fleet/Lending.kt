package org.verbenagauge.entry.fleet

import org.verbenagauge.entry.state.control.ControlState
import org.verbenagauge.entry.state.control.FleetEdit
import org.verbenagauge.entry.state.control.PoolRoom
import org.verbenagauge.entry.state.control.StepPurpose

/**
 * Decides when a spare instance covers a pool. It pays only for a pool that has no room and will get none
 * by itself: its budget is zero, or it has been used up by instances that are down for longer than a reboot takes.
 */
internal class Lending(
    private val control: ControlState,
    private val rooms: Map<String, PoolRoom>,
    private val sightings: Sightings,
    private val blocked: BlockedPools,
    private val nowMillis: Long,
    private val nowWallMillis: Long,
) {
    private val fleet = control.fleet

    /** Returns the step that lends an instance to a pool of a running wave, or null. */
    fun lend(decisions: List<WaveDecision>): FleetEdit.Begin? {
        val poolIds = decisions.filter { it.mayBegin }.flatMap(::needy)
        val poolId = poolIds.firstOrNull() ?: return null
        val id = spareInstances().firstOrNull() ?: return null
        return FleetEdit.Begin(id, StepPurpose.Lend, sightings.place(id), poolId, nowWallMillis)
    }

    /** Returns the step that gives back an instance whose pool no running wave needs it for, or null. */
    fun giveBack(decisions: List<WaveDecision>): FleetEdit.Begin? {
        val needed =
            decisions
                .filter {
                    !it.situation.isFinished && WaveWait.CANCELLED !in it.waits
                }.flatMapTo(HashSet()) { poolsOf(it) }
        val id =
            fleet.homePoolIdByLent.keys.firstOrNull { id ->
                val poolId = fleet.poolIdByInstance[id]
                poolId !in needed && mayTake(id)
            } ?: return null
        return FleetEdit.Begin(id, StepPurpose.Return, sightings.place(id), nowWallMillis = nowWallMillis)
    }

    private fun poolsOf(decision: WaveDecision): Set<String> =
        (decision.situation.pending + decision.situation.away).mapTo(HashSet()) { it.poolId }

    private fun needy(decision: WaveDecision): List<String> =
        decision.situation.pending.map { it.poolId }.distinct().filter { poolId ->
            val room = rooms[poolId]
            room != null &&
                isBlocked(room) &&
                !isOnTheWay(poolId) &&
                (room.maxAway == 0 && room.lent == 0 || isBlockedLong(poolId, decision))
        }

    private fun isBlocked(room: PoolRoom) = room.free < 1 && room.planned == 0

    private fun isBlockedLong(
        poolId: String,
        decision: WaveDecision,
    ) = blocked.sinceMillis(poolId)?.let { nowMillis - it >= decision.situation.wave.rebootTimeoutMillis } ?: false

    private fun isOnTheWay(poolId: String) =
        fleet.stepByInstance.values.any {
            it.purpose == StepPurpose.Lend &&
                it.toPoolId == poolId
        }

    private fun spareInstances(): List<String> {
        val spareIds =
            control.configuration.pools
                .filter { it.spare }
                .mapTo(HashSet()) { it.id }
        return fleet.poolIdByInstance
            .filter { (id, poolId) -> poolId in spareIds && id !in fleet.homePoolIdByLent && mayTake(id) }
            .keys
            .sorted()
    }

    private fun mayTake(id: String): Boolean {
        val room = rooms[fleet.poolIdByInstance[id]] ?: return false
        return id !in fleet.stepByInstance &&
            sightings.isLive(id) &&
            room.free > 0 &&
            room.domainsAllow(sightings.place(id))
    }
}

/** Remembers since when pools have had no room. */
internal class BlockedPools {
    private val sinceMillisByPool = HashMap<String, Long>()

    /** Takes in the rooms of all pools. */
    fun note(
        rooms: Map<String, PoolRoom>,
        nowMillis: Long,
    ) {
        val blockedIds = rooms.filterValues { it.free < 1 && it.planned == 0 }.keys
        sinceMillisByPool.keys.retainAll(blockedIds)
        blockedIds.forEach { sinceMillisByPool.putIfAbsent(it, nowMillis) }
    }

    /** Returns since when [poolId] has had no room, or null when it has. */
    fun sinceMillis(poolId: String): Long? = sinceMillisByPool[poolId]
}
