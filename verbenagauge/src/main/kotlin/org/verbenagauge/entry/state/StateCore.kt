package org.verbenagauge.entry.state

import org.verbenagauge.entry.peers.StateMessage
import org.verbenagauge.entry.state.control.ControlState
import org.verbenagauge.entry.state.control.Member
import org.verbenagauge.entry.state.control.MembershipEdit
import org.verbenagauge.entry.state.control.acceptedVersion
import org.verbenagauge.entry.state.control.limits
import org.verbenagauge.entry.state.force.ForceAction
import org.verbenagauge.entry.state.force.ForceCore
import org.verbenagauge.entry.state.force.ForceLimits
import org.verbenagauge.entry.state.force.ForceRole
import org.verbenagauge.entry.state.force.MembershipPlanner
import org.verbenagauge.entry.state.force.MembershipView
import org.verbenagauge.entry.state.log.ChangeHistory
import org.verbenagauge.entry.state.log.FollowOutcome
import org.verbenagauge.entry.state.log.SnapshotAssembler
import org.verbenagauge.entry.state.log.snapshotParts
import kotlin.random.Random

private const val MAX_CHANGES_CHARS = 100 * 1_024

/**
 * Decides all that one entry does about the shared state, apart from the calls to the table service. A pure
 * decision over [history]; its caller handles one event at a time and performs the actions in their order.
 *
 * @param local this entry as a member.
 */
internal class StateCore(
    private var local: Member,
    private val role: ForceRole,
    private val limits: ForceLimits,
    private val random: Random,
    private val history: ChangeHistory,
) {
    private val assembler = SnapshotAssembler()
    private var force = ForceCore(local.id, role, limits, random)
    private var planner = MembershipPlanner(limits, random)
    private var published = ControlState()
    private var proposing = false
    private var storeAnswered = true
    private var stopped = false

    /** Last accepted version that is known here. */
    val acceptedVersion: Long get() = force.acceptedVersion

    /** Last version that every entry has that may still act. */
    val inForceVersion: Long get() = force.inForceVersion

    /** Last instant of the local monotonic clock at which this entry may act, or null for none. */
    val mayActUntilMillis: Long? get() = if (stopped) null else force.mayActUntilMillis

    /** Whether this entry polls the table service for others. */
    val isPoller: Boolean get() = force.isPoller()

    /** Handles [event]. */
    fun handle(
        event: StateEvent,
        nowMillis: Long,
    ): List<StateAction> {
        val before = publish(nowMillis)
        val actions =
            when (event) {
                is StateEvent.Tick ->
                    perform(force.tick(event.reachable, nowMillis), nowMillis) +
                        plan(event, nowMillis)
                is StateEvent.Received -> received(event, nowMillis)
                is StateEvent.Stored -> perform(force.stored(event.version, nowMillis), nowMillis)
                is StateEvent.StoreChecked -> storeChecked(event, nowMillis)
                is StateEvent.Proposed -> emptyList<StateAction>().also { proposing = false }
                is StateEvent.Stopped -> emptyList<StateAction>().also { stopped = true }
            }
        return before + actions + publish(nowMillis)
    }

    /** Starts again as [member], a new incarnation of this entry. */
    fun renew(
        member: Member,
        nowMillis: Long,
    ) {
        local = member
        force = ForceCore(member.id, role, limits, random)
        planner = MembershipPlanner(limits, random)
        force.hold(published, hasBeenMember = false, nowMillis)
    }

    // The parts of this entry act on a version before it counts as held.
    private fun publish(nowMillis: Long): List<StateAction> {
        val held = history.heldBy(local.id)
        if (held.state.version <= published.version) return emptyList()
        published = held.state
        return listOf(StateAction.Publish(published)) +
            perform(force.hold(published, held.wasMember, nowMillis), nowMillis)
    }

    private fun received(
        event: StateEvent.Received,
        nowMillis: Long,
    ): List<StateAction> {
        val message = event.message
        if (message is StateMessage.SnapshotPart) assembler.add(event.from, message)?.let(history::load)
        return perform(force.received(event.from, message, nowMillis), nowMillis)
    }

    private fun storeChecked(
        event: StateEvent.StoreChecked,
        nowMillis: Long,
    ): List<StateAction> {
        storeAnswered = event.version != null
        return perform(force.storeChecked(event.version, event.askedAtMillis, nowMillis), nowMillis)
    }

    private fun plan(
        tick: StateEvent.Tick,
        nowMillis: Long,
    ): List<StateAction> {
        if (role == ForceRole.ALONE || stopped || proposing || !storeAnswered) return emptyList()
        val view = MembershipView(local, published.membership, tick.reachable, acceptedVersion, isPoller)
        val edit = planner.plan(view, nowMillis) ?: return emptyList()
        proposing = true
        if (edit is MembershipEdit.Join) history.mayJoin(local.id)
        return listOf(StateAction.Propose(edit))
    }

    private fun perform(
        actions: List<ForceAction>,
        nowMillis: Long,
    ): List<StateAction> =
        actions.flatMap { action ->
            when (action) {
                is ForceAction.Send -> listOf(StateAction.Send(action.to, action.message))
                is ForceAction.SendChanges -> changesFor(action, nowMillis)
                is ForceAction.Follow -> action.encodedChanges.mapNotNull(::follow)
                is ForceAction.CheckStore -> listOf(StateAction.CheckStore)
                is ForceAction.RenewIncarnation -> if (stopped) emptyList() else listOf(StateAction.RenewIncarnation)
            }
        }

    private fun follow(encoded: String): StateAction? {
        val outcome = history.follow(encoded)
        return (outcome as? FollowOutcome.Broken)?.let { StateAction.ReportBroken(it.problem) }
    }

    private fun changesFor(
        action: ForceAction.SendChanges,
        nowMillis: Long,
    ): List<StateAction> {
        val encoded = history.after(action.afterVersion, MAX_CHANGES_CHARS)
        val messages =
            when {
                encoded == null -> snapshotParts(history.state.value)
                else -> listOf(StateMessage.Changes(encoded, force.report(nowMillis)))
            }
        return messages.map { StateAction.Send(action.to, it) }
    }
}
