package org.verbenagauge.entry.admission

import java.util.EnumMap
import java.util.TreeMap

/** Waiting requests of one team, and the run time that it was charged for. */
internal class TeamBacklog(
    val teamId: String,
    var shareWeight: Int,
) : Comparable<TeamBacklog> {
    private val requestsByLane = EnumMap<Lane, TreeMap<Long, WaitingRequest>>(Lane::class.java)
    private val workMillisByLane = DoubleArray(Lane.entries.size)

    /** Weight that was added for the team to the total of each lane that it waits in. */
    val countedWeight: IntArray = IntArray(Lane.entries.size)

    /** Charged run time in milliseconds divided by the weight. */
    var virtualTime: Double = 0.0

    private val startIntervalByLane = EnumMap<Lane, StartInterval>(Lane::class.java)

    /** Whether the team has no free right to start a request. */
    var blocked: Boolean = false

    /** Number of waiting requests. */
    var size: Int = 0
        private set

    fun first(lane: Lane): WaitingRequest = requestsByLane.getValue(lane).firstEntry().value

    fun hasAny(lane: Lane): Boolean = !requestsByLane[lane].isNullOrEmpty()

    /** Expected run time in milliseconds of the requests waiting in [lane]. */
    fun workMillis(lane: Lane): Double = workMillisByLane[lane.ordinal]

    fun add(
        lane: Lane,
        waiting: WaitingRequest,
    ) {
        requestsByLane.getOrPut(lane) { TreeMap() }[waiting.id] = waiting
        workMillisByLane[lane.ordinal] += waiting.expectedRunMillis
        size++
    }

    fun remove(
        lane: Lane,
        waiting: WaitingRequest,
    ) {
        requestsByLane.getValue(lane).remove(waiting.id)
        workMillisByLane[lane.ordinal] -= waiting.expectedRunMillis
        if (!hasAny(lane)) {
            workMillisByLane[lane.ordinal] = 0.0
            startIntervalByLane.remove(lane)
        }
        size--
    }

    /** Records that a request of [lane] starts. */
    fun recordStart(
        lane: Lane,
        nowMillis: Long,
    ) {
        startIntervalByLane.getOrPut(lane) { StartInterval() }.recordStart(nowMillis)
    }

    /** Time in milliseconds until all requests in [lane] have started at the recent rate; 0 if the rate is unknown. */
    fun drainMillis(lane: Lane): Double {
        val count = requestsByLane[lane]?.size ?: 0
        return count * (startIntervalByLane[lane]?.intervalMillis ?: 0.0)
    }

    override fun compareTo(other: TeamBacklog): Int =
        compareValuesBy(this, other, TeamBacklog::virtualTime, TeamBacklog::teamId)

    /** Mean interval between starts, measured since the team last had no waiting requests in the lane. */
    private class StartInterval {
        private var lastStartMillis: Long? = null
        private var meanMillis = 0.0
        private var samples = 0

        val intervalMillis: Double get() = if (samples >= MIN_SAMPLES) meanMillis else 0.0

        fun recordStart(nowMillis: Long) {
            val last = lastStartMillis
            lastStartMillis = nowMillis
            if (last == null) return
            samples++
            meanMillis += (nowMillis - last - meanMillis) / minOf(samples, AVERAGING_SAMPLES)
        }
    }

    private companion object {
        const val MIN_SAMPLES = 8
        const val AVERAGING_SAMPLES = 32
    }
}
