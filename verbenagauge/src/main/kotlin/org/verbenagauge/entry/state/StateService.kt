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
import org.verbenagauge.entry.peers.PeerId
import org.verbenagauge.entry.peers.SocketPeerNetwork
import org.verbenagauge.entry.peers.StateMessage
import java.util.UUID
import kotlin.random.Random

private const val TICK_MILLIS = 100L
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
    private val assembler = SnapshotAssembler()
    private val ready = CompletableDeferred<Unit>()
    private var core = newCore()
    private var planner = MembershipPlanner(parts.limits, random)
    private var listed = emptyList<ListedInstance>()
    private var heldVersion = 0L
    private var proposing = false
    private var storeAnswered = true

    @Volatile private var mayActUntilMillis: Long? = null

    @Volatile private var inForceVersion = 0L

    @Volatile private var acceptedVersion = 0L

    @Volatile private var poller = false

    @Volatile private var stopped = false

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

    /** Whether this entry has been certain of its state at least once. */
    public fun isReady(): Boolean = ready.isCompleted

    /** Waits until this entry is certain of its state for the first time. */
    public suspend fun awaitReady(): Unit = ready.await()

    /** Ends the right of this entry to act and takes it out of the members; returns when that is stored or times out. */
    public suspend fun leave() {
        stopped = true
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
            proposing = false
            loadSnapshot()
            launch { tickForever() }
            launch { listForever() }
            for (event in events) handle(event, this)
        }

    private suspend fun tickForever() {
        while (true) {
            events.send(StateEvent.Tick)
            delay(TICK_MILLIS)
        }
    }

    private suspend fun listForever() {
        while (true) {
            val answer = parts.platform.instances.list()
            if (answer is ReadOutcome.Found) events.send(StateEvent.Listed(answer.value))
            delay(parts.listPollMillis)
        }
    }

    private suspend fun loadSnapshot() {
        val snapshot = snapshots.latest() ?: return
        changes.history.load(snapshot)
    }

    private suspend fun handle(
        event: StateEvent,
        scope: CoroutineScope,
    ) {
        val nowMillis = clock.monotonicMillis()
        perform(hold(nowMillis), scope)
        val actions =
            when (event) {
                is StateEvent.Tick -> tick(nowMillis, scope)
                is StateEvent.Received -> received(event, nowMillis)
                is StateEvent.Stored -> core.stored(event.version, nowMillis)
                is StateEvent.StoreChecked -> storeChecked(event, nowMillis)
                is StateEvent.Listed -> listed(event)
                is StateEvent.Proposed -> emptyList<ForceAction>().also { proposing = false }
            }
        perform(actions, scope)
        perform(hold(nowMillis), scope)
        conclude(nowMillis)
    }

    // The parts of this entry act on a version before it counts as held.
    private fun hold(nowMillis: Long): List<ForceAction> {
        val state = changes.state.value
        if (state.version <= heldVersion) return emptyList()
        heldVersion = state.version
        publish(FleetView(state, listed))
        parts.log.write(Event.CONFIGURATION_IN_FORCE, "version ${state.version} is in force in this entry")
        return core.hold(state, nowMillis)
    }

    private fun conclude(nowMillis: Long) {
        mayActUntilMillis = core.mayActUntilMillis
        inForceVersion = core.inForceVersion
        acceptedVersion = core.acceptedVersion
        poller = core.isPoller()
        val untilMillis = mayActUntilMillis
        if (untilMillis != null && nowMillis <= untilMillis && changes.state.value.version > 0) ready.complete(Unit)
    }

    private suspend fun tick(
        nowMillis: Long,
        scope: CoroutineScope,
    ): List<ForceAction> {
        val reachable = network?.reachable().orEmpty()
        val actions = core.tick(reachable, nowMillis)
        planMembership(reachable, nowMillis, scope)
        return actions
    }

    private suspend fun planMembership(
        reachable: List<PeerId>,
        nowMillis: Long,
        scope: CoroutineScope,
    ) {
        if (network == null || stopped || proposing || !storeAnswered) return
        val local = parts.memberOf(network.localId)
        val view =
            MembershipView(local, changes.state.value.membership, reachable, core.acceptedVersion, core.isPoller())
        val edit = planner.plan(view, nowMillis) ?: return
        proposing = true
        scope.launch {
            propose(edit)
            events.send(StateEvent.Proposed)
        }
    }

    private suspend fun propose(edit: MembershipEdit) {
        if (changes.check() is ReadOutcome.Unavailable) return
        changes.propose(changes.state.value.version, edit, parts.entryId, UUID.randomUUID().toString())
    }

    private fun received(
        event: StateEvent.Received,
        nowMillis: Long,
    ): List<ForceAction> {
        if (event.message is StateMessage.SnapshotPart) {
            assembler.add(event.from, event.message)?.let(changes.history::load)
        }
        return core.received(event.from, event.message, nowMillis)
    }

    private fun storeChecked(
        event: StateEvent.StoreChecked,
        nowMillis: Long,
    ): List<ForceAction> {
        val answered = event.outcome is ReadOutcome.Found
        if (answered != storeAnswered) {
            val logged = if (answered) Event.PLATFORM_AVAILABLE else Event.PLATFORM_UNAVAILABLE
            parts.log.write(logged, "table service: ${event.outcome}")
        }
        storeAnswered = answered
        return core.storeChecked((event.outcome as? ReadOutcome.Found)?.value, event.askedAtMillis, nowMillis)
    }

    private fun listed(event: StateEvent.Listed): List<ForceAction> {
        if (event.instances != listed) {
            listed = event.instances
            publish(FleetView(changes.state.value, listed))
        }
        return emptyList()
    }

    private fun perform(
        actions: List<ForceAction>,
        scope: CoroutineScope,
    ) = actions.forEach { action ->
        when (action) {
            is ForceAction.Send -> network?.send(action.to, action.message)
            is ForceAction.SendChanges -> sendChanges(action)
            is ForceAction.Follow -> action.encodedChanges.forEach(::follow)
            is ForceAction.CheckStore -> scope.launch { checkStore() }
            is ForceAction.RenewIncarnation -> renewIncarnation()
        }
    }

    private fun follow(encoded: String) {
        val outcome = changes.history.follow(encoded)
        if (outcome is FollowOutcome.Broken) parts.log.write(Event.CHANGE_REFUSED, outcome.problem)
    }

    private fun sendChanges(action: ForceAction.SendChanges) {
        val encoded = changes.history.after(action.afterVersion, MAX_CHANGES_CHARS)
        if (encoded != null) {
            network?.send(action.to, StateMessage.Changes(encoded, core.report(clock.monotonicMillis())))
        } else {
            snapshotParts(changes.state.value).forEach { network?.send(action.to, it) }
        }
    }

    private suspend fun checkStore() {
        val askedAtMillis = clock.monotonicMillis()
        events.send(StateEvent.StoreChecked(changes.check(), askedAtMillis))
        if (poller) snapshots.write(changes.state.value)
    }

    private fun renewIncarnation() {
        if (stopped) return
        parts.log.write(Event.MEMBER_REMOVED, "the members have removed this entry; it joins with a new incarnation")
        network?.renewIncarnation()
        core = newCore()
        planner = MembershipPlanner(parts.limits, random)
        core.hold(changes.state.value, clock.monotonicMillis())
    }

    private fun newCore(): ForceCore {
        val id = network?.localId ?: PeerId(parts.entryId, 0)
        val role = if (network == null) ForceRole.ALONE else ForceRole.PEER
        return ForceCore(id, role, parts.limits, random)
    }

    private companion object {
        const val MAX_CHANGES_CHARS = 100 * 1_024
    }
}
