package org.verbenagauge.entry.admission

import org.verbenagauge.entry.state.document.QueueClass
import java.util.EnumMap
import java.util.PriorityQueue
import java.util.TreeSet

/**
 * Waiting requests of one pool in the order of service: by lane, then by the run time that each team was
 * charged for in relation to its weight, then by arrival.
 *
 * Method: start-time fair queueing (Goyal, Vin and Cheng, 1996) over run time. A request is charged with the
 * expected run time when it starts; [charge] corrects it when the real one is known. A team that comes back
 * after a pause starts at the virtual time of the others and gets no credit for the pause.
 *
 * A lane that was passed over [MAX_SKIPPED_STARTS] times while it had work is served next, so that none starves.
 */
public class FairQueue {
    private val teams = HashMap<String, TeamBacklog>()
    private val ready = EnumMap<Lane, TreeSet<TeamBacklog>>(Lane::class.java)
    private val waitingTeams = LinkedHashSet<TeamBacklog>()
    private val blockedTeams = LinkedHashSet<TeamBacklog>()
    private val byId = HashMap<Long, QueuedRequest>()
    private val deadlines = PriorityQueue<QueuedRequest>(compareBy { it.waiting.startByMillis })
    private val toPromote = PriorityQueue<QueuedRequest>(compareBy { it.waiting.promoteAtMillis })
    private val skippedStarts = IntArray(Lane.entries.size)
    private val workMillisByLane = DoubleArray(Lane.entries.size)
    private val weightByLane = IntArray(Lane.entries.size)
    private var virtualTime = 0.0

    init {
        Lane.entries.forEach { ready[it] = TreeSet() }
    }

    /** Number of waiting requests. */
    public val size: Int get() = byId.size

    /** Teams that have requests here now, with the number of them. */
    public val waitingByTeam: Map<String, Int> get() = waitingTeams.associate { it.teamId to it.size }

    /** Number of waiting requests of queues of [queueClass]. */
    public fun waitingCount(queueClass: QueueClass): Int = byId.values.count { it.waiting.queueClass == queueClass }

    /** Adds [waiting] with the weight of its team. */
    public fun add(
        waiting: WaitingRequest,
        shareWeight: Int,
    ) {
        val team = teams.getOrPut(waiting.teamId) { TeamBacklog(waiting.teamId, shareWeight) }
        if (team.size == 0) setVirtualTime(team, maxOf(team.virtualTime, currentVirtualTime()))
        team.shareWeight = shareWeight
        val queued = QueuedRequest(waiting, team, Lane.of(waiting.queueClass))
        byId[waiting.id] = queued
        deadlines.add(queued)
        if (waiting.promoteAtMillis != null) toPromote.add(queued)
        enter(queued)
    }

    /** Removes the request [id] and returns it; null when it does not wait. */
    public fun remove(id: Long): WaitingRequest? {
        val queued = byId.remove(id) ?: return null
        leave(queued)
        queued.removed = true
        purgeRemoved()
        return queued.waiting
    }

    /**
     * Returns the request that starts next without removing it, or null. [tryTake] takes a right for its
     * team; a team that gets none is passed over until [unblock] or [unblockAll].
     */
    public fun peek(tryTake: (teamId: String) -> Boolean): WaitingRequest? {
        val starving = Lane.entries.lastOrNull { skippedStarts[it.ordinal] >= MAX_SKIPPED_STARTS }
        starving?.let { lane -> peek(lane, tryTake)?.let { return it } }
        return Lane.entries.firstNotNullOfOrNull { peek(it, tryTake) }
    }

    /** Removes the request [id], which starts at [nowMillis], and charges its team with [chargedMillis] of run time. */
    public fun start(
        id: Long,
        chargedMillis: Double,
        nowMillis: Long,
    ) {
        val queued = byId.getValue(id)
        virtualTime = maxOf(virtualTime, currentVirtualTime())
        countSkippedStarts(queued.lane)
        queued.team.recordStart(queued.lane, nowMillis)
        remove(id)
        charge(queued.team.teamId, chargedMillis)
    }

    /** Charges [teamId] for [runMillis] more run time, or less when it is negative. */
    public fun charge(
        teamId: String,
        runMillis: Double,
    ) {
        val team = teams[teamId] ?: return
        setVirtualTime(team, team.virtualTime + runMillis / team.shareWeight)
    }

    /**
     * Charges [teamId] for [runMillis] that were not expected at the start, up to a lead of [maxLead] in virtual
     * time before the others, so that a surprise does not keep it from service for long.
     */
    public fun chargeOverrun(
        teamId: String,
        runMillis: Double,
        maxLead: Double,
    ) {
        val team = teams[teamId] ?: return
        val limit = maxOf(team.virtualTime, currentVirtualTime() + maxLead)
        setVirtualTime(team, minOf(limit, team.virtualTime + runMillis / team.shareWeight))
    }

    /** Weights of the teams that wait in the lane where most weight waits. */
    public fun maxWaitingWeight(): Int = weightByLane.max()

    /** Lets [teamId] start again, after it got a right back. */
    public fun unblock(teamId: String) {
        val team = teams[teamId] ?: return
        if (!team.blocked) return
        team.blocked = false
        blockedTeams.remove(team)
        // Being held by the limit gives no claim to service of the past.
        team.virtualTime = maxOf(team.virtualTime, virtualTime)
        Lane.entries.filter { team.hasAny(it) }.forEach { ready.getValue(it).add(team) }
    }

