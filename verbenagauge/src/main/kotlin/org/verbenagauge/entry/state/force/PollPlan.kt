package org.verbenagauge.entry.state.force

import org.verbenagauge.entry.model.PeerId
import org.verbenagauge.entry.state.control.Membership
import org.verbenagauge.entry.state.control.limits
import org.verbenagauge.entry.state.control.majorityOf
import kotlin.random.Random

private const val MIN_POLLERS = 3
private const val MEMBERS_PER_POLLER = 8
private const val SPARE_ANSWERS = 2

/** Whom an entry asks now whether it has missed a change. */
internal data class PollRound(
    val askStore: Boolean,
    val askPeers: List<PeerId>,
)

/**
 * Decides whom to ask. A few members poll the table service, the first of them a majority of the members as
 * well when that does not answer, and all others ask one of the few: the cost of an entry does not grow with
 * the number of entries, and that of a polling one grows by a small part of it.
 */
internal class PollPlan(
    private val localId: PeerId,
    private val limits: ForceLimits,
    private val random: Random,
) {
    /** Whether this entry is one of the few, given the [reachable] members. */
    fun isPoller(
        membership: Membership,
        reachable: List<PeerId>,
    ): Boolean = localId in pollers(membership, reachable)

    /** Returns whom to ask when the last confirmation is [ageMillis] old. */
    fun round(
        membership: Membership,
        reachable: List<PeerId>,
        ageMillis: Long,
    ): PollRound {
        val others = reachable.filter { it in membership && it != localId }
        val pollers = pollers(membership, reachable)
        val majority = { others.shuffled(random).take(majorityOf(membership.members.size) + SPARE_ANSWERS) }
        val urgent = ageMillis >= limits.urgentMillis
        return when (pollers.indexOf(localId)) {
            0 ->
                PollRound(
                    askStore = ageMillis >= limits.firstPollMillis,
                    askPeers = if (ageMillis >= limits.relayMillis) majority() else emptyList(),
                )
            -1 ->
                PollRound(
                    askStore = urgent,
                    askPeers =
                        when {
                            urgent -> majority()
                            ageMillis < limits.relayMillis || pollers.isEmpty() -> emptyList()
                            else -> listOf(pollers.random(random))
                        },
                )
            else ->
                PollRound(
                    askStore = ageMillis >= limits.firstPollMillis,
                    askPeers =
                        when {
                            urgent -> majority()
                            ageMillis >= limits.relayMillis -> listOf(pollers.first())
                            else -> emptyList()
                        },
                )
        }
    }

    private fun pollers(
        membership: Membership,
        reachable: List<PeerId>,
    ): List<PeerId> {
        val present = membership.ids.filter { it == localId || it in reachable }
        return present.take(maxOf(MIN_POLLERS, membership.members.size / MEMBERS_PER_POLLER))
    }
}
