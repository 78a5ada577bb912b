package org.verbenagauge.entry.state.force

import org.verbenagauge.entry.model.PeerId
import org.verbenagauge.entry.peers.HeldReport
import org.verbenagauge.entry.peers.StateMessage
import org.verbenagauge.entry.state.control.ControlState
import org.verbenagauge.entry.state.control.acceptedVersion
import org.verbenagauge.entry.state.control.limits
import kotlin.random.Random

private const val STORE_ANSWER_MILLIS = 2_000L
private const val WANT_AGAIN_MILLIS = 300L

/** How an entry takes part in agreeing on changes. */
internal enum class ForceRole {
    /** Reads the table service only, and is not known to others. */
    ALONE,

    /** Exchanges messages with peers and joins the members. */
    PEER,
}

/**
 * Decides whether this entry may act on the version that it holds, which version is accepted and which is in
 * force everywhere, and whom to ask and tell. A pure decision; its caller handles one event at a time.
 */
internal class ForceCore(
    private val localId: PeerId,
    private val role: ForceRole,
    private val limits: ForceLimits,
    random: Random,
) {
    private val confirmation = Confirmation(limits)
    private val tracker = InForceTracker(localId, limits)
    private val polls = PollPlan(localId, limits, random)
    private val askedAtMillis = HashMap<PeerId, Long>()
    private var state = ControlState()
    private var reachable = emptyList<PeerId>()
    private var storeAskedAtMillis: Long? = null
    private var awaitsStore = false
    private var wantedAtMillis: Long? = null
    private var servedGuestAtMillis: Long? = null
    private val awaitingTell = LinkedHashSet<PeerId>()
    private var spreadVersion = 0L
    private var toldVersions = 0L to 0L
    private var wasMember = false

    /** Last accepted version that is known here. */
    val acceptedVersion: Long get() = tracker.acceptedVersion

    /** Last version that every entry has that may still act. */
    val inForceVersion: Long get() = tracker.inForceVersion

    /** Last instant of the local monotonic clock at which this entry may act, or null for none. */
    val mayActUntilMillis: Long?
        get() {
            if (isRemoved()) return null
            return confirmation.confirmedAtMillis?.let { it + limits.staleAfterMillis }
        }

    /** Whether the members have removed this incarnation. */
    fun isRemoved(): Boolean = wasMember && localId !in state.membership

    /** Whether this entry is one of the few that poll for the others. */
    fun isPoller(): Boolean = polls.isPoller(state.membership, reachable)

    /** Handles that this entry acts on [next] from now on; [hasBeenMember] up to then, even if only in between. */
    fun hold(
        next: ControlState,
        hasBeenMember: Boolean,
        nowMillis: Long,
    ): List<ForceAction> {
        if (next.version <= state.version) return emptyList()
        state = next
        wantedAtMillis = null
        wasMember = wasMember || hasBeenMember
        val removed = isRemoved()
        tracker.hold(next)
        return if (removed) listOf(ForceAction.RenewIncarnation) else conclude(nowMillis) + tellSenders(nowMillis)
    }

    /** Handles that a change of this entry has been stored as [version]: this entry spreads it. */
    fun stored(
        version: Long,
        nowMillis: Long,
    ): List<ForceAction> {
        spreadVersion = maxOf(spreadVersion, version)
        val pushes =
            reachable
                .filter { tracker.heldVersion(it) < version }
                .map { ForceAction.SendChanges(it, version - 1) }
        return pushes + conclude(nowMillis)
    }

    /**
     * Handles the outcome of a check of the table service.
     *
     * @param version version at which this entry held every stored change, or null when there was no answer.
     * @param askedAtMillis when the check began.
     */
    fun storeChecked(
        version: Long?,
        askedAtMillis: Long,
        nowMillis: Long,
    ): List<ForceAction> {
        awaitsStore = false
        if (version == null || version > state.version) return emptyList()
        val mayUseStore = role == ForceRole.ALONE || localId in state.membership
        if (mayUseStore) confirmation.confirmedByStore(askedAtMillis)
        return conclude(nowMillis)
    }

    /** Handles [message] of [from]. */
    fun received(
        from: PeerId,
        message: StateMessage,
        nowMillis: Long,
    ): List<ForceAction> =
        when (message) {
            is StateMessage.Ask -> answer(from, message, nowMillis)
            is StateMessage.Answer -> {
                confirmation.answered(from, message.questionId, message.report.version, message.confirmedAgeMillis)
                note(from, message.report, nowMillis)
            }
            is StateMessage.Tell -> note(from, message.report, nowMillis)
            is StateMessage.WantChanges -> listOf(ForceAction.SendChanges(from, message.afterVersion))
            is StateMessage.Changes -> {
                wantedAtMillis = null
                awaitingTell += from
                listOf(ForceAction.Follow(message.encodedChanges)) + note(from, message.report, nowMillis)
            }
            is StateMessage.SnapshotPart -> emptyList()
        }

    /** Handles the passing of time; [reachablePeers] are the peers with a live connection. */
    fun tick(
        reachablePeers: List<PeerId>,
        nowMillis: Long,
    ): List<ForceAction> {
        reachable = reachablePeers
        val actions = conclude(nowMillis).toMutableList()
        val ageMillis = confirmation.confirmedAtMillis?.let { nowMillis - it } ?: Long.MAX_VALUE
        val round = polls.round(state.membership, reachable, ageMillis)
        val askStore = round.askStore || role == ForceRole.ALONE || localId !in state.membership
        if (askStore && mayAskStore(nowMillis)) actions += ForceAction.CheckStore
        val asked = round.askPeers + unsettledPeers() + strangers()
        actions += asked.distinct().mapNotNull { ask(it, nowMillis) }
        return actions
    }

    /** Returns what this entry holds. */
    fun report(nowMillis: Long): HeldReport =
        HeldReport(state.version, tracker.acceptedVersion, tracker.inForceVersion, servedGuest(nowMillis))

    private fun mayAskStore(nowMillis: Long): Boolean {
        val sinceMillis = storeAskedAtMillis?.let { nowMillis - it } ?: Long.MAX_VALUE
        if (sinceMillis < if (awaitsStore) STORE_ANSWER_MILLIS else limits.firstPollMillis) return false
        storeAskedAtMillis = nowMillis
        awaitsStore = true
        return true
    }

    // While a change is not in force everywhere, its author and the polling entries look after it.
    private fun unsettledPeers(): List<PeerId> {
        val settled = tracker.inForceVersion >= state.version
        if (settled || !(isPoller() || spreadVersion > tracker.inForceVersion)) return emptyList()
        return tracker.missing(state.version).filter { it in reachable }
    }

    // An entry that does not know the members yet asks whom it can reach.
    private fun strangers(): List<PeerId> = if (localId in state.membership) emptyList() else reachable

    private fun ask(
        to: PeerId,
        nowMillis: Long,
    ): ForceAction? {
        val lastMillis = askedAtMillis[to]
        if (lastMillis != null && nowMillis - lastMillis < limits.askAgainMillis) return null
        askedAtMillis[to] = nowMillis
        val question = StateMessage.Ask(confirmation.ask(to, nowMillis), report(nowMillis))
        return ForceAction.Send(to, question)
    }

    private fun answer(
        from: PeerId,
        question: StateMessage.Ask,
        nowMillis: Long,
    ): List<ForceAction> {
        if (from !in state.membership) servedGuestAtMillis = nowMillis
        val answer = StateMessage.Answer(question.questionId, report(nowMillis), confirmedAgeMillis(nowMillis))
        return listOf(ForceAction.Send(from, answer)) + note(from, question.report, nowMillis)
    }

    // Whoever sent the changes learns at once that this entry acts on them.
    private fun tellSenders(nowMillis: Long): List<ForceAction> {
        val tells = awaitingTell.map { ForceAction.Send(it, StateMessage.Tell(report(nowMillis))) }
        awaitingTell.clear()
        return tells
    }

    private fun confirmedAgeMillis(nowMillis: Long): Long? {
        val untilMillis = mayActUntilMillis ?: return null
        if (untilMillis < nowMillis || localId !in state.membership) return null
        return confirmation.confirmedAtMillis?.let { nowMillis - it }
    }

    private fun note(
        from: PeerId,
        report: HeldReport,
        nowMillis: Long,
    ): List<ForceAction> {
        tracker.reported(from, report, nowMillis)
        return want(from, report, nowMillis) + conclude(nowMillis)
    }

    private fun want(
        from: PeerId,
        report: HeldReport,
        nowMillis: Long,
    ): List<ForceAction> {
        if (report.version <= state.version) return emptyList()
        val wantedMillis = wantedAtMillis
        if (wantedMillis != null && nowMillis - wantedMillis < WANT_AGAIN_MILLIS) return emptyList()
        wantedAtMillis = nowMillis
        return listOf(ForceAction.Send(from, StateMessage.WantChanges(state.version)))
    }

    private fun conclude(nowMillis: Long): List<ForceAction> {
        if (role == ForceRole.PEER) confirmation.conclude(state, localId, nowMillis)
        tracker.conclude(servedGuest(nowMillis), nowMillis)
        val versions = tracker.acceptedVersion to tracker.inForceVersion
        val author = spreadVersion >= state.version && state.version > 0
        if (versions == toldVersions || !(author || isPoller())) return emptyList()
        toldVersions = versions
        return reachable.map { ForceAction.Send(it, StateMessage.Tell(report(nowMillis))) }
    }

    private fun servedGuest(nowMillis: Long): Boolean {
        val servedMillis = servedGuestAtMillis ?: return false
        return nowMillis - servedMillis <= 2 * limits.lapseMillis
    }
}
