package org.verbenagauge.entry.state

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.BufferOverflow
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.verbenagauge.entry.Child
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.logging.Event
import org.verbenagauge.entry.logging.EventLog
import org.verbenagauge.entry.model.PeerId
import org.verbenagauge.entry.peers.SocketPeerNetwork
import org.verbenagauge.entry.peers.StateMessage
import org.verbenagauge.entry.state.control.ControlState
import org.verbenagauge.entry.state.control.Member
import org.verbenagauge.entry.state.control.MembershipEdit
import org.verbenagauge.entry.state.control.RemoveCause
import org.verbenagauge.entry.state.control.acceptedVersion
import org.verbenagauge.entry.state.control.limits
import org.verbenagauge.entry.state.force.ForceLimits
import org.verbenagauge.entry.state.force.ForceRole
import org.verbenagauge.entry.state.force.Freshness
import org.verbenagauge.entry.state.force.InForce
import org.verbenagauge.entry.state.log.ChangeLog
import org.verbenagauge.entry.state.log.SnapshotStore
import org.verbenagauge.entry.state.store.ListedInstance
import org.verbenagauge.entry.state.store.Platform
import org.verbenagauge.entry.state.store.ReadOutcome
import java.util.UUID
import kotlin.random.Random

private const val TICK_MILLIS = 200L
private const val EVENT_CAPACITY = 4_096
private const val LEAVE_TIMEOUT_MILLIS = 3_000L

/**
 * What a [StateService] works with.
 *
 * @property changes sequence of changes.
 * @property platform services of the platform.
 * @property network peers, or null for an entry that reads the table service only.
 * @property memberOf this entry as a member under an identity.
 */
internal class StateParts(
    val entryId: String,
    val changes: ChangeLog,
    val platform: Platform,
    val network: SocketPeerNetwork?,
    val memberOf: suspend (PeerId) -> Member,
    val clock: Clock,
    val log: EventLog,
    val limits: ForceLimits,
    val listPollMillis: Long,
)

