package org.verbenagauge.entry.jobs.owner

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.verbenagauge.entry.jobs.model.TaskId
import org.verbenagauge.entry.jobs.ports.ListingOutcome
import org.verbenagauge.entry.jobs.ports.OrderOutcome
import org.verbenagauge.entry.jobs.ports.Renewal
import org.verbenagauge.entry.jobs.ports.StartOrder
import org.verbenagauge.entry.jobs.ports.StartRefusal
import org.verbenagauge.entry.jobs.ports.WorkerAddress
import org.verbenagauge.entry.jobs.ports.WorkerGateway
import org.verbenagauge.entry.jobs.ports.WorkerListings
import kotlin.random.Random

/**
 * The workers as seen by the process of one entry, with delays and with the faults of [networkFaults].
 *
 * @param isUndisturbed whether neither this process nor the store had a fault recently.
 * @param beforeStartOrder called just before a start order is sent; it may pause the process.
 */
internal class EntryWorkers(
    private val entryId: String,
    private val process: VirtualProcess,
    private val time: VirtualTime,
    private val random: Random,
    private val machines: List<WorkerMachine>,
    private val networkFaults: NetworkFaults,
    private val trace: FuzzTrace,
    private val isUndisturbed: () -> Boolean,
    private val beforeStartOrder: () -> Unit,
) : WorkerGateway {
    private fun machine(address: WorkerAddress): WorkerMachine =
        machines.first { it.address == "${address.host}:${address.port}" }

    override suspend fun start(
        address: WorkerAddress,
        order: StartOrder,
    ): OrderOutcome {
        trace.add {
            "$entryId epoch ${order.fencingToken} orders ${order.taskId} run ${order.runId} on ${address.workerId} with lease ${order.leaseUntilWorkerMillis}"
        }
        beforeStartOrder()
        // Time to open a connection to the worker, or to wait for a free one.
        if (random.nextInt(SLOW_CONNECT_ONE_IN) == 0) delay(random.nextLong(1, MAX_CONNECT_MILLIS)) else delay(1)
        val sender = OrderSender(entryId, time.nowMillis, isUndisturbed())
        return order(address) { it.start(order, sender) }
    }

    override suspend fun stop(
        address: WorkerAddress,
        taskId: TaskId,
        runId: Long,
        fencingToken: Long,
    ): OrderOutcome = order(address) { it.stop(taskId, runId, fencingToken) }

    override suspend fun pace(
        address: WorkerAddress,
        taskId: TaskId,
        runId: Long,
        percentage: Int,
        fencingToken: Long,
    ): OrderOutcome = OrderOutcome.Done(0)

    override fun disconnect(address: WorkerAddress) = Unit

    override fun closeIdleConnections() = Unit

    private suspend fun order(
        address: WorkerAddress,
        action: (WorkerIncarnation) -> OrderOutcome,
    ): OrderOutcome {
        val machine = machine(address)
        val target = machine.incarnation ?: return OrderOutcome.NotSent("refused")
        val answer = CompletableDeferred<OrderOutcome>()

        fun reply(outcome: OrderOutcome) {
            if (networkFaults.passes(machine.address, entryId)) {
                time.after(networkFaults.oneWayMillis()) { process.step { answer.complete(outcome) } }
            }
        }

        fun execute(
            delayMillis: Long,
            onDone: (OrderOutcome) -> Unit,
        ) {
            time.after(delayMillis) {
                // A call in flight is lost when the incarnation that it is connected to ends.
                if (!target.hasEnded) onDone(if (isAddressed(target, address)) action(target) else otherIncarnation)
            }
        }
        when (networkFaults.callOutcome(entryId, machine.address)) {
            WireOutcome.SERVED -> execute(networkFaults.oneWayMillis(), ::reply)
            WireOutcome.ANSWER_LOST -> execute(networkFaults.oneWayMillis()) {}
            WireOutcome.LATE -> execute(networkFaults.lateDelayMillis()) {}
            WireOutcome.UNHEALTHY -> reply(OrderOutcome.Refused(StartRefusal.UNHEALTHY))
            WireOutcome.LOST -> Unit
        }
        return withTimeoutOrNull(ORDER_TIMEOUT_MILLIS) { answer.await() } ?: OrderOutcome.Unanswered("no answer")
    }

    private fun isAddressed(
        target: WorkerIncarnation,
        address: WorkerAddress,
    ) = target.id.workerId == address.workerId

    override fun listings(address: WorkerAddress): WorkerListings = Listings(address, machine(address))

    // One connection: every failure and every answer that does not arrive in time closes it.
    private inner class Listings(
        private val address: WorkerAddress,
        private val machine: WorkerMachine,
    ) : WorkerListings {
        private var incarnation: WorkerIncarnation? = null
        override var isProven = false
            private set

        override suspend fun list(renewal: Renewal): ListingOutcome {
            val outcome = attempt(renewal)
            if (outcome is ListingOutcome.Failed) {
                incarnation = null
                isProven = false
            } else {
                isProven = true
            }
            trace.add {
                "$entryId epoch ${renewal.fencingToken} lists ${address.workerId} and acknowledges " +
                    "${renewal.acknowledged}, lease ${renewal.leaseUntilWorkerMillis}: $outcome"
            }
            return outcome
        }

        private suspend fun attempt(renewal: Renewal): ListingOutcome {
            if (incarnation == null) delay(1)
            val connected = incarnation?.takeIf { !it.hasEnded } ?: machine.incarnation.takeIf { incarnation == null }
            incarnation = connected ?: return ListingOutcome.Failed("refused")
            val answer = CompletableDeferred<ListingOutcome>()

            fun reply(outcome: ListingOutcome) {
                if (networkFaults.passes(machine.address, entryId)) {
                    time.after(networkFaults.oneWayMillis()) { process.step { answer.complete(outcome) } }
                }
            }

            fun execute(
                delayMillis: Long,
                onDone: (ListingOutcome) -> Unit,
            ) {
                time.after(delayMillis) {
                    when {
                        connected.hasEnded -> Unit
                        isAddressed(connected, address) -> connected.renewAndList(renewal, onDone)
                        else -> onDone(ListingOutcome.Refused(StartRefusal.OTHER_LIFE))
                    }
                }
            }
            when (networkFaults.callOutcome(entryId, machine.address)) {
                WireOutcome.SERVED -> execute(networkFaults.oneWayMillis(), ::reply)
                WireOutcome.ANSWER_LOST -> execute(networkFaults.oneWayMillis()) {}
                WireOutcome.LATE -> execute(networkFaults.lateDelayMillis()) {}
                WireOutcome.UNHEALTHY -> reply(ListingOutcome.Refused(StartRefusal.UNHEALTHY))
                WireOutcome.LOST -> Unit
            }
            val waitMillis = renewal.waitMillis + ANSWER_MARGIN_MILLIS
            return withTimeoutOrNull(waitMillis) { answer.await() } ?: ListingOutcome.Failed("no answer")
        }

        override fun close() {
            incarnation = null
            isProven = false
        }
    }

    private companion object {
        val otherIncarnation = OrderOutcome.Refused(StartRefusal.OTHER_LIFE)

        // The same time-outs as those of the production gateway.
        const val ORDER_TIMEOUT_MILLIS = 500L
        const val ANSWER_MARGIN_MILLIS = 600L
        const val SLOW_CONNECT_ONE_IN = 12
        const val MAX_CONNECT_MILLIS = 300L
    }
}
