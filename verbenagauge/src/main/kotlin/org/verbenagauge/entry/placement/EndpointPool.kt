package org.verbenagauge.entry.placement

import org.verbenagauge.entry.model.Resource
import org.verbenagauge.entry.rights.Rights
import kotlin.random.Random

/**
 * Address of an endpoint.
 *
 * @property instanceId instance that runs the endpoint.
 * @property host IP address.
 * @property port TCP port.
 */
public data class EndpointAddress(
    val instanceId: String,
    val host: String,
    val port: Int,
)

/**
 * Endpoint of a pool according to the entry's current view of the fleet.
 *
 * @property acceptsNewWork whether new work may be placed on the endpoint.
 */
public data class EndpointView(
    val address: EndpointAddress,
    val acceptsNewWork: Boolean,
)

/**
 * Slot acquired for a request.
 *
 * @property address endpoint that the slot belongs to.
 * @property isProbe whether the request tests if an excluded endpoint works again.
 */
public data class Placement(
    val address: EndpointAddress,
    val isProbe: Boolean = false,
)

/**
 * Requirements of a request for its endpoint.
 *
 * @property idempotent whether the request is idempotent; only such requests probe an ejected endpoint early.
 * @property triedInstanceIds instances of the earlier attempts, which the request avoids.
 * @property mayRepeat whether the request may use one of [triedInstanceIds] again instead of waiting longer.
 */
public data class PlacementNeed(
    val idempotent: Boolean,
    val triedInstanceIds: Set<String> = emptySet(),
    val mayRepeat: Boolean = false,
)

/**
 * Endpoints of one pool. Chooses an endpoint with a free slot for each request and performs no I/O.
 *
 * Uses the power of two choices (Mitzenmacher, 2001): compares two random endpoints by free slots, then by mean run
 * time. Endpoints that are suspect come last.
 *
 * @param seed seed of the random choices.
 */
