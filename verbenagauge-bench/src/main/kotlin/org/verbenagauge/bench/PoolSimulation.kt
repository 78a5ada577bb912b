package org.verbenagauge.bench

import org.verbenagauge.entry.Reason
import org.verbenagauge.entry.admission.AttemptEnd
import org.verbenagauge.entry.admission.DispatchAction
import org.verbenagauge.entry.admission.Dispatcher
import org.verbenagauge.entry.admission.JobRequest
import org.verbenagauge.entry.model.Resource
import org.verbenagauge.entry.placement.EndpointAddress
import org.verbenagauge.entry.placement.EndpointView
import org.verbenagauge.entry.rights.SplitRights
import org.verbenagauge.entry.rights.fixedSplit
import java.util.PriorityQueue

/** Order of service of one entry in a [PoolSimulation]. */
internal interface ServicePolicy {
    /** Handles the arrival of [request]. */
    fun submit(
        request: JobRequest,
        nowMillis: Long,
    ): List<DispatchAction>

    /** Handles that the request [id] was served. */
    fun served(
        id: Long,
        nowMillis: Long,
    ): List<DispatchAction>

    /** Handles that time has passed. */
    fun tick(nowMillis: Long): List<DispatchAction>
}

/** Returns the dispatcher of verbenagauge for the entry [index] of [count] on [workers] workers of [slots] slots. */
internal fun dispatcherPolicy(
    workers: Int,
    slots: Int,
    index: Int = 0,
    count: Int = 1,
): ServicePolicy {
    val rights = SplitRights { if (it is Resource.Team) Int.MAX_VALUE else fixedSplit(slots, index, count) }
    val dispatcher = Dispatcher("pool", rights, maxQueued = MAX_QUEUED, seed = index.toLong())
    val views = List(workers) { EndpointView(EndpointAddress("worker-$it", "127.0.0.1", 1), acceptsNewWork = true) }
    dispatcher.update(views, maxAway = 1, nowMillis = 0)
    return DispatcherPolicy(dispatcher)
}

/** Returns the baseline: first come, first served, until the deadline of each request. */
internal fun fifoPolicy(slots: Int): ServicePolicy = FifoPolicy(slots)

private const val MAX_QUEUED = 100_000

private class DispatcherPolicy(
    private val dispatcher: Dispatcher,
) : ServicePolicy {
    override fun submit(
        request: JobRequest,
        nowMillis: Long,
    ) = dispatcher.submit(request, nowMillis)

    override fun served(
        id: Long,
        nowMillis: Long,
    ) = dispatcher.attemptEnded(AttemptEnd(id, Reason.SERVED), nowMillis)

    override fun tick(nowMillis: Long) = dispatcher.tick(nowMillis)
}

private class FifoPolicy(
    private val slots: Int,
) : ServicePolicy {
    private val waiting = ArrayDeque<JobRequest>()
    private var running = 0

    override fun submit(
        request: JobRequest,
        nowMillis: Long,
    ): List<DispatchAction> {
        waiting += request
        return startAll(nowMillis)
    }

    override fun served(
        id: Long,
        nowMillis: Long,
    ): List<DispatchAction> {
        running--
        return startAll(nowMillis)
    }

    override fun tick(nowMillis: Long): List<DispatchAction> = startAll(nowMillis)

    private fun startAll(nowMillis: Long): List<DispatchAction> {
        val actions = ArrayList<DispatchAction>()
        while (running < slots) {
            val next = waiting.removeFirstOrNull() ?: break
            if (next.startByMillis <= nowMillis) {
                actions += DispatchAction.Refuse(next.id, Reason.DEADLINE_EXCEEDED, retryAfterMillis = 0)
                continue
            }
            running++
            actions += DispatchAction.Start(next.id, address)
        }
        return actions
    }

    private companion object {
        val address = EndpointAddress("worker", "127.0.0.1", 1)
    }
}

/**
 * One request of a simulation.
 *
 * @property runMillis run time on an endpoint, which the policy does not know.
 */
internal class SimulatedRequest(
    val request: JobRequest,
    val arrivedAtMillis: Long,
    val runMillis: Long,
) {
    var startedAtMillis: Long? = null
    var endedAtMillis: Long? = null
    var reason: Reason? = null
}

/**
 * Runs a policy for each entry in virtual time; requests go to the entries by turns.
 *
 * @param onDone tells that a request has its final answer, so that a closed load can send the next one.
 */
internal class PoolSimulation(
    private val policies: List<ServicePolicy>,
    private val onDone: PoolSimulation.(SimulatedRequest) -> Unit = {},
) {
    private val events = PriorityQueue<Event>(compareBy({ it.atMillis }, { it.order }))
    private val requests = HashMap<Long, SimulatedRequest>()
    private var order = 0L

    /** Virtual time in milliseconds. */
    var nowMillis = 0L
        private set

    /** Lets [request] arrive at its time. */
    fun arrive(request: SimulatedRequest) {
        requests[request.request.id] = request
        val policy = policyOf(request.request.id)
        at(request.arrivedAtMillis) { handle(policy.submit(request.request, nowMillis)) }
    }

    /** Runs until [untilMillis]. */
    fun run(untilMillis: Long) {
        at(nowMillis) { tick() }
        while (events.isNotEmpty() && events.peek().atMillis <= untilMillis) {
            val event = events.poll()
            nowMillis = event.atMillis
            event.action()
        }
    }

    private fun tick() {
        policies.forEach { handle(it.tick(nowMillis)) }
        at(nowMillis + TICK_MILLIS) { tick() }
    }

    private fun handle(actions: List<DispatchAction>) {
        for (action in actions) {
            val request = requests.getValue(action.id)
            when (action) {
                is DispatchAction.Start -> start(request)
                is DispatchAction.Deliver -> done(request, Reason.SERVED)
                is DispatchAction.Refuse -> done(request, action.reason)
            }
        }
    }

    private fun start(request: SimulatedRequest) {
        request.startedAtMillis = nowMillis
        val id = request.request.id
        at(nowMillis + request.runMillis) {
            request.endedAtMillis = nowMillis
            handle(policyOf(id).served(id, nowMillis))
            if (request.reason == null) done(request, Reason.SERVED)
        }
    }

    private fun done(
        request: SimulatedRequest,
        reason: Reason,
    ) {
        if (request.reason != null) return
        request.reason = reason
        onDone(request)
    }

    private fun policyOf(id: Long) = policies[(id % policies.size).toInt()]

    private fun at(
        atMillis: Long,
        action: () -> Unit,
    ) {
        events.add(Event(atMillis, order++, action))
    }

    private class Event(
        val atMillis: Long,
        val order: Long,
        val action: () -> Unit,
    )

    private companion object {
        const val TICK_MILLIS = 20L
    }
}
