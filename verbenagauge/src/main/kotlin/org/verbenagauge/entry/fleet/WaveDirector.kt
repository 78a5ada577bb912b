package org.verbenagauge.entry.fleet

import org.verbenagauge.entry.settings.FleetSettings
import org.verbenagauge.entry.state.control.ControlState
import org.verbenagauge.entry.state.control.InstancePlace
import org.verbenagauge.entry.state.control.PoolRoom
import org.verbenagauge.entry.state.control.WaveHold
import org.verbenagauge.entry.state.control.poolRooms
import org.verbenagauge.entry.state.document.QueueClass
import org.verbenagauge.entry.state.document.WaveCommand

private const val MILLIS_PER_MINUTE = 60_000L
private const val MINUTES_PER_DAY = 24 * 60

/**
 * What a wave does now.
 *
 * @property situation instances of the wave.
 * @property waits what holds the whole wave back.
 * @property plan which instances to take out, and what holds back each pool.
 */
internal class WaveDecision(
    val situation: WaveSituation,
    val waits: List<WaveWait>,
    val plan: WavePlan,
) {
    /** Whether the wave may take instances out now. */
    val mayBegin: Boolean = waits.all { it == WaveWait.SLOWED }
}

/** Decides what each wave of the document does now. */
internal class WaveDirector(
    private val planner: WavePlanner,
    private val settings: FleetSettings,
    private val control: ControlState,
    private val sightings: Sightings,
    private val demand: DemandMemory,
    private val demandView: DemandView,
    private val nowMillis: Long,
    private val nowWallMillis: Long,
) {
    private val down: Map<String, InstancePlace> = sightings.down(control.fleet)
    private val configuration = control.configuration

    /** Room of each pool, planned and unplanned absence together. */
    val rooms: Map<String, PoolRoom> = control.poolRooms(down)

    private val serving by lazy {
        control.fleet.poolIdByInstance
            .filterKeys { it !in control.fleet.stepByInstance && it !in down }
            .map { (id, poolId) -> PlacedInstance(id, poolId, sightings.place(id)) }
    }

    /** Decisions on all waves; at most the first that takes an instance out is to be followed. */
    fun decide(): List<WaveDecision> = configuration.waves.map { decide(WaveSituation(it, control, down, sightings)) }

    private fun decide(situation: WaveSituation): WaveDecision {
        val limit = limitOf(situation)
        val waits = waitsOf(situation, limit)
        val input =
            WavePlanInput(
                wave = situation.wave,
                rooms = rooms,
                pending = situation.pending,
                away = situation.away,
                downByPool = situation.downByPool,
                serving = serving,
                limit = limit,
                poolWaits = poolWaitsOf(situation),
            )
        val plan = planner.plan(input)
        val decision = WaveDecision(situation, waits, planner.plan(input))
        return if (decision.mayBegin) decision else decision.withoutBegin()
    }

    private fun WaveDecision.withoutBegin(): WaveDecision {
        val poolWaits = plan.poolWaits + plan.begin.map { it.poolId to PoolWait.WAVE }
        return WaveDecision(situation, waits, WavePlan(emptyList(), poolWaits))
    }

    private fun waitsOf(
        situation: WaveSituation,
        limit: Int?,
    ): List<WaveWait> {
        if (situation.isFinished) return emptyList()
        val wave = situation.wave
        return listOfNotNull(
            WaveWait.PAUSED.takeIf { wave.command == WaveCommand.PAUSE },
            WaveWait.CANCELLED.takeIf { wave.command == WaveCommand.CANCEL },
            WaveWait.START_TIME.takeIf { nowWallMillis < wave.startAtWallMillis },
            WaveWait.MAINTENANCE_HOURS.takeIf { wave.hours?.contains(nowWallMillis) == false },
            holdWait(situation.record.hold),
            WaveWait.SLOWED.takeIf { situation.lost > 0 },
            WaveWait.MAX_AT_ONCE.takeIf { limit != null && situation.away.size >= limit },
            WaveWait.LIST_OUTDATED.takeIf { !sightings.isCurrent(nowMillis, settings.maxListAgeMillis) },
        )
    }

    private fun holdWait(hold: WaveHold?): WaveWait? =
        when (hold) {
            WaveHold.LOST_INSTANCES -> WaveWait.LOST_INSTANCES
            WaveHold.FAILURES_AFTER_MAINTENANCE -> WaveWait.FAILURES_AFTER_MAINTENANCE
            null -> null
        }

    // Each instance that has not come back halves what the wave may hold away.
    private fun limitOf(situation: WaveSituation): Int? {
        if (situation.lost == 0) return situation.wave.maxAtOnce
        val poolIds = (situation.pending + situation.away).mapTo(HashSet()) { it.poolId }
        val most = poolIds.sumOf { rooms[it]?.maxAway ?: 0 }
        val usual = minOf(most, situation.wave.maxAtOnce ?: most)
        return minOf(situation.wave.maxAtOnce ?: Int.MAX_VALUE, situation.lost + maxOf(1, usual shr situation.lost))
    }

    private fun poolWaitsOf(situation: WaveSituation): Map<String, PoolWait> {
        val poolIds = situation.pending.mapTo(LinkedHashSet()) { it.poolId }
        val finishBy = poolIds.filter { mustFinishFirst(it, situation) }
        val otherOrderExists = poolIds.any { it !in finishBy && !demand.isBusy(it) }
        val urgent =
            poolIds.filter {
                demand.isBusy(it) && (otherOrderExists || !demand.isPatienceOver(it, nowMillis))
            }
        return urgent.associateWith { PoolWait.URGENT_WORK } + finishBy.associateWith { PoolWait.FINISH_BY }
    }

    // An instance that is taken out now might not be back before the deferrable work must have finished.
    private fun mustFinishFirst(
        poolId: String,
        situation: WaveSituation,
    ): Boolean {
        val queues = configuration.queues.filter { it.poolId == poolId && it.queueClass == QueueClass.DEFERRABLE }
        if (queues.isEmpty() || demandView.demandOf(poolId).deferrableWaiting == 0) return false
        val stepMillis = queues.maxOf { it.maxRunMillis } + situation.wave.rebootTimeoutMillis
        return queues.mapNotNull { it.finishByMinuteOfDay }.any { millisUntil(it) <= stepMillis }
    }

    private fun millisUntil(minuteOfDay: Int): Long {
        val minuteNow = nowWallMillis.floorDiv(MILLIS_PER_MINUTE)
        return (minuteOfDay - minuteNow).mod(MINUTES_PER_DAY) * MILLIS_PER_MINUTE
    }
}
