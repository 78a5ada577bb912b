package org.verbenagauge.entry.fleet

import org.verbenagauge.entry.state.control.ControlState
import org.verbenagauge.entry.state.control.FleetState
import org.verbenagauge.entry.state.control.InstancePlace
import org.verbenagauge.entry.state.control.StepPhase
import org.verbenagauge.entry.state.control.StepPurpose
import org.verbenagauge.entry.state.control.WaveRecord
import org.verbenagauge.entry.state.control.takesPart
import org.verbenagauge.entry.state.document.Wave

private const val FINISHED_PER_TOLERATED_LOSS = 50
private const val HARM_RATIO = 3

/** Instances of one wave, sorted by how far they are. */
internal class WaveSituation(
    val wave: Wave,
    control: ControlState,
    private val down: Map<String, InstancePlace>,
    sightings: Sightings,
) {
    private val fleet: FleetState = control.fleet
    private val members = fleet.poolIdByInstance.keys.filter { fleet.takesPart(it, wave) }

    /** What the shared state holds of the wave. */
    val record: WaveRecord = fleet.waves[wave.id] ?: WaveRecord()

    private val waiting = members.filter { it !in record.finishedIds && it !in fleet.stepByInstance }

    /** Instances that serve and wait for their maintenance. */
    val pending: List<PlacedInstance> = waiting.filter { it !in down }.map { placed(it, sightings.place(it)) }

    /** Instances that the wave holds away. */
    val away: List<PlacedInstance> =
        fleet.stepByInstance
            .filterValues { it.purpose == StepPurpose.Maintenance(wave.id) }
            .map { (id, step) -> PlacedInstance(id, step.fromPoolId, step.place) }

    /** Instances that wait for their maintenance and are down, by pool. */
    val downByPool: Map<String, Int> =
        waiting.filter { it in down }.groupingBy { fleet.poolIdByInstance.getValue(it) }.eachCount()

    /** Instances of the wave that other steps hold out, and that are not maintained yet. */
    val elsewhere: Int =
        members.count { it !in record.finishedIds && it in fleet.stepByInstance } -
            away.count { it.instanceId in members }

    /** Instances that take part. */
    val size: Int = members.size

    /** Instances that take part and were maintained. */
    val finished: Int = members.count { it in record.finishedIds }

    /** Instances that have not come back from their reboot. */
    val lost: Int = away.count { fleet.stepByInstance.getValue(it.instanceId).phase == StepPhase.LOST }

    /** Instances that may fail to come back before the wave stops. */
    val tolerated: Int = maxOf(wave.toleratedLosses, record.finishedIds.size / FINISHED_PER_TOLERATED_LOSS)

    /** Whether every instance was maintained. */
    val isFinished: Boolean = waiting.isEmpty() && away.isEmpty() && elsewhere == 0

    private val lostRacks by lazy { sightings.lostRacks() }

    /** Whether instances fail after their maintenance far more often than those that wait for it. */
    val isHarmful: Boolean = failsAfterMaintenance()

    // Instances in a rack that is down as a whole say nothing about the wave.
    private fun failsAfterMaintenance(): Boolean {
        val failed = members.count { it in down && it in record.finishedIds && failedAlone(it) }
        if (failed <= tolerated) return false
        return failed * maxOf(1, waiting.size) > HARM_RATIO * waiting.count(::failedAlone) * finished
    }

    private fun failedAlone(id: String): Boolean = down[id]?.let { it.rackId !in lostRacks } ?: false

    private fun placed(
        id: String,
        place: InstancePlace,
    ) = PlacedInstance(id, fleet.poolIdByInstance.getValue(id), place)
}
