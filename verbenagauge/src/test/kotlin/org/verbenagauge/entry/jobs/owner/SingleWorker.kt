package org.verbenagauge.entry.jobs.owner

import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import org.verbenagauge.entry.jobs.engine.listing
import org.verbenagauge.entry.jobs.engine.running
import org.verbenagauge.entry.jobs.engine.worker
import org.verbenagauge.entry.jobs.model.TaskId
import org.verbenagauge.entry.jobs.ports.ListedWorker
import org.verbenagauge.entry.jobs.ports.ListingOutcome
import org.verbenagauge.entry.jobs.ports.OrderOutcome
import org.verbenagauge.entry.jobs.ports.Renewal
import org.verbenagauge.entry.jobs.ports.StartOrder
import org.verbenagauge.entry.jobs.ports.WorkerAddress
import org.verbenagauge.entry.jobs.ports.WorkerGateway
import org.verbenagauge.entry.jobs.ports.WorkerList
import org.verbenagauge.entry.jobs.ports.WorkerListings

/** Fake platform with one listed worker, which accepts all orders and never ends a run. */
internal class SingleWorker :
    WorkerGateway,
    WorkerList {
    /** Start orders that were received. */
    val starts = ArrayList<StartOrder>()

    override suspend fun follow(
        onAll: (List<ListedWorker>) -> Unit,
        onChange: (workerId: String, worker: ListedWorker?) -> Unit,
    ) {
        onAll(listOf(worker("w1")))
        awaitCancellation()
    }

    override fun listings(address: WorkerAddress): WorkerListings =
        object : WorkerListings {
            override val isProven = true

            override suspend fun list(renewal: Renewal): ListingOutcome {
                delay(renewal.waitMillis + 1)
                return listing(running = starts.map { running(it.taskId, it.runId) })
            }

            override fun close() = Unit
        }

    override suspend fun start(
        address: WorkerAddress,
        order: StartOrder,
    ): OrderOutcome {
        starts += order
        return OrderOutcome.Done(1_000)
    }

    override suspend fun stop(
        address: WorkerAddress,
        taskId: TaskId,
        runId: Long,
        fencingToken: Long,
    ): OrderOutcome = OrderOutcome.Done(1_000)

    override suspend fun pace(
        address: WorkerAddress,
        taskId: TaskId,
        runId: Long,
        percentage: Int,
        fencingToken: Long,
    ): OrderOutcome = OrderOutcome.Done(1_000)

    override fun disconnect(address: WorkerAddress) = Unit

    override fun closeIdleConnections() = Unit
}
