package org.verbenagauge.entry.admission

import java.util.EnumMap
import java.util.TreeMap

/** Waiting requests of one team, and the service that it was charged for. */
internal class TeamBacklog(
    val teamId: String,
    var shareWeight: Int,
) : Comparable<TeamBacklog> {
    private val requestsByLane = EnumMap<Lane, TreeMap<Long, Waiting>>(Lane::class.java)
    private val workMillisByLane = DoubleArray(Lane.entries.size)

    /** Weight by which the team was counted in each lane that it waits in. */
    val countedWeight: IntArray = IntArray(Lane.entries.size)

    /** Charged run time divided by the weight, in milliseconds. */
    var virtualTime: Double = 0.0

    /** Whether the team has no right to start anything now. */
    var blocked: Boolean = false

    /** Number of waiting requests. */
    var size: Int = 0
        private set

    fun first(lane: Lane): Waiting = requestsByLane.getValue(lane).firstEntry().value

    fun hasAny(lane: Lane): Boolean = !requestsByLane[lane].isNullOrEmpty()

    /** Run time that is expected of the requests waiting in [lane]. */
    fun workMillis(lane: Lane): Double = workMillisByLane[lane.ordinal]

    fun add(
        lane: Lane,
        waiting: Waiting,
    ) {
        requestsByLane.getOrPut(lane) { TreeMap() }[waiting.id] = waiting
        workMillisByLane[lane.ordinal] += waiting.expectedRunMillis
        size++
    }

    fun remove(
        lane: Lane,
        waiting: Waiting,
    ) {
        requestsByLane.getValue(lane).remove(waiting.id)
        workMillisByLane[lane.ordinal] -= waiting.expectedRunMillis
        if (!hasAny(lane)) workMillisByLane[lane.ordinal] = 0.0
        size--
    }

    override fun compareTo(other: TeamBacklog): Int =
        compareValuesBy(this, other, TeamBacklog::virtualTime, TeamBacklog::teamId)
}
