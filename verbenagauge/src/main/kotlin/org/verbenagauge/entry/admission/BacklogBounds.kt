package org.verbenagauge.entry.admission

import org.verbenagauge.entry.state.document.QueueClass
import java.util.EnumMap
import java.util.TreeSet

/** Result of checking a new request against the backlog bounds. */
internal sealed interface BoundsOutcome {
    /** The request may wait. */
    data object Fits : BoundsOutcome

    /** The request may wait once the waiting request [victimId] has been refused. */
    data class Replaces(
        val victimId: Long,
    ) : BoundsOutcome

    /** The bounds are reached, and no waiting request may be refused instead of the new one. */
    data object Full : BoundsOutcome
}

/**
 * Limits the number of waiting requests of one pool and of each of its queues.
 *
 * When the pool is full, the request to refuse is chosen from the least urgent queue class below that of the new
 * request: the newest request of the team with the longest backlog relative to its weight. If there is no such class,
 * it is chosen in the same way from the class of the new request, and when a queue is full, from that queue. In these
 * two cases its team's relative backlog must be longer than that of the new request's team would become.
 *
 * Method: longest queue drop (Suter et al., 1998), weighted.
 */
internal class BacklogBounds(
    private val maxQueuedPerPool: Int,
) {
    private val byQueue = HashMap<String, Backlog>()
    private val byClass = EnumMap<QueueClass, Backlog>(QueueClass::class.java)
    private var size = 0

    fun add(
        waiting: WaitingRequest,
        shareWeight: Int,
    ) {
        backlogs(waiting).forEach { it.add(waiting, shareWeight) }
        size++
    }

    fun remove(waiting: WaitingRequest) {
        backlogs(waiting).forEach { it.remove(waiting) }
        if (byQueue.getValue(waiting.queueId).size == 0) byQueue.remove(waiting.queueId)
        size--
    }

    fun hasCapacity(
        queueId: String,
        maxQueued: Int,
    ): Boolean = size < maxQueuedPerPool && (byQueue[queueId]?.size ?: 0) < maxQueued

    fun check(
        waiting: WaitingRequest,
        shareWeight: Int,
        maxQueued: Int,
    ): BoundsOutcome {
        val queue = byQueue[waiting.queueId]
        val victimId =
            when {
                queue != null && queue.size >= maxQueued -> queue.newestOfLongerTeam(waiting.teamId, shareWeight)
                size >= maxQueuedPerPool -> victimForFullPool(waiting, shareWeight)
                else -> return BoundsOutcome.Fits
            }
        return victimId?.let { BoundsOutcome.Replaces(it) } ?: BoundsOutcome.Full
    }

    private fun victimForFullPool(
        waiting: WaitingRequest,
        shareWeight: Int,
    ): Long? {
        val below = QueueClass.entries.filter { it > waiting.queueClass }.reversed()
        return below.firstNotNullOfOrNull { byClass[it]?.newestOfLongestTeam() }
            ?: byClass[waiting.queueClass]?.newestOfLongerTeam(waiting.teamId, shareWeight)
    }

    private fun backlogs(waiting: WaitingRequest) =
        listOf(
            byQueue.getOrPut(waiting.queueId) { Backlog() },
            byClass.getOrPut(waiting.queueClass) { Backlog() },
        )

    private class Backlog {
        private val byTeam = HashMap<String, TeamRequests>()
        var size = 0
            private set

        fun add(
            waiting: WaitingRequest,
            shareWeight: Int,
        ) {
            val requests = byTeam.getOrPut(waiting.teamId) { TeamRequests() }
            requests.shareWeight = shareWeight
            requests.ids.add(waiting.id)
            size++
        }

        fun remove(waiting: WaitingRequest) {
            val requests = byTeam.getValue(waiting.teamId)
            requests.ids.remove(waiting.id)
            if (requests.ids.isEmpty()) byTeam.remove(waiting.teamId)
            size--
        }

        fun newestOfLongestTeam(): Long? = longestTeam()?.ids?.last()

        // Returns the newest request of the team with the longest weighted backlog, or null if that backlog is not
        // longer than the one of [teamId] would be with one more request.
        fun newestOfLongerTeam(
            teamId: String,
            shareWeight: Int,
        ): Long? {
            val newLength = ((byTeam[teamId]?.ids?.size ?: 0) + 1).toDouble() / shareWeight
            return longestTeam()?.takeIf { it.weightedLength > newLength }?.ids?.last()
        }

        private fun longestTeam() = byTeam.values.maxByOrNull { it.weightedLength }
    }

    private class TeamRequests {
        val ids = TreeSet<Long>()
        var shareWeight = 1
        val weightedLength get() = ids.size.toDouble() / shareWeight
    }
}
