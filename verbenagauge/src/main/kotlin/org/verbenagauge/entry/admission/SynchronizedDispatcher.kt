package org.verbenagauge.entry.admission

import kotlinx.coroutines.CompletableDeferred
import org.verbenagauge.entry.Reason
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.placement.EndpointView
import org.verbenagauge.entry.placement.PlacementNotice
import org.verbenagauge.entry.rights.Rights
import org.verbenagauge.entry.state.document.QueueClass
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** Passes the events of one pool to its [dispatcher] one at a time, and completes the decisions that callers await. */
internal class SynchronizedDispatcher(
    private val dispatcher: Dispatcher,
    private val poolId: String,
    private val rights: Rights,
    private val clock: Clock,
    private val notify: (PlacementNotice) -> Unit,
) {
    private val lock = ReentrantLock()
    private val decisions = HashMap<Long, CompletableDeferred<DispatchAction>>()

    @Volatile private var reportedByTeam = emptyMap<String, Int>()

    /** Number of waiting requests. */
    val queued: Int get() = lock.withLock { dispatcher.queued }

    /** Number of waiting requests of queues of [queueClass]. */
    fun waitingCount(queueClass: QueueClass): Int = lock.withLock { dispatcher.waitingCount(queueClass) }

    /** Submits [request]; the result completes with the action to perform. */
    fun submit(request: JobRequest): CompletableDeferred<DispatchAction> =
        decisionOf(request.id) { submit(request, clock.monotonicMillis()) }

    /** Reports the end of an attempt; the result completes with the next action for the request. */
    fun attemptEnded(end: AttemptEnd): CompletableDeferred<DispatchAction> =
        decisionOf(end.id) { attemptEnded(end, clock.monotonicMillis()) }

    /** Reports that the caller of request [id] disconnected before it received the decision. */
    fun abandon(id: Long) {
        handle {
            decisions.remove(id)
            val wasWaiting = cancel(id)
            // A start that was decided but not yet performed ends here, which releases its slot and its right.
            if (wasWaiting) emptyList() else attemptEnded(AttemptEnd(id, NOT_STARTED), clock.monotonicMillis())
        }
    }

    fun update(
        views: List<EndpointView>,
        maxAway: Int,
    ) = handle { update(views, maxAway, clock.monotonicMillis()) }

    fun stop(stopByMillis: Long) = handle { stop(stopByMillis, clock.monotonicMillis()) }

    fun tick() {
        handle { tick(clock.monotonicMillis()) }
        reportDemand()
    }

    private fun decisionOf(
        id: Long,
        event: Dispatcher.() -> List<DispatchAction>,
    ): CompletableDeferred<DispatchAction> {
        val decision = CompletableDeferred<DispatchAction>()
        handle {
            decisions[id] = decision
            event()
        }
        return decision
    }

    // Decisions are completed and notices are sent outside of the lock.
    private fun handle(event: Dispatcher.() -> List<DispatchAction>) {
        var notices = emptyList<PlacementNotice>()
        val decided =
            lock.withLock {
                val actions = dispatcher.event()
                notices = dispatcher.takeNotices()
                actions.mapNotNull { action -> decisions.remove(action.id)?.let { Decided(it, action) } }
            }
        decided.forEach { it.decision.complete(it.action) }
        notices.forEach(notify)
    }

    private fun reportDemand() {
        val waiting = lock.withLock { dispatcher.waitingByTeam }
        val reportedBefore = reportedByTeam
        reportedByTeam = waiting
        waiting.filter { (teamId, count) -> reportedBefore[teamId] != count }.forEach { (teamId, count) ->
            rights.reportDemand(poolId, teamId, count)
        }
        reportedBefore.keys.filter { it !in waiting }.forEach { rights.reportDemand(poolId, it, waiting = 0) }
    }

    private class Decided(
        val decision: CompletableDeferred<DispatchAction>,
        val action: DispatchAction,
    )

    private companion object {
        val NOT_STARTED = Reason.CALLER_CANCELLED
    }
}
