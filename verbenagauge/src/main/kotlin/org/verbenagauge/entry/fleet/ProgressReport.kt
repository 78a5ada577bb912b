package org.verbenagauge.entry.fleet

import org.verbenagauge.entry.state.control.ControlState
import org.verbenagauge.entry.state.control.PoolRoom
import org.verbenagauge.entry.state.document.InstanceMove
import org.verbenagauge.entry.state.document.MaintenanceHours
import org.verbenagauge.entry.state.document.WaveCommand

private const val EXPECTED_STEP_MILLIS = 360_000L
private const val MILLIS_PER_MINUTE = 60_000L
private const val MINUTES_PER_DAY = 24 * 60
private const val NEXT_SHOWN = 10

/** Returns what operators read of waves, moves and pools. */
internal fun progressReport(
    control: ControlState,
    rooms: Map<String, PoolRoom>,
    decisions: List<WaveDecision>,
    waitingMoves: List<InstanceMove>,
    stepWaits: Map<String, StepWait>,
    nowWallMillis: Long,
): FleetProgress =
    FleetProgress(
        version = control.version,
        waves = decisions.map { waveProgress(it, rooms, nowWallMillis) },
        away = awayInstances(control, stepWaits),
        pools =
            rooms.values.map {
                PoolAvailability(
                    it.poolId,
                    it.size,
                    it.lent,
                    it.planned,
                    it.unplanned,
                    it.maxAway,
                )
            },
        waitingMoveIds = waitingMoves.map { it.id },
    )

private fun awayInstances(
    control: ControlState,
    stepWaits: Map<String, StepWait>,
): List<AwayInstance> =
    control.fleet.stepByInstance.map { (id, step) ->
        AwayInstance(
            instanceId = id,
            poolId = step.fromPoolId,
            toPoolId = step.toPoolId,
            purpose = step.purpose,
            phase = step.phase,
            wait = stepWaits[id],
            sinceWallMillis = step.startedAtWallMillis,
        )
    }

private fun waveProgress(
    decision: WaveDecision,
    rooms: Map<String, PoolRoom>,
    nowWallMillis: Long,
): WaveProgress {
    val situation = decision.situation
    return WaveProgress(
        waveId = situation.wave.id,
        stage = stageOf(decision),
        instances = situation.size,
        finished = situation.finished,
        away = situation.away.size,
        nextInstanceIds = (decision.plan.begin + situation.pending).map { it.instanceId }.distinct().take(NEXT_SHOWN),
        waits = decision.waits,
        poolWaits = decision.plan.poolWaits,
        expectedEndWallMillis = expectedEnd(decision, rooms, nowWallMillis),
    )
}

private fun stageOf(decision: WaveDecision): WaveStage {
    val command = decision.situation.wave.command
    val isHeld = decision.situation.record.hold != null
    return when {
        decision.situation.isFinished -> WaveStage.FINISHED
        command == WaveCommand.CANCEL -> WaveStage.CANCELLED
        command == WaveCommand.PAUSE -> WaveStage.PAUSED
        isHeld -> WaveStage.HELD
        WaveWait.START_TIME in decision.waits || WaveWait.MAINTENANCE_HOURS in decision.waits -> WaveStage.WAITING
        else -> WaveStage.RUNNING
    }
}

// As many rounds as the slowest pool needs, one step long each, within the maintenance hours.
private fun expectedEnd(
    decision: WaveDecision,
    rooms: Map<String, PoolRoom>,
    nowWallMillis: Long,
): Long? {
    val situation = decision.situation
    if (situation.isFinished || stageOf(decision) !in setOf(WaveStage.RUNNING, WaveStage.WAITING)) return null
    val work = (situation.pending + situation.away).groupingBy { it.poolId }.eachCount()
    val usableByPool = work.keys.associateWith { rooms[it]?.let { room -> room.free + room.planned } ?: 0 }
    if (usableByPool.values.any { it < 1 }) return null
    val byPools = work.maxOfOrNull { (poolId, count) -> ceilDiv(count, usableByPool.getValue(poolId)) } ?: return null
    val byWave = situation.wave.maxAtOnce?.let { ceilDiv(work.values.sum(), it) } ?: 0
    val startMillis = maxOf(nowWallMillis, situation.wave.startAtWallMillis)
    val workMillis = maxOf(byPools, byWave) * EXPECTED_STEP_MILLIS
    return endWithin(situation.wave.hours, startMillis, workMillis)
}

private fun endWithin(
    hours: MaintenanceHours?,
    startMillis: Long,
    workMillis: Long,
): Long {
    if (hours == null) return startMillis + workMillis
    var minute = startMillis.floorDiv(MILLIS_PER_MINUTE)
    var leftMinutes = (workMillis / MILLIS_PER_MINUTE).toInt()
    val openMinutes = (hours.untilMinuteOfDay - hours.fromMinuteOfDay).mod(MINUTES_PER_DAY)
    minute += leftMinutes / openMinutes * MINUTES_PER_DAY
    leftMinutes %= openMinutes
    while (leftMinutes > 0) {
        if (hours.contains(minute * MILLIS_PER_MINUTE)) leftMinutes--
        minute++
    }
    return minute * MILLIS_PER_MINUTE
}
