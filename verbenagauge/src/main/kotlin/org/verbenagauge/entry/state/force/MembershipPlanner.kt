package org.verbenagauge.entry.state.force

import org.verbenagauge.entry.model.PeerId
import org.verbenagauge.entry.state.control.Member
import org.verbenagauge.entry.state.control.Membership
import org.verbenagauge.entry.state.control.MembershipEdit
import org.verbenagauge.entry.state.control.RemoveCause
import org.verbenagauge.entry.state.control.acceptedVersion
import org.verbenagauge.entry.state.control.limits
import org.verbenagauge.entry.state.control.majorityOf
import kotlin.random.Random

private const val FIRST_ATTEMPT_MILLIS = 50L
private const val AGAIN_MILLIS = 300L
private const val MAX_TICK_GAP_MILLIS = 2_000L

/**
 * What an entry knows when it plans a change of the members.
 *
 * @property local this entry as a member.
 * @property membership members.
 * @property reachable peers with a live connection.
 * @property acceptedVersion last accepted version that is known.
 * @property poller whether this entry is one of the few that act for all.
 */
internal class MembershipView(
    val local: Member,
    val membership: Membership,
    val reachable: List<PeerId>,
    val acceptedVersion: Long,
    val poller: Boolean,
)

/**
 * Decides when this entry joins the members and when it proposes to remove a silent one. A pure decision.
 */
internal class MembershipPlanner(
    private val limits: ForceLimits,
    private val random: Random,
) {
    private val lastSeenMillis = HashMap<PeerId, Long>()
    private var lastTickMillis: Long? = null
    private var nextAttemptMillis: Long? = null

    /** Returns the change of the members to propose now, or null. */
    fun plan(
        view: MembershipView,
        nowMillis: Long,
    ): MembershipEdit? {
        look(view, nowMillis)
        val attemptMillis = nextAttemptMillis ?: (nowMillis + random.nextLong(FIRST_ATTEMPT_MILLIS))
        nextAttemptMillis = attemptMillis
        if (nowMillis < attemptMillis) return null
        val edit = join(view) ?: removal(view, nowMillis) ?: return null
        nextAttemptMillis = nowMillis + AGAIN_MILLIS + random.nextLong(AGAIN_MILLIS)
        return edit
    }

    // After a pause of this process nothing is known of the silence of others.
    private fun look(
        view: MembershipView,
        nowMillis: Long,
    ) {
        val paused = lastTickMillis?.let { nowMillis - it > MAX_TICK_GAP_MILLIS } ?: true
        lastTickMillis = nowMillis
        if (paused) lastSeenMillis.clear()
        val ids = view.membership.ids
        lastSeenMillis.keys.retainAll(ids)
        ids.forEach { id ->
            if (id in view.reachable || id == view.local.id) {
                lastSeenMillis[id] = nowMillis
            } else {
                lastSeenMillis.putIfAbsent(id, nowMillis)
            }
        }
    }

    private fun join(view: MembershipView): MembershipEdit? =
        if (view.local.id in view.membership) null else MembershipEdit.Join(view.local, view.acceptedVersion)

    private fun removal(
        view: MembershipView,
        nowMillis: Long,
    ): MembershipEdit? {
        if (!view.poller) return null
        val ids = view.membership.ids
        val present = ids.count { it == view.local.id || it in view.reachable }
        if (present < majorityOf(ids.size)) return null
        val silent =
            ids.firstOrNull { nowMillis - lastSeenMillis.getValue(it) > limits.silentMemberMillis } ?: return null
        return MembershipEdit.Remove(silent, RemoveCause.SILENT, view.acceptedVersion)
    }
}
