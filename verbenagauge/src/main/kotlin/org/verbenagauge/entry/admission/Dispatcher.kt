package org.verbenagauge.entry.admission

import org.verbenagauge.entry.Reason
import org.verbenagauge.entry.placement.EndpointAddress
import org.verbenagauge.entry.placement.EndpointPool
import org.verbenagauge.entry.placement.EndpointView
import org.verbenagauge.entry.rights.Resource
import org.verbenagauge.entry.rights.Rights
import org.verbenagauge.entry.state.Queue
import org.verbenagauge.entry.state.Team

/** What the shell must do after an event. */
public sealed interface DispatchAction {
    /** Request that the action concerns. */
    public val id: Long

    /** Send the request to [address]. */
    public data class Start(
        override val id: Long,
        val address: EndpointAddress,
    ) : DispatchAction

    /** Answer the request with [reason], which always carries the verdict not-run. */
    public data class Refuse(
        override val id: Long,
        val reason: Reason,
    ) : DispatchAction
}

/**
 * Decides when a waiting request starts and on which endpoint, for one pool. A pure decision: it knows
 * no clock and does no I/O, and its caller makes sure that one event is handled at a time.
 */
public class Dispatcher(
    private val rights: Rights,
    private val maxQueued: Int,
) {
    private val waiting = FairQueue()
    private val endpoints = EndpointPool(rights)
    private val running = HashMap<Long, Running>()

    /** Number of waiting requests. */
    public val queued: Int get() = waiting.size

    /** Number of running requests. */
    public val runningCount: Int get() = running.size

    /** Handles the arrival of the request [id] of [team] on [queue]. */
    public fun submit(
        id: Long,
        team: Team,
        queue: Queue,
        startByMillis: Long,
        nowMillis: Long,
    ): List<DispatchAction> {
        if (!endpoints.isServing()) return listOf(DispatchAction.Refuse(id, Reason.NO_ENDPOINT))
        if (startByMillis <= nowMillis) return listOf(DispatchAction.Refuse(id, Reason.DEADLINE_EXCEEDED))
        if (waiting.size >= maxQueued) return listOf(DispatchAction.Refuse(id, Reason.QUEUE_FULL))
        waiting.add(Waiting(id, team.id, queue.queueClass, startByMillis), team.shareWeight)
        return startAll(nowMillis)
    }

    /** Handles that the caller of [id] has left; true when the request was waiting and will not run. */
    public fun cancel(id: Long): Boolean = waiting.remove(id)

    /** Handles that the request [id] has ended on its endpoint. */
    public fun finish(
        id: Long,
        nowMillis: Long,
    ): List<DispatchAction> {
        val ended = running.remove(id) ?: return emptyList()
        rights.release(Resource.Team(ended.teamId))
        rights.release(Resource.Slot(ended.instanceId))
        return startAll(nowMillis)
    }

    /** Handles a new view of the pool. */
    public fun update(
        views: List<EndpointView>,
        nowMillis: Long,
    ): List<DispatchAction> {
        endpoints.update(views)
        return startAll(nowMillis)
    }

    /** Refuses what has waited too long and starts what may start. */
    public fun tick(nowMillis: Long): List<DispatchAction> = startAll(nowMillis)

    private fun startAll(nowMillis: Long): List<DispatchAction> {
        val expired = waiting.expire(nowMillis).map { DispatchAction.Refuse(it.id, Reason.DEADLINE_EXCEEDED) }
        return expired + generateSequence { startOne() }
    }

    private fun startOne(): DispatchAction.Start? {
        val address = endpoints.take(avoid = emptySet()) ?: return null
        val next = waiting.poll { rights.tryTake(Resource.Team(it)) }
        if (next == null) {
            rights.release(Resource.Slot(address.instanceId))
            return null
        }
        running[next.id] = Running(next.teamId, address.instanceId)
        return DispatchAction.Start(next.id, address)
    }

    private class Running(
        val teamId: String,
        val instanceId: String,
    )
}
