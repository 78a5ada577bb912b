package org.verbenagauge.entry.admission

import org.verbenagauge.entry.Reason
import org.verbenagauge.entry.Verdict
import org.verbenagauge.entry.model.Resource
import org.verbenagauge.entry.placement.EndpointPool
import org.verbenagauge.entry.placement.EndpointView
import org.verbenagauge.entry.placement.Placement
import org.verbenagauge.entry.placement.PlacementNotice
import org.verbenagauge.entry.rights.FleetService
import org.verbenagauge.entry.rights.Rights
import org.verbenagauge.entry.rights.noFleetService
import org.verbenagauge.entry.state.document.QueueClass

/**
 * Schedules the requests of one pool: decides when a waiting request starts and on which endpoint, whether it is
 * retried, and which requests are refused. It reads no clock and does no I/O. It is not thread-safe: the caller must
 * deliver one event at a time.
 *
 * @param maxQueued maximum number of requests that wait for the pool.
 * @param fleetService requests that other entries have started.
 * @param seed seed of the random choices among endpoints.
 */
public class Dispatcher(
    private val poolId: String,
    private val rights: Rights,
    private val maxQueued: Int,
    fleetService: FleetService = noFleetService,
    seed: Long = 0,
) {
    private val waiting = FairQueue()
    private val bounds = BacklogBounds(maxQueued)
    private val endpoints = EndpointPool(rights, seed)
    private val runTimes = PoolRunTimes()
    private val retryBudget = RetryBudget()
    private val retainedRights = RetainedRights(rights)
    private val requests = HashMap<Long, RequestState>()
    private val runningByTeam = HashMap<String, Int>()
    private val remoteStarts = RemoteStarts(poolId, fleetService)
    private val runningStates = LinkedHashSet<RequestState>()
    private var stopByMillis: Long? = null

    /** Number of waiting requests. */
    public val queued: Int get() = waiting.size

    /** Number of running requests. */
    public val runningCount: Int get() = runningStates.size

    /** Number of ended attempts whose rights are retained because the request may still be running. */
    public val retainedCount: Int get() = retainedRights.size

    /** Instances whose endpoints are currently ejected. */
    public val ejectedIds: Set<String> get() = endpoints.ejectedIds

    /** Number of waiting requests of each team that has any. */
    public val waitingByTeam: Map<String, Int> get() = waiting.waitingByTeam

    /** Number of waiting requests of queues of [queueClass]. */
    public fun waitingCount(queueClass: QueueClass): Int = waiting.waitingCount(queueClass)

    /** Returns the notices for operators since the last call, and clears them. */
    public fun takeNotices(): List<PlacementNotice> = endpoints.takeNotices()

    /** Handles the arrival of [request]. */
    public fun submit(
        request: JobRequest,
        nowMillis: Long,
    ): List<DispatchAction> {
        val state = RequestState(request, runTimes.expectedMillis(request.queue.id, request.team.id))
        val infeasible = infeasibleReason(state, nowMillis)
        if (infeasible != null) return listOf(refuse(state, infeasible))
        val victim =
            when (val outcome = bounds.check(state.waiting, request.team.shareWeight, request.queue.maxQueued)) {
                is BoundsOutcome.Fits -> null
                is BoundsOutcome.Full -> return listOf(refuse(state, Reason.QUEUE_FULL))
                is BoundsOutcome.Replaces -> removeWaiting(outcome.victimId)
            }
        requests[request.id] = state
        enqueue(state)
        return listOfNotNull(victim?.let { refuse(it, Reason.QUEUE_SHED) }) + startAll(nowMillis)
    }

    /**
     * Handles that the caller of request [id] has disconnected. A waiting request is removed. A running one keeps its
     * slot and its right until it ends, and is not retried.
     *
     * @return whether the request was waiting.
     */
    public fun cancel(id: Long): Boolean {
        val state = requests[id] ?: return false
        state.cancelled = true
        if (state.placement != null) return false
        removeWaiting(id)
        return true
    }

    /** Handles the end of an attempt. */
    public fun attemptEnded(
        end: AttemptEnd,
        nowMillis: Long,
    ): List<DispatchAction> {
        val state = requests[end.id] ?: return emptyList()
        val placement = state.placement ?: return emptyList()
        releasePlacement(state, placement, end, nowMillis)
        if (end.reason.verdict != Verdict.NOT_RUN) state.mayHaveRun = true
        val retryMayHelp = recordOutcome(state, placement, end, nowMillis)
        val action =
            when {
                retryMayHelp && isRetryAllowed(state, end, nowMillis) -> retry(state, placement, nowMillis)
                else -> deliver(state)
            }
        return listOfNotNull(action) + startAll(nowMillis)
    }

    /** Handles a new view of the endpoints of the pool, of which [maxAway] instances may be unavailable at a time. */
    public fun update(
        views: List<EndpointView>,
        maxAway: Int,
        nowMillis: Long,
    ): List<DispatchAction> {
        endpoints.update(views, maxAway)
        return startAll(nowMillis)
    }

    /**
     * Refuses requests that have waited too long and starts those that may start. Must be called periodically and
     * after rights were gained by other means than events of this pool.
     */
    public fun tick(nowMillis: Long): List<DispatchAction> {
        retainedRights.releaseExpired(nowMillis)
        chargeOverruns(nowMillis)
        chargeRemoteStarts()
        waiting.unblockAll()
        endpoints.resetCandidates()
        return startAll(nowMillis)
    }

    /**
     * Stops accepting new requests. From now on a waiting request starts only if its maximum run time ends by
     * [stopByMillis]; otherwise it is refused when its turn comes.
     */
    public fun stop(
        stopByMillis: Long,
        nowMillis: Long,
    ): List<DispatchAction> {
        this.stopByMillis = stopByMillis
        return startAll(nowMillis)
    }

    // Returns the reason why the request can't start before its deadline, or null if it may.
    private fun infeasibleReason(
        state: RequestState,
        nowMillis: Long,
    ): Reason? {
        val request = state.request
        return when {
            endpoints.isEmpty -> Reason.POOL_EMPTY
            request.team.maxRunning == 0 -> Reason.TEAM_LIMIT_ZERO
            !endpoints.isServing() -> Reason.NO_ENDPOINT
            stopByMillis != null -> Reason.ENTRY_STOPPING
            request.startByMillis <= nowMillis -> Reason.DEADLINE_EXCEEDED
            nowMillis + expectedWaitMillis(state) > request.startByMillis -> Reason.DEADLINE_UNREACHABLE
            else -> null
        }
    }

    // While requests wait, all slots of this entry are in use, so the running requests count its slots. In the same
    // way a team at its limit has as many slots as it has running requests.
    private fun expectedWaitMillis(state: RequestState): Double {
        if (runningStates.isEmpty()) return 0.0
        val backlogWaitMillis = waiting.workAheadMillis(state.waiting, state.request.team.shareWeight) / runningCount
        // Teams without waiting requests can still send some that start first. The recent start rate accounts for them.
        val poolWaitMillis = maxOf(backlogWaitMillis, waiting.drainMillis(state.waiting))
        val teamRunningCount = runningByTeam[state.request.team.id] ?: return poolWaitMillis
        if (rights.free(Resource.Team(state.request.team.id)) > 0) return poolWaitMillis
        return maxOf(poolWaitMillis, waiting.teamWorkMillis(state.waiting) / teamRunningCount)
    }

    private fun refuse(
        state: RequestState,
        reason: Reason,
    ): DispatchAction {
        // A refusal states that the request has not run, but an earlier attempt may have run it.
        if (state.mayHaveRun) return DispatchAction.Deliver(state.request.id)
        val retryAfterMillis = maxOf(MIN_RETRY_AFTER_MILLIS, expectedWaitMillis(state).toLong())
        return DispatchAction.Refuse(state.request.id, reason, retryAfterMillis)
    }

    private fun enqueue(state: RequestState) {
        waiting.add(state.waiting, state.request.team.shareWeight)
        bounds.add(state.waiting, state.request.team.shareWeight)
    }

    private fun removeWaiting(id: Long): RequestState? {
        val removed = waiting.remove(id) ?: return null
        bounds.remove(removed)
        return requests.remove(id)
    }

    private fun startAll(nowMillis: Long): List<DispatchAction> {
        val expired = waiting.advance(nowMillis)
        expired.forEach(bounds::remove)
        val refused = expired.mapNotNull { requests.remove(it.id) }.map { refuse(it, Reason.DEADLINE_EXCEEDED) }
        val started = ArrayList<DispatchAction>(refused)
        while (true) started += startOne(nowMillis) ?: return started
    }

    private fun startOne(nowMillis: Long): DispatchAction? {
        if (waiting.size == 0 || !endpoints.mayHaveSlot(nowMillis)) return null
        val next = waiting.peek { rights.tryTake(Resource.Team(it)) } ?: return null
        val state = requests.getValue(next.id)
        if (isTooLateForStop(state, nowMillis)) {
            releaseTeamRight(next.teamId)
            removeWaiting(next.id)
            return refuse(state, Reason.ENTRY_STOPPING)
        }
        val placement = endpoints.acquireSlot(state.placementNeed(nowMillis), nowMillis)
        if (placement == null) {
            releaseTeamRight(next.teamId)
            return null
        }
        start(state, placement, nowMillis)
        return DispatchAction.Start(next.id, placement.address)
    }

    private fun isTooLateForStop(
        state: RequestState,
        nowMillis: Long,
    ): Boolean = stopByMillis?.let { nowMillis + state.request.queue.maxRunMillis > it } ?: false

    private fun start(
        state: RequestState,
        placement: Placement,
        nowMillis: Long,
    ) {
        // More run times may be known now than at the arrival.
        val expectedMillis = runTimes.expectedMillis(state.request.queue.id, state.request.team.id)
        waiting.start(state.request.id, expectedMillis, nowMillis)
        bounds.remove(state.waiting)
        if (state.attempts == 0) retryBudget.countRequest()
        state.attempts++
        state.placement = placement
        state.startedAtMillis = nowMillis
        state.chargedMillis = expectedMillis
        runningStates += state
        runningByTeam.merge(state.request.team.id, 1, Int::plus)
        rights.reportStarted(poolId, state.request.team.id)
    }

    private fun releasePlacement(
        state: RequestState,
        placement: Placement,
        end: AttemptEnd,
        nowMillis: Long,
    ) {
        val teamId = state.request.team.id
        val instanceId = placement.address.instanceId
        runningStates -= state
        rights.reportEnded(poolId, teamId)
        if (runningByTeam.merge(teamId, -1, Int::plus) == 0) runningByTeam.remove(teamId)
        state.placement = null
        if (end.reason.verdict == Verdict.MAY_HAVE_RUN) {
            // The endpoint may have started the request as late as now, and ends it after its maximum run time.
            retainedRights.add(RetainedRights.Entry(teamId, instanceId, nowMillis + state.request.queue.maxRunMillis))
            return
        }
        releaseTeamRight(teamId)
        rights.release(Resource.Slot(instanceId))
        endpoints.onSlotReleased(instanceId)
    }

    private fun releaseTeamRight(teamId: String) {
        rights.release(Resource.Team(teamId))
        waiting.unblock(teamId)
    }

    // Updates run times, charges and endpoint health; returns whether a retry on another endpoint may succeed.
    private fun recordOutcome(
        state: RequestState,
        placement: Placement,
        end: AttemptEnd,
        nowMillis: Long,
    ): Boolean {
        val request = state.request
        val instanceId = placement.address.instanceId
        val runMillis = (nowMillis - state.startedAtMillis).toDouble()
        val didRun = end.reason.verdict != Verdict.NOT_RUN
        waiting.charge(request.team.id, (if (didRun) runMillis else 0.0) - state.chargedMillis)
        if (didRun) runTimes.add(request.queue.id, request.team.id, runMillis)
        return when {
            end.reason == Reason.ENDPOINT_DRAINING -> endpoints.recordDraining(instanceId, nowMillis).let { true }
            end.reason == Reason.CONNECT_FAILED -> endpoints.recordFailure(instanceId, request.id, null, nowMillis)
            end.failedOnEndpoint || end.reason in failuresAfterStart ->
                endpoints.recordFailure(instanceId, request.id, request.jobKey.value, nowMillis)
            end.reason == Reason.SERVED ->
                endpoints.recordSuccess(placement, request.jobKey, runMillis).let { false }
            else -> endpoints.recordInconclusive(placement).let { false }
        }
    }

    private fun isRetryAllowed(
        state: RequestState,
        end: AttemptEnd,
        nowMillis: Long,
    ): Boolean {
        val queue = state.request.queue
        val mayRunAgain = queue.idempotent || end.reason.verdict == Verdict.NOT_RUN
        return mayRunAgain &&
            !state.cancelled &&
            state.attempts < MAX_ATTEMPTS &&
            nowMillis < state.request.startByMillis &&
            bounds.hasCapacity(queue.id, queue.maxQueued) &&
            retryBudget.tryTake()
    }

    private fun retry(
        state: RequestState,
        placement: Placement,
        nowMillis: Long,
    ): DispatchAction? {
        state.avoidInstance(placement.address.instanceId, nowMillis + AVOID_TRIED_MILLIS)
        enqueue(state)
        return null
    }

    private fun deliver(state: RequestState): DispatchAction =
        DispatchAction.Deliver(state.request.id).also { requests.remove(it.id) }

    // A run that takes longer than expected is charged while it is still running. Otherwise a team with unknown run
    // times could occupy all slots before its first request ends.
    private fun chargeOverruns(nowMillis: Long) {
        val maxLead = MAX_OVERRUN_LEAD_MILLIS * runningCount / maxOf(1, waiting.maxWaitingWeight())
        for (state in runningStates) {
            val runMillis = (nowMillis - state.startedAtMillis).toDouble()
            if (runMillis <= state.chargedMillis) continue
            waiting.chargeOverrun(state.request.team.id, runMillis - state.chargedMillis, maxLead)
            state.chargedMillis = runMillis
        }
    }

    private fun chargeRemoteStarts() {
        for ((teamId, starts) in remoteStarts.newStarts(waiting.waitingByTeam.keys)) {
            waiting.charge(teamId, starts * runTimes.overallMeanMillis)
        }
    }

    private companion object {
        const val MAX_ATTEMPTS = 3
        const val MIN_RETRY_AFTER_MILLIS = 100L
        const val MAX_OVERRUN_LEAD_MILLIS = 5_000.0
        const val AVOID_TRIED_MILLIS = 200L
        val failuresAfterStart = setOf(Reason.CONNECTION_LOST, Reason.ANSWER_TIMEOUT, Reason.ANSWER_INVALID)
    }
}