/** Follows the changes and the instance list, and says whether what this entry knows is in force. */
public class StateService internal constructor(
    private val parts: StateParts,
    private val random: Random,
    private val publish: (FleetView) -> Unit,
) : Child,
    Freshness,
    InForce {
    override val name: String = "state"

    private val clock = parts.clock
    private val changes = parts.changes
    private val network = parts.network
    private val events = Channel<StateEvent>(EVENT_CAPACITY, BufferOverflow.DROP_OLDEST)
    private val snapshots = SnapshotStore(parts.platform.objects)
    private val ready = CompletableDeferred<Unit>()
    private var view = FleetView(ControlState(), emptyList())

    // Kept when this part is started again, so that it still knows that it was a member.
    private var keptCore: StateCore? = null

    @Volatile private var mayActUntilMillis: Long? = null

    @Volatile private var inForceVersion = 0L

    @Volatile private var acceptedVersion = 0L

    @Volatile private var poller = false

    @Volatile private var stopped = false

    @Volatile private var storeAnswered = true

    init {
        changes.onStored { events.trySend(StateEvent.Stored(it)) }
        network?.subscribe { from, message ->
            if (message is StateMessage) events.trySend(StateEvent.Received(from, message))
        }
    }

    override fun isFresh(): Boolean {
        val untilMillis = mayActUntilMillis ?: return false
        return !stopped && clock.monotonicMillis() <= untilMillis
    }

    override fun versionInForceEverywhere(): Long = inForceVersion

    /** Last accepted version that this entry knows. */
    public fun acceptedVersion(): Long = acceptedVersion

    /** Whether this entry has been certain of its state at least once. */
    public fun isReady(): Boolean = ready.isCompleted

    /** Waits until this entry is certain of its state for the first time. */
    public suspend fun awaitReady(): Unit = ready.await()

    /** Ends the right of this entry to act and takes it out of the members; returns when that is stored, or in vain. */
    public suspend fun leave() {
        stopped = true
        events.send(StateEvent.Stopped)
        val id = network?.localId ?: return
        withTimeoutOrNull(LEAVE_TIMEOUT_MILLIS) {
            while (id in changes.state.value.membership) {
                propose(MembershipEdit.Remove(id, RemoveCause.LEFT, acceptedVersion))
                delay(TICK_MILLIS)
            }
        }
    }

    override suspend fun run(): Unit =
        coroutineScope {
            val core = keptCore ?: newCore().also { keptCore = it }
            snapshots.latest()?.let(changes.history::load)
            launch { tickForever() }
            launch { listForever() }
            for (event in events) {
                core.handle(event, clock.monotonicMillis()).forEach { perform(it, core, this) }
                conclude(core)
            }
        }

    private suspend fun newCore(): StateCore {
        val id = network?.localId ?: PeerId(parts.entryId, 0)
        val role = if (network == null) ForceRole.ALONE else ForceRole.PEER
        return StateCore(parts.memberOf(id), role, parts.limits, random, changes.history)
    }

    private suspend fun tickForever() {
        while (true) {
            events.send(StateEvent.Tick(network?.reachable().orEmpty()))
            delay(TICK_MILLIS)
        }
    }

    private suspend fun listForever() {
        while (true) {
            val answer = parts.platform.instances.list()
            if (answer is ReadOutcome.Found) publishList(answer.value)
            delay(parts.listPollMillis)
        }
    }

    private fun conclude(core: StateCore) {
        mayActUntilMillis = core.mayActUntilMillis
        inForceVersion = core.inForceVersion
        acceptedVersion = core.acceptedVersion
        poller = core.isPoller
        if (isFresh() && changes.state.value.version > 0) ready.complete(Unit)
    }

    private suspend fun perform(
        action: StateAction,
        core: StateCore,
        scope: CoroutineScope,
    ) {
        when (action) {
            is StateAction.Publish -> publishControl(action.control)
            is StateAction.Send -> network?.send(action.to, action.message)
            is StateAction.CheckStore -> scope.launch { checkStore() }
            is StateAction.Propose -> scope.launch { proposeAndTell(action.edit) }
            is StateAction.RenewIncarnation -> renewIncarnation(core)
            is StateAction.ReportBroken -> parts.log.write(Event.CHANGE_REFUSED, action.problem)
        }
    }

    @Synchronized
    private fun publishControl(control: ControlState) {
        view = view.copy(control = control)
        publish(view)
        parts.log.write(Event.CONFIGURATION_IN_FORCE, "version ${control.version} is in force in this entry")
    }

    @Synchronized
    private fun publishList(instances: List<ListedInstance>) {
        if (instances == view.listed) return
        view = view.copy(listed = instances)
        publish(view)
    }

    private suspend fun proposeAndTell(edit: MembershipEdit) {
        propose(edit)
        events.send(StateEvent.Proposed)
    }

    private suspend fun propose(edit: MembershipEdit) {
        if (changes.check() is ReadOutcome.Unavailable) return
        changes.propose(changes.state.value.version, edit, parts.entryId, UUID.randomUUID().toString())
    }

    private suspend fun checkStore() {
        val askedAtMillis = clock.monotonicMillis()
        val outcome = changes.check()
        noteAnswer(outcome)
        events.send(StateEvent.StoreChecked((outcome as? ReadOutcome.Found)?.value, askedAtMillis))
        if (poller) snapshots.write(changes.state.value)
    }

    private fun noteAnswer(outcome: ReadOutcome<Long>) {
        val answered = outcome is ReadOutcome.Found
        if (answered == storeAnswered) return
        storeAnswered = answered
        val event = if (answered) Event.PLATFORM_AVAILABLE else Event.PLATFORM_UNAVAILABLE
        parts.log.write(event, "table service: $outcome")
    }

    private suspend fun renewIncarnation(core: StateCore) {
        parts.log.write(Event.MEMBER_REMOVED, "the members have removed this entry; it joins with a new incarnation")
        val peers = network ?: return
        peers.renewIncarnation()
        core.renew(parts.memberOf(peers.localId), clock.monotonicMillis())
    }
}
