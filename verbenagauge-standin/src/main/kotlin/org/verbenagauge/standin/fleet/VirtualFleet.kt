package org.verbenagauge.standin.fleet

import org.verbenagauge.entry.fleet.FleetAction
import org.verbenagauge.entry.state.control.ControlState
import org.verbenagauge.entry.state.control.FleetEdit
import org.verbenagauge.entry.state.store.InstanceAction
import org.verbenagauge.entry.state.store.InstancePhase
import org.verbenagauge.entry.state.store.ListedInstance
import kotlin.random.Random

private const val FOLLOW_UPS = 2_000

/** Sees what happens in a [VirtualFleet]. */
public interface FleetObserver {
    /** Sees that [edit] was stored on [before]; it was decided on [listed]. */
    public fun stored(
        before: ControlState,
        edit: FleetEdit,
        listed: List<ListedInstance>,
    )

    /** Sees that [edit] was decided on [before], which does not allow it. */
    public fun rejected(
        before: ControlState,
        edit: FleetEdit,
    )

    /** Sees that the platform reboots [instance], before it goes down. */
    public fun rebooting(
        instance: VirtualInstance,
        state: ControlState,
        nowMillis: Long,
    )
}

/**
 * Faults between the entries and the platform.
 *
 * @property lostAnswers share of answers that are lost after the effect.
 * @property lostRequests share of requests that are lost before the effect.
 * @property pauses share of actions before which the entry is paused.
 * @property missedPolls share of reads that an entry misses.
 * @property longestPauseMillis longest pause of an entry.
 */
public data class VirtualFaults(
    val lostAnswers: Double = 0.0,
    val lostRequests: Double = 0.0,
    val pauses: Double = 0.0,
    val missedPolls: Double = 0.0,
    val longestPauseMillis: Long = 0,
)

/** Entries and a platform that move on together in virtual time. */
public class VirtualFleet(
    public val platform: VirtualPlatform,
    public val entries: List<VirtualEntry>,
    private val observer: FleetObserver,
    private val random: Random,
    private val stepMillis: Long,
    private val staleMillis: Long,
) {
    /** Faults from now on. */
    public var faults: VirtualFaults = VirtualFaults()

    /** Share of steps in which an entry places a job on an instance. */
    public var load: Double = 0.0

    /** Time now; monotonic and wall clock are the same. */
    public var nowMillis: Long = 0
        private set

    private val delayed = ArrayList<Delayed>()

    /** Moves the time on by one step. */
    public fun step() {
        nowMillis += stepMillis
        platform.advance(nowMillis)
        entries
            .filter {
                !it.isPaused(
                    nowMillis,
                )
            }.forEach { if (!hit(faults.missedPolls)) it.poll(platform, nowMillis) }
        placeWork()
        sendDelayed()
        entries.forEach(::drive)
    }

    /** Entries that may place work on [instanceId] now. */
    public fun placers(instanceId: String): List<VirtualEntry> =
        entries.filter { it.mayPlace(instanceId, nowMillis, staleMillis) }

    private fun placeWork() {
        if (load == 0.0) return
        entries.filter { !it.isPaused(nowMillis) }.forEach { entry ->
            platform.instances.values.forEach { if (hit(load)) place(entry, it) }
        }
    }

    private fun place(
        entry: VirtualEntry,
        instance: VirtualInstance,
    ) {
        if (instance.phase != InstancePhase.LIVE || !entry.mayPlace(instance.id, nowMillis, staleMillis)) return
        val poolId = entry.view.fleet.poolIdByInstance[instance.id]
        val queues =
            entry.view.configuration.queues
                .filter { it.poolId == poolId }
        if (queues.isEmpty()) return
        instance.start(nowMillis + random.nextLong(queues.random(random).maxRunMillis) + 1)
    }

    private fun drive(entry: VirtualEntry) {
        val executor = entry.executor ?: return
        executor.inForce(versionInForce())
        repeat(FOLLOW_UPS) {
            if (entry.isPaused(nowMillis)) return
            val version = entry.view.version
            val actions = executor.tick(nowMillis, nowMillis, rank = 0)
            val listed = entry.listed
            actions.forEach { send(entry, it, listed) }
            if (entry.view.version == version) return
        }
    }

    private fun versionInForce(): Long {
        val counted = entries.filter { it.isFresh(nowMillis, staleMillis) }
        return counted.minOfOrNull { it.view.version } ?: 0
    }

    private fun send(
        entry: VirtualEntry,
        action: FleetAction,
        listed: List<ListedInstance>,
    ) {
        if (entry.isPaused(nowMillis) || hit(faults.pauses)) {
            if (!entry.isPaused(nowMillis)) {
                entry.pausedUntilMillis = nowMillis + random.nextLong(faults.longestPauseMillis) + 1
            }
            delayed += Delayed(entry, action, listed, entry.pausedUntilMillis)
        } else {
            deliver(entry, action, listed)
        }
    }

    private fun sendDelayed() {
        val due = delayed.filter { it.atMillis <= nowMillis }
        delayed.removeAll(due.toSet())
        due.forEach { deliver(it.entry, it.action, it.listed) }
    }

    private fun deliver(
        entry: VirtualEntry,
        action: FleetAction,
        listed: List<ListedInstance>,
    ) {
        when (action) {
            is FleetAction.Propose -> propose(entry, action, listed)
            is FleetAction.Act -> act(entry, action)
            is FleetAction.Probe -> probe(entry, action)
        }
    }

    private fun propose(
        entry: VirtualEntry,
        action: FleetAction.Propose,
        listed: List<ListedInstance>,
    ) {
        if (hit(faults.lostRequests)) return
        val before = platform.state
        val outcome = platform.propose(action.baseVersion, action.edit)
        if (outcome == VirtualOutcome.INVALID) observer.rejected(before, action.edit)
        if (outcome != VirtualOutcome.STORED) return
        observer.stored(before, action.edit, listed)
        if (!hit(faults.lostAnswers)) entry.poll(platform, nowMillis)
    }

    private fun act(
        entry: VirtualEntry,
        action: FleetAction.Act,
    ) {
        val isLost = hit(faults.lostRequests)
        val isFirst = if (isLost) null else actOnce(action)
        val isAnswered = isFirst != null && !hit(faults.lostAnswers)
        entry.executor?.acted(action.instanceId, action.operationId, isAnswered, nowMillis)
    }

    private fun actOnce(action: FleetAction.Act): Boolean? {
        val instance = platform.instances.getValue(action.instanceId)
        if (action.action == InstanceAction.REBOOT && !platform.isDown && !platform.knows(action.operationId)) {
            observer.rebooting(instance, platform.state, nowMillis)
        }
        return platform.act(action.instanceId, action.action, action.operationId, nowMillis)
    }

    private fun probe(
        entry: VirtualEntry,
        action: FleetAction.Probe,
    ) {
        val isHealthy = platform.instances.getValue(action.instanceId).phase == InstancePhase.LIVE
        entry.executor?.probed(action.instanceId, isHealthy, nowMillis)
    }

    private fun hit(share: Double): Boolean = share > 0.0 && random.nextDouble() < share

    private class Delayed(
        val entry: VirtualEntry,
        val action: FleetAction,
        val listed: List<ListedInstance>,
        val atMillis: Long,
    )
}
