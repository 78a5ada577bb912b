package org.verbenagauge.entry.placement

import org.verbenagauge.entry.model.Resource
import org.verbenagauge.entry.rights.Rights
import kotlin.random.Random

/**
 * Address of an endpoint.
 *
 * @property instanceId instance that runs it.
 * @property host IP number.
 * @property port TCP port.
 */
public data class EndpointAddress(
    val instanceId: String,
    val host: String,
    val port: Int,
)

/**
 * An endpoint of a pool as the entry sees it.
 *
 * @property address address.
 * @property mayStart whether new work may be placed there.
 */
public data class EndpointView(
    val address: EndpointAddress,
    val mayStart: Boolean,
)

/**
 * A slot that was taken for a request.
 *
 * @property address endpoint of the slot.
 * @property isProbe whether the request shows if an absent endpoint works again.
 */
public data class Placement(
    val address: EndpointAddress,
    val isProbe: Boolean = false,
)

/**
 * What a request needs of its endpoint.
 *
 * @property idempotent whether it may probe an ejected endpoint.
 * @property triedInstanceIds endpoints that it has tried before and avoids.
 * @property mayRepeat whether it goes to one of [triedInstanceIds] again rather than wait longer.
 */
public data class PlacementNeed(
    val idempotent: Boolean,
    val triedInstanceIds: Set<String> = emptySet(),
    val mayRepeat: Boolean = false,
)

/**
 * Endpoints of one pool, and the choice among those with a free slot. A pure decision.
 *
 * Method: power of two choices (Mitzenmacher, 2001) on the free slots, then on the learned run time.
 *
 * @param seed seed of the choices.
 */
