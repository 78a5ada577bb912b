package org.verbenagauge.entry.admission

import org.verbenagauge.entry.state.QueueClass
import java.util.TreeMap

/**
 * One waiting request.
 *
 * @property id identifies the request within the process.
 * @property teamId team that pays for it.
 * @property queueClass urgency.
 * @property startByMillis monotonic time by which it must have started.
 */
public data class Waiting(
    val id: Long,
    val teamId: String,
    val queueClass: QueueClass,
    val startByMillis: Long,
)

/**
 * Waiting requests of one pool in the order of service: by class, then by weighted share of the team,
 * then by arrival.
 *
 * Method: start-time fair queueing (Goyal, Vin and Cheng, 1996) with a cost of one slot per request.
 */
public class FairQueue {
    private val lanes = QueueClass.entries.associateWith { Lane() }
    private val positions = HashMap<Long, Position>()

    /** Number of waiting requests. */
    public val size: Int get() = positions.size

    /** Adds [waiting] with the weight of its team. */
    public fun add(
        waiting: Waiting,
        shareWeight: Int,
    ) {
        val lane = lanes.getValue(waiting.queueClass)
        positions[waiting.id] = Position(lane, lane.add(waiting, shareWeight))
    }

    /** Removes the request [id]; false when it does not wait. */
    public fun remove(id: Long): Boolean {
        val position = positions.remove(id) ?: return false
        position.lane.remove(position.tag)
        return true
    }

    /** Takes the first request whose team [tryTake] takes a right for, or null. */
    public fun poll(tryTake: (teamId: String) -> Boolean): Waiting? {
        for (lane in lanes.values) {
            val waiting = lane.poll(tryTake) ?: continue
            positions.remove(waiting.id)
            return waiting
        }
        return null
    }

    /** Removes and returns the requests whose time to start has passed. */
    public fun expire(nowMillis: Long): List<Waiting> {
        val expired = lanes.values.flatMap { lane -> lane.all().filter { it.startByMillis <= nowMillis } }
        expired.forEach { remove(it.id) }
        return expired
    }

    private class Position(
        val lane: Lane,
        val tag: Tag,
    )

    private data class Tag(
        val start: Double,
        val id: Long,
    ) : Comparable<Tag> {
        override fun compareTo(other: Tag): Int = compareValuesBy(this, other, Tag::start, Tag::id)
    }

    private class Lane {
        private val byTag = TreeMap<Tag, Waiting>()
        private val finishByTeam = HashMap<String, Double>()
        private var virtualTime = 0.0

        fun add(
            waiting: Waiting,
            shareWeight: Int,
        ): Tag {
            val start = maxOf(virtualTime, finishByTeam[waiting.teamId] ?: 0.0)
            finishByTeam[waiting.teamId] = start + 1.0 / shareWeight
            return Tag(start, waiting.id).also { byTag[it] = waiting }
        }

        fun remove(tag: Tag) {
            byTag.remove(tag)
        }

        fun poll(tryTake: (String) -> Boolean): Waiting? {
            val (tag, waiting) = byTag.entries.firstOrNull { tryTake(it.value.teamId) } ?: return null
            byTag.remove(tag)
            virtualTime = maxOf(virtualTime, tag.start)
            return waiting
        }

        fun all(): Collection<Waiting> = byTag.values
    }
}