    /** Lets all teams try again to start. */
    public fun unblockAll() {
        blockedTeams.toList().forEach { unblock(it.teamId) }
    }

    /** Lets requests rise whose time has come, and removes and returns those whose time to start has passed. */
    public fun advance(nowMillis: Long): List<WaitingRequest> {
        while (toPromote.isNotEmpty() && toPromote.peek().isDue(toPromote.peek().waiting.promoteAtMillis, nowMillis)) {
            val queued = toPromote.poll()
            if (!queued.removed) promote(queued)
        }
        val expired = ArrayList<WaitingRequest>()
        while (deadlines.isNotEmpty() && deadlines.peek().isDue(deadlines.peek().waiting.startByMillis, nowMillis)) {
            val queued = deadlines.poll()
            if (!queued.removed) remove(queued.waiting.id)?.let(expired::add)
        }
        return expired
    }

    /** Run time in milliseconds that is expected to be served before a new request like [waiting]. */
    public fun workAheadMillis(
        waiting: WaitingRequest,
        shareWeight: Int,
    ): Double {
        val lane = Lane.of(waiting.queueClass)
        val team = teams[waiting.teamId]
        val aheadOfLane = Lane.entries.filter { it < lane }.sumOf { workMillisByLane[it.ordinal] }
        val own = team?.workMillis(lane) ?: 0.0
        val weights = weightByLane[lane.ordinal] + if (team?.hasAny(lane) == true) 0 else shareWeight
        return aheadOfLane + minOf(workMillisByLane[lane.ordinal], own * weights / shareWeight)
    }

    /** Run time in milliseconds that is expected of the requests of the team of [waiting] in its lane. */
    public fun teamWorkMillis(waiting: WaitingRequest): Double = teamWork(waiting) { lane -> workMillis(lane) }

    /** Time in milliseconds until the team of [waiting] has started all it has in the lane, at the pace of late. */
    public fun drainMillis(waiting: WaitingRequest): Double = teamWork(waiting) { lane -> drainMillis(lane) }

    private fun teamWork(
        waiting: WaitingRequest,
        value: TeamBacklog.(Lane) -> Double,
    ): Double = teams[waiting.teamId]?.value(Lane.of(waiting.queueClass)) ?: 0.0

    private fun peek(
        lane: Lane,
        tryTake: (String) -> Boolean,
    ): WaitingRequest? {
        val readyTeams = ready.getValue(lane)
        while (readyTeams.isNotEmpty()) {
            val team = readyTeams.first()
            if (tryTake(team.teamId)) return team.first(lane)
            ready.values.forEach { it.remove(team) }
            team.blocked = true
            blockedTeams.add(team)
        }
        return null
    }

    private fun enter(queued: QueuedRequest) {
        val lane = queued.lane
        val team = queued.team
        if (!team.hasAny(lane)) {
            weightByLane[lane.ordinal] += team.shareWeight
            team.countedWeight[lane.ordinal] = team.shareWeight
            if (!team.blocked) ready.getValue(lane).add(team)
        }
        team.add(lane, queued.waiting)
        waitingTeams.add(team)
        workMillisByLane[lane.ordinal] += queued.waiting.expectedRunMillis
    }

    private fun leave(queued: QueuedRequest) {
        val lane = queued.lane
        val team = queued.team
        team.remove(lane, queued.waiting)
        if (team.size == 0) waitingTeams.remove(team)
        workMillisByLane[lane.ordinal] -= queued.waiting.expectedRunMillis
        if (team.hasAny(lane)) return
        ready.getValue(lane).remove(team)
        weightByLane[lane.ordinal] -= team.countedWeight[lane.ordinal]
        if (weightByLane[lane.ordinal] == 0) workMillisByLane[lane.ordinal] = 0.0
    }

    private fun promote(queued: QueuedRequest) {
        leave(queued)
        queued.lane = Lane.RISEN
        enter(queued)
    }

    private fun countSkippedStarts(served: Lane) {
        skippedStarts[served.ordinal] = 0
        Lane.entries
            .filter { it > served && ready.getValue(it).isNotEmpty() }
            .forEach { skippedStarts[it.ordinal]++ }
    }

    private fun currentVirtualTime(): Double {
        val least = ready.values.mapNotNull { it.firstOrNull()?.virtualTime }.minOrNull() ?: return virtualTime
        return maxOf(virtualTime, least)
    }

    // A sorted set loses an element whose key changes inside it.
    private fun setVirtualTime(
        team: TeamBacklog,
        newVirtualTime: Double,
    ) {
        val lanes = ready.values.filter { it.remove(team) }
        team.virtualTime = newVirtualTime
        lanes.forEach { it.add(team) }
    }

    // Keeps removed requests from filling the heaps until their time comes.
    private fun purgeRemoved() {
        if (deadlines.size > 2 * byId.size + MIN_HEAP_SIZE) {
            deadlines.removeIf { it.removed }
            toPromote.removeIf { it.removed }
        }
    }

    private class QueuedRequest(
        val waiting: WaitingRequest,
        val team: TeamBacklog,
        var lane: Lane,
    ) {
        var removed = false

        fun isDue(
            atMillis: Long?,
            nowMillis: Long,
        ): Boolean = removed || (atMillis != null && atMillis <= nowMillis)
    }

    public companion object {
        /** Starts of other lanes after which a lane with work is served next. */
        public const val MAX_SKIPPED_STARTS: Int = 32
        private const val MIN_HEAP_SIZE = 64
    }
}