public class EndpointPool(
    private val rights: Rights,
    seed: Long = 0,
) {
    private val random = Random(seed)
    private var states = LinkedHashMap<String, EndpointState>()
    private val candidates = ArrayList<EndpointState>()
    private val excluded = LinkedHashSet<EndpointState>()
    private val failedJobs = FailedJobs()
    private val notices = ArrayList<PlacementNotice>()
    private var maxAway = 0
    private var awayCount = 0
    private var liveCount = 0

    /** Whether the pool has no instances. */
    public val isEmpty: Boolean get() = states.isEmpty()

    /** IDs of the instances whose endpoints are currently ejected. */
    public val ejectedIds: Set<String>
        get() = excluded.filter { it.exclusion?.kind == ExclusionKind.EJECTED }.map { it.instanceId }.toSet()

    /** Replaces the view of the pool; running requests keep their slots. */
    public fun update(
        endpoints: List<EndpointView>,
        maxAway: Int = this.maxAway,
    ) {
        this.maxAway = maxAway
        states = endpoints.associateTo(LinkedHashMap()) { it.address.instanceId to updatedState(it) }
        excluded.retainAll(states.values.toSet())
        awayCount = states.values.count { !it.view.acceptsNewWork }
        liveCount = states.size - awayCount
        excluded.filter { !it.view.acceptsNewWork }.forEach(::endExclusion)
        enforceBudget()
        resetCandidates()
    }

    /** Whether any endpoint may get work, now or once a slot is free. */
    public fun isServing(): Boolean = liveCount > 0

    /** Whether [acquireSlot] may find a slot. */
    public fun mayHaveSlot(nowMillis: Long): Boolean =
        candidates.isNotEmpty() || excluded.any { it.isProbeDue(idempotent = true, nowMillis) }

    /** Acquires a slot for a request with [need]; returns null when none is free. */
    public fun acquireSlot(
        need: PlacementNeed,
        nowMillis: Long,
    ): Placement? = acquireProbeSlot(need, nowMillis) ?: acquireCandidateSlot(need)

    /** Handles the release of a slot of [instanceId]. */
    public fun onSlotReleased(instanceId: String) {
        states[instanceId]?.let(::addCandidate)
    }

    /** Reconsiders all endpoints; to be called when slots may have become free other than by [onSlotReleased]. */
    public fun resetCandidates() {
        candidates.forEach { it.candidateIndex = -1 }
        candidates.clear()
        states.values.forEach(::addCandidate)
    }

    /** Records that a job succeeded on its [placement] in [runMillis] milliseconds. */
    public fun recordSuccess(
        placement: Placement,
        jobKey: Lazy<Long>,
        runMillis: Double,
    ) {
        failedJobs.recordSuccess(jobKey)
        val state = states[placement.address.instanceId] ?: return
        state.recordSuccess(runMillis)
        if (placement.isProbe && state.exclusion != null) restore(state)
    }

    /**
     * Records that the request [requestId] failed on [instanceId].
     *
     * @param jobKey identifies the job across its retries, or null when the failure cannot be the fault of the job.
     * @return whether the job may be tried on another endpoint: false when it has already failed on several.
     */
    public fun recordFailure(
        instanceId: String,
        requestId: Long,
        jobKey: Long?,
        nowMillis: Long,
    ): Boolean {
        val state = states[instanceId] ?: return true
        val blamed = isJobFault(state, requestId, jobKey)
        if (!blamed) state.recordFailure()
        if (state.exclusion != null) {
            if (blamed) restore(state) else state.exclude(state.exclusion!!.kind, notRun = jobKey == null, nowMillis)
        } else if (!blamed) {
            ejectIfFailing(state, notRun = jobKey == null, nowMillis)
        }
        return !blamed
    }

    /** Records that the endpoint of [instanceId] reported that it is draining. */
    public fun recordDraining(
        instanceId: String,
        nowMillis: Long,
    ) {
        val state = states[instanceId] ?: return
        if (state.exclusion == null) notices += PlacementNotice.Draining(instanceId)
        exclude(state, ExclusionKind.DRAINING, notRun = true, nowMillis)
    }

    /** Records that the request of [placement] ended without evidence of the endpoint's health. */
    public fun recordInconclusive(placement: Placement) {
        if (placement.isProbe) states[placement.address.instanceId]?.exclusion?.probeInFlight = false
    }

    /** Returns the notices for operators since the last call, and clears them. */
    public fun takeNotices(): List<PlacementNotice> {
        if (notices.isEmpty()) return emptyList()
        return notices.toList().also { notices.clear() }
    }

    private fun updatedState(view: EndpointView): EndpointState {
        val existing = states[view.address.instanceId] ?: return EndpointState(view)
        if (existing.view.address != view.address) return EndpointState(view)
        return existing.also { it.view = view }
    }

    // Returns whether the failure is the fault of the job and not of the endpoint.
    private fun isJobFault(
        state: EndpointState,
        requestId: Long,
        jobKey: Long?,
    ): Boolean {
        if (jobKey == null) return false
        if (failedJobs.isFaulty(jobKey)) return true
        val isHealthy = state.consecutiveFailures == 0 && state.exclusion == null
        if (!isHealthy) return false
        val instanceIds = failedJobs.add(jobKey, state.instanceId)
        if (instanceIds.isEmpty()) return false
        notices += PlacementNotice.FaultyJob(requestId, instanceIds)
        instanceIds.filter { it != state.instanceId }.forEach { states[it]?.withdrawFailure() }
        return true
    }

    private fun ejectIfFailing(
        state: EndpointState,
        notRun: Boolean,
        nowMillis: Long,
    ) {
        if (!state.isFailing(othersFailureRatio(state))) return
        if (ejectedCount() < maxAway - awayCount) {
            exclude(state, ExclusionKind.EJECTED, notRun, nowMillis)
            notices += PlacementNotice.Ejected(state.instanceId)
        } else if (!state.suspect) {
            state.suspect = true
            notices += PlacementNotice.BudgetExhausted(state.instanceId)
        }
    }

    private fun othersFailureRatio(state: EndpointState): Double {
        val others = states.values.filter { it !== state && it.view.acceptsNewWork && it.hasOutcomes }
        return if (others.isEmpty()) 1.0 else others.sumOf { it.failureRatio } / others.size
    }

    private fun ejectedCount() = excluded.count { it.exclusion?.kind == ExclusionKind.EJECTED }

    // Instances that accept no new work, planned or not, use the budget first. Ejections beyond the rest of the budget
    // end, the earliest first.
    private fun enforceBudget() {
        val excess = ejectedCount() - maxOf(0, maxAway - awayCount)
        excluded.filter { it.exclusion?.kind == ExclusionKind.EJECTED }.take(maxOf(0, excess)).forEach {
            endExclusion(it)
            it.suspect = true
        }
    }

    private fun exclude(
        state: EndpointState,
        kind: ExclusionKind,
        notRun: Boolean,
        nowMillis: Long,
    ) {
        state.exclude(kind, notRun, nowMillis)
        excluded.add(state)
        removeCandidate(state)
    }

    private fun restore(state: EndpointState) {
        endExclusion(state)
        notices += PlacementNotice.Restored(state.instanceId)
    }

    private fun endExclusion(state: EndpointState) {
        excluded.remove(state)
        state.readmit()
        addCandidate(state)
    }

    private fun acquireProbeSlot(
        need: PlacementNeed,
        nowMillis: Long,
    ): Placement? {
        if (excluded.isEmpty() || need.triedInstanceIds.isNotEmpty()) return null
        val state = excluded.firstOrNull { it.isProbeDue(need.idempotent, nowMillis) } ?: return null
        if (!rights.tryTake(Resource.Slot(state.instanceId))) return null
        state.exclusion?.probeInFlight = true
        return Placement(state.view.address, isProbe = true)
    }

    private fun acquireCandidateSlot(need: PlacementNeed): Placement? {
        val strict = need.triedInstanceIds.isNotEmpty() && !need.mayRepeat && liveCount > need.triedInstanceIds.size
        val avoided = if (strict) need.triedInstanceIds else emptySet()
        while (true) {
            val state = choose(avoided) ?: return null
            if (rights.tryTake(Resource.Slot(state.instanceId))) return Placement(state.view.address)
            removeCandidate(state)
        }
    }

    private fun choose(avoided: Set<String>): EndpointState? {
        if (candidates.isEmpty()) return null
        if (avoided.isNotEmpty()) return candidates.filter { it.instanceId !in avoided }.minWithOrNull(preference)
        val first = candidates[random.nextInt(candidates.size)]
        val second = candidates[random.nextInt(candidates.size)]
        val better = minOf(first, second, preference)
        return if (better.suspect) candidates.minWith(preference) else better
    }

    private val preference =
        compareBy<EndpointState>(
            { it.suspect },
            { -rights.free(Resource.Slot(it.instanceId)) },
            { it.meanRunMillis },
        )

    private fun addCandidate(state: EndpointState) {
        if (!state.acceptsOrdinaryWork || state.candidateIndex >= 0) return
        state.candidateIndex = candidates.size
        candidates.add(state)
    }

    private fun removeCandidate(state: EndpointState) {
        val index = state.candidateIndex
        if (index < 0) return
        val last = candidates.removeAt(candidates.size - 1)
        if (last !== state) {
            candidates[index] = last
            last.candidateIndex = index
        }
        state.candidateIndex = -1
    }

    private fun EndpointState.isProbeDue(
        idempotent: Boolean,
        nowMillis: Long,
    ): Boolean = exclusion?.isProbeDue(idempotent, nowMillis) ?: false
}
