package org.verbenagauge.entry.admission

import org.verbenagauge.entry.state.document.QueueClass
import java.util.EnumMap
import java.util.PriorityQueue
import java.util.TreeSet

/**
 * Waiting requests of one pool in the order of service: by priority lane, then by the run time charged to the team
 * divided by its weight, then by arrival.
 *
 * Method: start-time fair queueing (Goyal, Vin and Cheng, 1996) over run time. A team is charged with the expected
 * run time of a request when it starts; [charge] corrects this once the actual run time is known. A team that
 * becomes active again after a pause starts at the virtual time of the others and gets no credit for the pause.
 *
 * A lane with ready requests that was skipped for [MAX_SKIPPED_STARTS] starts is served next, which prevents
 * starvation.
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

    /** Number of waiting requests of each team that has any. */
    public val waitingByTeam: Map<String, Int> get() = waitingTeams.associate { it.teamId to it.size }

    /** Number of waiting requests of queues of [queueClass]. */
    public fun waitingCount(queueClass: QueueClass): Int = byId.values.count { it.waiting.queueClass == queueClass }

    /** Adds [waiting], whose team has the weight [shareWeight]. */
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
     * Returns the request that starts next without removing it, or null if none can start. [tryTake] acquires a right
     * for a team; a team for which it fails is skipped until [unblock] or [unblockAll].
     */
    public fun peek(tryTake: (teamId: String) -> Boolean): WaitingRequest? {
        val starving = Lane.entries.lastOrNull { skippedStarts[it.ordinal] >= MAX_SKIPPED_STARTS }
        starving?.let { lane -> peek(lane, tryTake)?.let { return it } }
        return Lane.entries.firstNotNullOfOrNull { peek(it, tryTake) }
    }

    /** Removes the request [id], which starts at [nowMillis], and charges its team [chargedMillis] of run time. */
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

    /** Charges [teamId] for [runMillis] of run time; a negative value is a refund. */
    public fun charge(
        teamId: String,
        runMillis: Double,
    ) {
        val team = teams[teamId] ?: return
        setVirtualTime(team, team.virtualTime + runMillis / team.shareWeight)
    }

    /**
     * Charges [teamId] for [runMillis] of run time beyond the expected one, but at most up to [maxLead] ahead of the
     * current virtual time, so that one unexpectedly long run does not exclude the team from service for long.
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

    /** Total weight of the teams that wait in a lane, as the maximum over all lanes. */
    public fun maxWaitingWeight(): Int = weightByLane.max()

    /** Lets [teamId] start requests again after one of its rights was released. */
    public fun unblock(teamId: String) {
        val team = teams[teamId] ?: return
        if (!team.blocked) return
        team.blocked = false
        blockedTeams.remove(team)
        // A team gets no credit for the time during which it was blocked by its limit.
        team.virtualTime = maxOf(team.virtualTime, virtualTime)
        Lane.entries.filter { team.hasAny(it) }.forEach { ready.getValue(it).add(team) }
    }

    /** Lets all blocked teams try to start requests again. */
    public fun unblockAll() {
        blockedTeams.toList().forEach { unblock(it.teamId) }
    }

    /** Promotes requests that are due for it, and removes and returns those whose start deadline has passed. */
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

    /** Expected run time in milliseconds of the requests to be served before a new request like [waiting]. */
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

    /** Expected run time in milliseconds of the requests that the team of [waiting] has in its lane. */
    public fun teamWorkMillis(waiting: WaitingRequest): Double = teamWork(waiting) { lane -> workMillis(lane) }

    /**
     * Time in milliseconds until all requests that the team of [waiting] has in its lane have started, at the recent
     * start rate; 0 if the rate is unknown.
     */
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
        val lowest = ready.values.mapNotNull { it.firstOrNull()?.virtualTime }.minOrNull() ?: return virtualTime
        return maxOf(virtualTime, lowest)
    }

    // The team is taken out of the sorted sets first, since they can't find an element whose sort key has changed.
    private fun setVirtualTime(
        team: TeamBacklog,
        newVirtualTime: Double,
    ) {
        val lanes = ready.values.filter { it.remove(team) }
        team.virtualTime = newVirtualTime
        lanes.forEach { it.add(team) }
    }

    // Drops removed requests from the heaps, where they would otherwise accumulate until they are due.
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
        /** Number of starts in higher lanes after which a lane with ready requests is served next. */
        public const val MAX_SKIPPED_STARTS: Int = 32
        private const val MIN_HEAP_SIZE = 64
    }
}
