package org.verbenagauge.platform

import io.ktor.network.selector.SelectorManager
import kotlinx.serialization.KSerializer
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.jobs.JobMetrics
import org.verbenagauge.entry.jobs.model.TaskId
import org.verbenagauge.entry.jobs.ports.ListingOutcome
import org.verbenagauge.entry.jobs.ports.OrderOutcome
import org.verbenagauge.entry.jobs.ports.Renewal
import org.verbenagauge.entry.jobs.ports.StartOrder
import org.verbenagauge.entry.jobs.ports.WorkerAddress
import org.verbenagauge.entry.jobs.ports.WorkerGateway
import org.verbenagauge.entry.jobs.ports.WorkerListings
import org.verbenagauge.http.ConnectionObserver
import org.verbenagauge.http.HttpCall
import org.verbenagauge.http.HttpConnection
import org.verbenagauge.http.HttpOutcome
import org.verbenagauge.http.HttpPool
import org.verbenagauge.http.label

private const val LIFE_HEADER = "X-Verbenagauge-Expected-Instance"

/** Orders to workers over HTTP. */
internal class PlatformWorkers(
    private val selector: SelectorManager,
    private val clock: Clock,
    private val metrics: JobMetrics,
) : WorkerGateway {
    private val pools = HashMap<WorkerAddress, HttpPool>()
    private val observer =
        object : ConnectionObserver {
            override fun onOpened() = metrics.connectionOpened(TARGET)

            override fun onClosed() = metrics.connectionClosed(TARGET)
        }

    override fun listings(address: WorkerAddress): WorkerListings = Listings(selector, address, observer)

    override suspend fun start(
        address: WorkerAddress,
        order: StartOrder,
    ): OrderOutcome {
        val wire =
            WireStart(
                task = order.taskId.toString(),
                runId = order.runId,
                specification = order.payload,
                deadlineMs = order.leaseUntilWorkerMillis,
                fencingToken = order.fencingToken,
                checkpoint = order.checkpoint.ifEmpty { null },
                ticket = order.ticket.ifEmpty { null },
            )
        return order(address, "/v1/run-start", WireStart.serializer(), wire)
    }

    override suspend fun stop(
        address: WorkerAddress,
        taskId: TaskId,
        runId: Long,
        fencingToken: Long,
    ): OrderOutcome {
        val wire = WireStop(taskId.toString(), runId, fencingToken)
        return order(address, "/v1/run-stop", WireStop.serializer(), wire)
    }

    override suspend fun pace(
        address: WorkerAddress,
        taskId: TaskId,
        runId: Long,
        percentage: Int,
        fencingToken: Long,
    ): OrderOutcome {
        val wire = WirePace(taskId.toString(), runId, percentage, fencingToken)
        return order(address, "/v1/pace", WirePace.serializer(), wire)
    }

    override fun disconnect(address: WorkerAddress) {
        pools.remove(address)?.close()
    }

    override fun closeIdleConnections() {
        pools.values.forEach { it.closeIdle() }
    }

    private suspend fun <T> order(
        address: WorkerAddress,
        path: String,
        serializer: KSerializer<T>,
        wire: T,
    ): OrderOutcome {
        val pool = pools.getOrPut(address) { HttpPool(selector, address.host, address.port, clock, observer) }
        val body = wireJson.encodeToString(serializer, wire).encodeToByteArray()
        val call = HttpCall("POST", path, listOf(LIFE_HEADER to address.workerId), body)
        val startedMillis = clock.monotonicMillis()
        val outcome = pool.exchange(call, ORDER_TIMEOUT_MILLIS)
        metrics.outgoing(TARGET, outcome.label, clock.monotonicMillis() - startedMillis)
        return when (outcome) {
            is HttpOutcome.Answered -> readOrderAnswer(outcome)
            is HttpOutcome.NotSent -> OrderOutcome.NotSent(outcome.cause)
            is HttpOutcome.Unanswered -> OrderOutcome.Unanswered(outcome.cause)
        }
    }

    private companion object {
        // Workers answer in some milliseconds; the same order is sent again after this.
        const val ORDER_TIMEOUT_MILLIS = 500L
        const val TARGET = "worker"
    }
}

private class Listings(
    selector: SelectorManager,
    private val address: WorkerAddress,
    observer: ConnectionObserver,
) : WorkerListings {
    private val connection = HttpConnection(selector, address.host, address.port, observer)

    override val isProven: Boolean get() = connection.isProven

    override suspend fun list(renewal: Renewal): ListingOutcome {
        val wire =
            WireHold(
                fencingToken = renewal.fencingToken,
                ackCursor = renewal.acknowledged,
                deadlineMs = renewal.leaseUntilWorkerMillis,
                waitMs = renewal.waitMillis.takeIf { it > 0 },
            )
        val body = wireJson.encodeToString(WireHold.serializer(), wire).encodeToByteArray()
        val call = HttpCall("POST", "/v1/hold", listOf(LIFE_HEADER to address.workerId), body)
        return when (val outcome = connection.exchange(call, renewal.waitMillis + ANSWER_MILLIS)) {
            is HttpOutcome.Answered -> readListing(outcome)
            is HttpOutcome.NotSent -> ListingOutcome.Failed(outcome.cause)
            is HttpOutcome.Unanswered -> ListingOutcome.Failed(outcome.cause)
        }
    }

    override fun close() {
        connection.close()
    }

    private companion object {
        const val ANSWER_MILLIS = 600L
    }
}
