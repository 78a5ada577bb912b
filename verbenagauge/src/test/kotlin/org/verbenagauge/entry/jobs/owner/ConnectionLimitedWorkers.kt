package org.verbenagauge.entry.jobs.owner

import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import org.verbenagauge.entry.jobs.engine.listing
import org.verbenagauge.entry.jobs.engine.running
import org.verbenagauge.entry.jobs.engine.worker
import org.verbenagauge.entry.jobs.model.TaskId
import org.verbenagauge.entry.jobs.ports.ListedRun
import org.verbenagauge.entry.jobs.ports.ListedWorker
import org.verbenagauge.entry.jobs.ports.ListingOutcome
import org.verbenagauge.entry.jobs.ports.OrderOutcome
import org.verbenagauge.entry.jobs.ports.Renewal
import org.verbenagauge.entry.jobs.ports.StartOrder
import org.verbenagauge.entry.jobs.ports.WorkerAddress
import org.verbenagauge.entry.jobs.ports.WorkerGateway
import org.verbenagauge.entry.jobs.ports.WorkerList
import org.verbenagauge.entry.jobs.ports.WorkerListings

/**
 * Fake workers that take [maxConnections] each from all entries together and close every further one at once. They accept
 * all orders, except those in [deafIds], which return listings and answer no order. Runs end only by a stop order.
 */
internal class ConnectionLimitedWorkers(
    val ids: List<String>,
    private val maxConnections: Int,
    private val cpuMillis: Long,
    private val deafIds: Set<String> = emptySet(),
    private val nowMillis: () -> Long,
) {
    /** Runs by worker and task. */
    val runs = ids.associateWith { LinkedHashMap<TaskId, ListedRun>() }

    /** Open connections of all entries, by worker. */
    val open = ids.associateWithTo(HashMap()) { 0 }

    /** Orders that reached a worker or were closed by it, by worker. */
    val orders = ids.associateWithTo(HashMap()) { 0 }

    /** Workers that the platform no longer lists. */
    val unlisted = HashSet<String>()

    /** The workers as one entry reaches them, with connections that it keeps as a pool does. */
    inner class Entry :
        WorkerGateway,
        WorkerList {
        /** Whether the process stands still: its connections stay open, and it neither sends nor closes anything. */
        var isFrozen = false
        private val idle = HashMap<String, ArrayDeque<Long>>()

        override suspend fun follow(
            onAll: (List<ListedWorker>) -> Unit,
            onChange: (workerId: String, worker: ListedWorker?) -> Unit,
        ) {
            onAll(ids.map { worker(it, cpuMillis) })
            val told = HashSet<String>()
            while (true) {
                delay(100)
                unlisted.filter(told::add).forEach { onChange(it, null) }
            }
        }

        override fun listings(address: WorkerAddress): WorkerListings =
            object : WorkerListings {
                override var isProven = false
                    private set

                override suspend fun list(renewal: Renewal): ListingOutcome {
                    if (!isProven && !connect(address.workerId)) return ListingOutcome.Failed("closed")
                    isProven = true
                    delay(renewal.waitMillis + 1)
                    if (isFrozen) awaitCancellation()
                    return listing(runs.getValue(address.workerId).values.toList(), clockMillis = nowMillis())
                }

                override fun close() {
                    if (isProven && !isFrozen) release(address.workerId)
                    isProven = false
                }
            }

        override suspend fun start(
            address: WorkerAddress,
            order: StartOrder,
        ): OrderOutcome =
            order(address) {
                runs.getValue(it)[order.taskId] = running(order.taskId, order.runId)
            }

        override suspend fun stop(
            address: WorkerAddress,
            taskId: TaskId,
            runId: Long,
            fencingToken: Long,
        ): OrderOutcome = order(address) { runs.getValue(it).remove(taskId) }

        override suspend fun pace(
            address: WorkerAddress,
            taskId: TaskId,
            runId: Long,
            percentage: Int,
            fencingToken: Long,
        ): OrderOutcome = OrderOutcome.Done(nowMillis())

        private suspend fun order(
            address: WorkerAddress,
            action: (workerId: String) -> Unit,
        ): OrderOutcome {
            val id = address.workerId
            orders.merge(id, 1, Int::plus)
            val connections = idle.getOrPut(id) { ArrayDeque() }
            if (connections.removeLastOrNull() == null && !connect(id)) return OrderOutcome.Unanswered("closed")
            if (id in deafIds) {
                delay(500)
                release(id)
                return OrderOutcome.Unanswered("no answer")
            }
            delay(5)
            if (isFrozen) awaitCancellation()
            action(id)
            connections.addLast(nowMillis())
            return OrderOutcome.Done(nowMillis())
        }

        override fun disconnect(address: WorkerAddress) {
            if (isFrozen) return
            idle.remove(address.workerId)?.forEach { _ -> release(address.workerId) }
        }

        override fun closeIdleConnections() {
            if (isFrozen) return
            idle.forEach { (id, connections) ->
                while (connections.isNotEmpty() && connections.first() < nowMillis() - MAX_IDLE_MILLIS) {
                    connections.removeFirst()
                    release(id)
                }
            }
        }

        private fun connect(workerId: String): Boolean {
            if (open.getValue(workerId) >= maxConnections) return false
            open.merge(workerId, 1, Int::plus)
            return true
        }

        private fun release(workerId: String) {
            open.merge(workerId, -1, Int::plus)
        }
    }

    private companion object {
        const val MAX_IDLE_MILLIS = 10_000L
    }
}
