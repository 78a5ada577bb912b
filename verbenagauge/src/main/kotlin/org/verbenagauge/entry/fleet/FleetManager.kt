package org.verbenagauge.entry.fleet

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.verbenagauge.entry.Child
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.logging.Event
import org.verbenagauge.entry.logging.EventLog
import org.verbenagauge.entry.peers.PeerNetwork
import org.verbenagauge.entry.settings.FleetSettings
import org.verbenagauge.entry.state.control.FleetEdit
import org.verbenagauge.entry.state.force.InForce
import org.verbenagauge.entry.state.log.ChangeLog
import org.verbenagauge.entry.state.log.ProposeOutcome
import org.verbenagauge.entry.state.store.WriteOutcome
import java.util.UUID

/**
 * What a [FleetManager] works with.
 *
 * @property entryId author of its changes.
 * @property instances the platform's list and actions.
 * @property network peers, or null for an entry without peers.
 * @property demand work that waits here.
 */
public class FleetParts(
    internal val entryId: String,
    internal val changes: ChangeLog,
    internal val inForce: InForce,
    internal val instances: ListRecorder,
    internal val network: PeerNetwork?,
    internal val probe: HealthProbe,
    internal val clock: Clock,
    internal val log: EventLog,
    internal val demand: DemandView = DemandView { PoolDemand() },
)

/** Drives waves and moves from this entry: the shell around [FleetExecutor]. */
public class FleetManager(
    private val settings: FleetSettings,
    private val parts: FleetParts,
) : Child {
    override val name: String = "fleet"

    private val executor = FleetExecutor(settings, BudgetPlanner, parts.demand)
    private val mutex = Mutex()

    override suspend fun run(): Unit =
        coroutineScope {
            while (true) {
                if (!advance(this)) delay(settings.tickMillis)
            }
        }

    /** Returns what operators read of waves, moves and pools. */
    public suspend fun progress(): FleetProgress =
        mutex.withLock {
            takeIn()
            executor.progress(parts.clock.monotonicMillis(), parts.clock.wallMillis())
        }

    // True when an edit was stored, so that the next can follow at once.
    private suspend fun advance(scope: CoroutineScope): Boolean {
        val actions =
            mutex.withLock {
                takeIn()
                executor.tick(parts.clock.monotonicMillis(), parts.clock.wallMillis(), driverRank(parts.network))
            }
        var isStored = false
        actions.forEach { action ->
            when (action) {
                is FleetAction.Propose -> isStored = propose(action)
                is FleetAction.Act -> scope.launch { act(action) }
                is FleetAction.Probe -> scope.launch { probe(action) }
            }
        }
        return isStored
    }

    private fun takeIn() {
        executor.update(parts.changes.state.value)
        parts.instances.last?.let { executor.listed(it.instances, it.askedAtMillis) }
        executor.inForce(parts.inForce.versionInForceEverywhere())
    }

    private suspend fun propose(action: FleetAction.Propose): Boolean {
        val operationId = UUID.randomUUID().toString()
        return when (val outcome = parts.changes.propose(action.baseVersion, action.edit, parts.entryId, operationId)) {
            is ProposeOutcome.Stored -> {
                report(action.edit)
                true
            }
            is ProposeOutcome.Invalid -> {
                parts.log.write(Event.FLEET_EDIT_REFUSED, outcome.problems.joinToString())
                false
            }
            is ProposeOutcome.Conflict, is ProposeOutcome.Unavailable, is ProposeOutcome.Unknown -> false
        }
    }

    private fun report(edit: FleetEdit) {
        val event =
            when (edit) {
                is FleetEdit.Lose -> Event.INSTANCE_LOST
                is FleetEdit.Hold -> if (edit.hold == null) Event.WAVE_RESUMED else Event.WAVE_HELD
                else -> Event.FLEET_STEP
            }
        parts.log.write(event, edit.toString())
    }

    private suspend fun act(action: FleetAction.Act) {
        val outcome = parts.instances.act(action.instanceId, action.action, action.operationId)
        val isApplied = outcome is WriteOutcome.Applied
        if (!isApplied) parts.log.write(Event.INSTANCE_ACTION_FAILED, "${action.operationId}: $outcome")
        mutex.withLock {
            executor.acted(action.instanceId, action.operationId, isApplied, parts.clock.monotonicMillis())
        }
    }

    private suspend fun probe(action: FleetAction.Probe) {
        val isHealthy = parts.probe.isHealthy(action.host, action.port)
        mutex.withLock { executor.probed(action.instanceId, isHealthy, parts.clock.monotonicMillis()) }
    }
}
