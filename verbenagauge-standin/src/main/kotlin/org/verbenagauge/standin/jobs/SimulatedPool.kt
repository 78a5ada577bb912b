package org.verbenagauge.standin.jobs

import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.jobs.model.Amount
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

/** Simulated workers of one service in one process, called directly; used from one coroutine dispatcher of one thread. */
public class SimulatedPool(
    private val serviceName: String,
    workerCount: Int,
    private val capacity: Amount,
    private val clock: Clock,
) : WorkerGateway,
    WorkerList {
    private val bornUnixMillis = clock.wallMillis()
    private val workers = (1..workerCount).associate { "worker-$it" to SimulatedWorker(bornUnixMillis) }

    override suspend fun follow(
        onAll: (List<ListedWorker>) -> Unit,
        onChange: (workerId: String, worker: ListedWorker?) -> Unit,
    ) {
        onAll(workers.keys.map(::listed))
        awaitCancellation()
    }

    private fun listed(workerId: String) =
        ListedWorker(
            address = WorkerAddress(workerId, "127.0.0.1", 0),
            serviceName = serviceName,
            zoneId = "zone-0",
            rack = "",
            labels = emptySet(),
            capacity = capacity,
            isReady = true,
            bornUnixMillis = bornUnixMillis,
            machineId = "",
        )

    override fun listings(address: WorkerAddress): WorkerListings = DirectListings(worker(address))

    override suspend fun start(
        address: WorkerAddress,
        order: StartOrder,
    ): OrderOutcome = worker(address).start(order, clock.monotonicMillis())

    override suspend fun stop(
        address: WorkerAddress,
        taskId: TaskId,
        runId: Long,
        fencingToken: Long,
    ): OrderOutcome = worker(address).stop(taskId, runId, fencingToken, clock.monotonicMillis())

    override suspend fun pace(
        address: WorkerAddress,
        taskId: TaskId,
        runId: Long,
        percentage: Int,
        fencingToken: Long,
    ): OrderOutcome = OrderOutcome.Done(clock.monotonicMillis())

    override fun disconnect(address: WorkerAddress) = Unit

    override fun closeIdleConnections() = Unit

    private fun worker(address: WorkerAddress) = workers.getValue(address.workerId)

    private inner class DirectListings(
        private val worker: SimulatedWorker,
    ) : WorkerListings {
        override val isProven: Boolean = true

        override suspend fun list(renewal: Renewal): ListingOutcome {
            val untilMillis = clock.monotonicMillis() + renewal.waitMillis
            val first = worker.list(renewal, clock.monotonicMillis())
            while (!worker.hasEnds && clock.monotonicMillis() < untilMillis) {
                delay(LOOK_MILLIS)
                worker.advance(clock.monotonicMillis())
            }
            return if (renewal.waitMillis > 0) worker.list(renewal, clock.monotonicMillis()) else first
        }

        override fun close() = Unit
    }

    private companion object {
        // Ends are listed this much late at most.
        const val LOOK_MILLIS = 20L
    }
}