public class EndpointPool(
    private val rights: Rights,
    seed: Long = 0,
) {
    private val random = Random(seed)
    private var states = LinkedHashMap<String, EndpointState>()
    private val open = ArrayList<EndpointState>()
    private val absent = LinkedHashSet<EndpointState>()
    private val failedJobs = FailedJobs()
    private val notices = ArrayList<PlacementNotice>()
    private var maxAway = 0
    private var awayCount = 0
    private var liveCount = 0

    /** Whether the pool has no instance at all. */
    public val isEmpty: Boolean get() = states.isEmpty()

    /** Endpoints that are ejected now. */
    public val ejectedIds: Set<String>
        get() = absent.filter { it.absence?.kind == AbsenceKind.EJECTED }.map { it.instanceId }.toSet()

    /** Replaces the view of the pool; running requests keep their slots. */
    public fun update(
        endpoints: List<EndpointView>,
        maxAway: Int = this.maxAway,
    ) {
        this.maxAway = maxAway
        states = endpoints.associateTo(LinkedHashMap()) { it.address.instanceId to updatedState(it) }
        absent.retainAll(states.values.toSet())
        awayCount = states.values.count { !it.view.mayStart }
        liveCount = states.size - awayCount
        absent.filter { !it.view.mayStart }.forEach(::forgetAbsence)
        keepBudget()
        reopenAll()
    }

    /** Whether any endpoint may take work, now or once a slot is free. */
    public fun isServing(): Boolean = liveCount > 0

    /** Whether [take] may find a slot. */
    public fun mayHaveSlot(nowMillis: Long): Boolean =
        open.isNotEmpty() || absent.any { it.isProbeDue(idempotent = true, nowMillis) }

    /** Takes a slot for a request with [need]; null when none is free. */
    public fun take(
        need: PlacementNeed,
        nowMillis: Long,
    ): Placement? = takeProbe(need, nowMillis) ?: takeOpen(need)

    /** Handles that a slot of [instanceId] was given back. */
    public fun released(instanceId: String) {
        states[instanceId]?.let(::reopen)
    }

    /** Handles that slots may have become free other than by [released]. */
    public fun reopenAll() {
        open.forEach { it.openIndex = -1 }
        open.clear()
        states.values.forEach(::reopen)
    }

    /** Handles that a job ran in [runMillis] on its [placement]. */
    public fun succeeded(
        placement: Placement,
        jobKey: Lazy<Long>,
        runMillis: Double,
    ) {
        failedJobs.succeeded(jobKey)
        val state = states[placement.address.instanceId] ?: return
        state.succeeded(runMillis)
        if (placement.isProbe && state.absence != null) restore(state)
    }

    /**
     * Handles that the request [requestId] failed on [instanceId].
     *
     * @param jobKey names the job over its retries, or null when the failure can't be the fault of the job.
     * @return whether the job may be tried on another endpoint: false when it failed on several already.
     */
    public fun failed(
        instanceId: String,
        requestId: Long,
        jobKey: Long?,
        nowMillis: Long,
    ): Boolean {
        val state = states[instanceId] ?: return true
        val blamed = blameJob(state, requestId, jobKey)
        if (!blamed) state.failed()
        if (state.absence != null) {
            if (blamed) restore(state) else state.leave(state.absence!!.kind, refuses = jobKey == null, nowMillis)
        } else if (!blamed) {
            considerEjection(state, refuses = jobKey == null, nowMillis)
        }
        return !blamed
    }

    /** Handles that [instanceId] said that it drains. */
    public fun draining(
        instanceId: String,
        nowMillis: Long,
    ) {
        val state = states[instanceId] ?: return
        if (state.absence == null) notices += PlacementNotice.Draining(instanceId)
        leave(state, AbsenceKind.DRAINING, refuses = true, nowMillis)
    }

    /** Handles that the request of [placement] ended without a sign of the endpoint's health. */
    public fun endedWithoutEvidence(placement: Placement) {
        if (placement.isProbe) states[placement.address.instanceId]?.absence?.probing = false
    }

    /** Returns what operators should see, once. */
    public fun takeNotices(): List<PlacementNotice> {
        if (notices.isEmpty()) return emptyList()
        return notices.toList().also { notices.clear() }
    }

    private fun updatedState(view: EndpointView): EndpointState {
        val known = states[view.address.instanceId] ?: return EndpointState(view)
        if (known.view.address != view.address) return EndpointState(view)
        return known.also { it.view = view }
    }

    // Returns whether the job is to blame for its failure, and not the endpoint.
    private fun blameJob(
        state: EndpointState,
        requestId: Long,
        jobKey: Long?,
    ): Boolean {
        if (jobKey == null) return false
        if (failedJobs.isBad(jobKey)) return true
        val inGoodStanding = state.consecutiveFailures == 0 && state.absence == null
        if (!inGoodStanding) return false
        val instanceIds = failedJobs.add(jobKey, state.instanceId)
        if (instanceIds.isEmpty()) return false
        notices += PlacementNotice.BadJob(requestId, instanceIds)
        instanceIds.filter { it != state.instanceId }.forEach { states[it]?.forgive() }
        return true
    }

    private fun considerEjection(
        state: EndpointState,
        refuses: Boolean,
        nowMillis: Long,
    ) {
        if (!state.isFailing(othersRatio(state))) return
        if (ejectedCount() < maxAway - awayCount) {
            leave(state, AbsenceKind.EJECTED, refuses, nowMillis)
            notices += PlacementNotice.Ejected(state.instanceId)
        } else if (!state.suspect) {
            state.suspect = true
            notices += PlacementNotice.BudgetExhausted(state.instanceId)
        }
    }

    private fun othersRatio(state: EndpointState): Double {
        val others = states.values.filter { it !== state && it.view.mayStart && it.isKnown }
        return if (others.isEmpty()) 1.0 else others.sumOf { it.failureRatio } / others.size
    }

    private fun ejectedCount() = absent.count { it.absence?.kind == AbsenceKind.EJECTED }

    // Planned and unplanned absence go first; what was ejected earliest comes back first.
    private fun keepBudget() {
        val excess = ejectedCount() - maxOf(0, maxAway - awayCount)
        absent.filter { it.absence?.kind == AbsenceKind.EJECTED }.take(maxOf(0, excess)).forEach {
            forgetAbsence(it)
            it.suspect = true
        }
    }

    private fun leave(
        state: EndpointState,
        kind: AbsenceKind,
        refuses: Boolean,
        nowMillis: Long,
    ) {
        state.leave(kind, refuses, nowMillis)
        absent.add(state)
        close(state)
    }

    private fun restore(state: EndpointState) {
        forgetAbsence(state)
        notices += PlacementNotice.Restored(state.instanceId)
    }

    private fun forgetAbsence(state: EndpointState) {
        absent.remove(state)
        state.comeBack()
        reopen(state)
    }

    private fun takeProbe(
        need: PlacementNeed,
        nowMillis: Long,
    ): Placement? {
        if (absent.isEmpty() || need.triedInstanceIds.isNotEmpty()) return null
        val state = absent.firstOrNull { it.isProbeDue(need.idempotent, nowMillis) } ?: return null
        if (!rights.tryTake(Resource.Slot(state.instanceId))) return null
        state.absence?.probing = true
        return Placement(state.view.address, isProbe = true)
    }

    private fun takeOpen(need: PlacementNeed): Placement? {
        val strict = need.triedInstanceIds.isNotEmpty() && !need.mayRepeat && liveCount > need.triedInstanceIds.size
        val avoided = if (strict) need.triedInstanceIds else emptySet()
        while (true) {
            val state = choose(avoided) ?: return null
            if (rights.tryTake(Resource.Slot(state.instanceId))) return Placement(state.view.address)
            close(state)
        }
    }

    private fun choose(avoided: Set<String>): EndpointState? {
        if (open.isEmpty()) return null
        if (avoided.isNotEmpty()) return open.filter { it.instanceId !in avoided }.minWithOrNull(preference)
        val first = open[random.nextInt(open.size)]
        val second = open[random.nextInt(open.size)]
        val better = minOf(first, second, preference)
        return if (better.suspect) open.minWith(preference) else better
    }

    private val preference =
        compareBy<EndpointState>(
            { it.suspect },
            { -rights.free(Resource.Slot(it.instanceId)) },
            { it.meanRunMillis },
        )

    private fun reopen(state: EndpointState) {
        if (!state.isUsable || state.openIndex >= 0) return
        state.openIndex = open.size
        open.add(state)
    }

    private fun close(state: EndpointState) {
        val index = state.openIndex
        if (index < 0) return
        val last = open.removeAt(open.size - 1)
        if (last !== state) {
            open[index] = last
            last.openIndex = index
        }
        state.openIndex = -1
    }

    private fun EndpointState.isProbeDue(
        idempotent: Boolean,
        nowMillis: Long,
    ): Boolean = absence?.isProbeDue(idempotent, nowMillis) ?: false
}
