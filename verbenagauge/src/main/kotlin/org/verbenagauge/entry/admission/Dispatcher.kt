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
 * Decides when a waiting request starts, on which endpoint, whether it is tried again, and what is refused,
 * for one pool. A pure decision: it knows no clock and does no I/O, and its caller makes sure that one event
 * is handled at a time.
 *
 * @param maxQueued requests that wait at once for the pool.
 * @param seed seed of the choices among endpoints.
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
    private val runTimes = RunTimes()
    private val retryBudget = RetryBudget()
    private val held = HeldRights(rights)
    private val requests = HashMap<Long, RequestState>()
    private val runningByTeam = HashMap<String, Int>()
    private val elsewhere = ServiceElsewhere(poolId, fleetService)
    private val runningStates = LinkedHashSet<RequestState>()
    private var stopByMillis: Long? = null

    /** Number of waiting requests. */
    public val queued: Int get() = waiting.size

    /** Number of running requests. */
    public val runningCount: Int get() = runningStates.size

    /** Number of requests whose rights are held because they may still be running. */
    public val heldCount: Int get() = held.size

    /** Endpoints that are ejected now. */
    public val ejectedIds: Set<String> get() = endpoints.ejectedIds

    /** Teams that have waiting requests, with the number of them. */
    public val waitingByTeam: Map<String, Int> get() = waiting.waitingByTeam

    /** Number of waiting requests of queues of [queueClass]. */
    public fun waitingOf(queueClass: QueueClass): Int = waiting.waitingOf(queueClass)

    /** Returns what operators should see, once. */
    public fun takeNotices(): List<PlacementNotice> = endpoints.takeNotices()

    /** Handles the arrival of [request]. */
    public fun submit(
        request: JobRequest,
        nowMillis: Long,
    ): List<DispatchAction> {
        val state = RequestState(request, runTimes.expectedMillis(request.queue.id, request.team.id))
        val hopeless = hopelessReason(state, nowMillis)
        if (hopeless != null) return listOf(refuse(state, hopeless))
        val victim =
            when (val outcome = bounds.check(state.waiting, request.team.shareWeight, request.queue.maxQueued)) {
                is BoundsOutcome.Fits -> null
                is BoundsOutcome.Full -> return listOf(refuse(state, Reason.QUEUE_FULL))
                is BoundsOutcome.Replaces -> withdraw(outcome.victimId)
            }
        requests[request.id] = state
        enqueue(state)
        return listOfNotNull(victim?.let { refuse(it, Reason.QUEUE_SHED) }) + startAll(nowMillis)
    }

    /**
     * Handles that the caller of [id] has left. A waiting request will not run; a running one keeps its slot
     * and its right to its end and is not tried again.
     *
     * @return whether the request was waiting.
     */
    public fun cancel(id: Long): Boolean {
        val state = requests[id] ?: return false
        state.cancelled = true
        if (state.placement != null) return false
        withdraw(id)
        return true
    }

    /** Handles the end of an attempt. */
    public fun ended(
        end: AttemptEnd,
        nowMillis: Long,
    ): List<DispatchAction> {
        val state = requests[end.id] ?: return emptyList()
        val placement = state.placement ?: return emptyList()
        leaveEndpoint(state, placement, end, nowMillis)
        if (end.reason.verdict != Verdict.NOT_RUN) state.mayHaveRun = true
        val mayHelp = learn(state, placement, end, nowMillis)
        val own =
            when {
                mayHelp && isRetryAllowed(state, end, nowMillis) -> retry(state, placement, nowMillis)
                else -> conclude(state)
            }
        return listOfNotNull(own) + startAll(nowMillis)
    }

    /** Handles a new view of the pool, of which [maxAway] instances may be away. */
    public fun update(
        views: List<EndpointView>,
        maxAway: Int,
        nowMillis: Long,
    ): List<DispatchAction> {
        endpoints.update(views, maxAway)
        return startAll(nowMillis)
    }

    /** Refuses what has waited too long and starts what may start, also by rights that were gained elsewhere. */
    public fun tick(nowMillis: Long): List<DispatchAction> {
        held.releaseDue(nowMillis)
        chargeOverruns(nowMillis)
        chargeServiceElsewhere()
        waiting.unblockAll()
        endpoints.resetCandidates()
        return startAll(nowMillis)
    }

    /**
     * Starts only what is sure to end before [stopByMillis], and refuses the rest as soon as that can't be;
     * new requests are not submitted any more.
     */
    public fun stop(
        stopByMillis: Long,
        nowMillis: Long,
    ): List<DispatchAction> {
        this.stopByMillis = stopByMillis
        return startAll(nowMillis)
    }

    // Returns why the request can't run, or not in time, or null.
    private fun hopelessReason(
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

    // The slots of this entry are those in use, as long as anything waits; a team at its limit has those it uses.
    private fun expectedWaitMillis(state: RequestState): Double {
        if (runningStates.isEmpty()) return 0.0
        val ofWork = waiting.workAheadMillis(state.waiting, state.request.team.shareWeight) / runningCount
        // Teams that wait with nothing now will still go ahead with what they send next; the pace shows it.
        val ofPool = maxOf(ofWork, waiting.drainMillis(state.waiting))
        val ofTeam = runningByTeam[state.request.team.id] ?: return ofPool
        if (rights.free(Resource.Team(state.request.team.id)) > 0) return ofPool
        return maxOf(ofPool, waiting.workOfTeamMillis(state.waiting) / ofTeam)
    }

    private fun refuse(
        state: RequestState,
        reason: Reason,
    ): DispatchAction {
        // A refusal says not-run, which an earlier attempt may belie.
        if (state.mayHaveRun) return DispatchAction.Deliver(state.request.id)
        val retryAfterMillis = maxOf(MIN_RETRY_AFTER_MILLIS, expectedWaitMillis(state).toLong())
        return DispatchAction.Refuse(state.request.id, reason, retryAfterMillis)
    }

    private fun enqueue(state: RequestState) {
        waiting.add(state.waiting, state.request.team.shareWeight)
        bounds.add(state.waiting, state.request.team.shareWeight)
    }

    private fun withdraw(id: Long): RequestState? {
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
            giveBackTeamRight(next.teamId)
            withdraw(next.id)
            return refuse(state, Reason.ENTRY_STOPPING)
        }
        val placement = endpoints.acquireSlot(state.need(nowMillis), nowMillis)
        if (placement == null) {
            giveBackTeamRight(next.teamId)
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
        // What is known now counts, not what was known at the arrival.
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

    private fun leaveEndpoint(
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
            // The endpoint may have begun as late as now, and ends the request after its longest run.
            held.add(HeldRights.Hold(teamId, instanceId, nowMillis + state.request.queue.maxRunMillis))
            return
        }
        giveBackTeamRight(teamId)
        rights.release(Resource.Slot(instanceId))
        endpoints.onSlotReleased(instanceId)
    }

    private fun giveBackTeamRight(teamId: String) {
        rights.release(Resource.Team(teamId))
        waiting.unblock(teamId)
    }

    // Returns whether another endpoint may do better.
    private fun learn(
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
            bounds.hasPlace(queue.id, queue.maxQueued) &&
            retryBudget.tryTake()
    }

    private fun retry(
        state: RequestState,
        placement: Placement,
        nowMillis: Long,
    ): DispatchAction? {
        state.avoid(placement.address.instanceId, nowMillis + STRICT_RETRY_MILLIS)
        enqueue(state)
        return null
    }

    private fun conclude(state: RequestState): DispatchAction =
        DispatchAction.Deliver(state.request.id).also { requests.remove(it.id) }

    // A run that takes longer than expected is charged while it goes on; else a team of unknown run time could take
    // all slots before its first request has ended.
    private fun chargeOverruns(nowMillis: Long) {
        val maxLead = MAX_LEAD_MILLIS * runningCount / maxOf(1, waiting.waitingWeight())
        for (state in runningStates) {
            val runMillis = (nowMillis - state.startedAtMillis).toDouble()
            if (runMillis <= state.chargedMillis) continue
            waiting.chargeOverrun(state.request.team.id, runMillis - state.chargedMillis, maxLead)
            state.chargedMillis = runMillis
        }
    }

    private fun chargeServiceElsewhere() {
        for ((teamId, starts) in elsewhere.newStarts(waiting.waitingByTeam.keys)) {
            waiting.charge(teamId, starts * runTimes.meanOfAllMillis)
        }
    }

    private companion object {
        const val MAX_ATTEMPTS = 3
        const val MIN_RETRY_AFTER_MILLIS = 100L
        const val MAX_LEAD_MILLIS = 5_000.0
        const val STRICT_RETRY_MILLIS = 200L
        val failuresAfterStart = setOf(Reason.CONNECTION_LOST, Reason.ANSWER_TIMEOUT, Reason.ANSWER_INVALID)
    }
}
