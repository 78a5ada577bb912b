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
 * Workers as the process of one entry reaches them.
 *
 * @param isInTouch whether neither this process nor the store had trouble lately.
 * @param onOrder is told just before an order to start is sent; the process may be paused then.
 */
internal class EntryWorkers(
    private val entryId: String,
    private val process: VirtualProcess,
    private val time: VirtualTime,
    private val random: Random,
    private val machines: List<WorkerMachine>,
    private val wire: WireTrouble,
    private val trace: FuzzTrace,
    private val isInTouch: () -> Boolean,
    private val onOrder: () -> Unit,
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
        onOrder()
        // The way to the worker is opened, or a connection is waited for.
        if (random.nextInt(CONNECT_ONE_IN) == 0) delay(random.nextLong(1, LONGEST_CONNECT_MILLIS)) else delay(1)
        val sender = OrderSender(entryId, time.nowMillis, isInTouch())
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

    private suspend fun order(
        address: WorkerAddress,
        action: (WorkerLife) -> OrderOutcome,
    ): OrderOutcome {
        val machine = machine(address)
        val life = machine.life ?: return OrderOutcome.NotSent("refused")
        val answer = CompletableDeferred<OrderOutcome>()

        fun reply(outcome: OrderOutcome) {
            if (wire.passes(machine.address, entryId)) {
                time.after(wire.wayMillis()) { process.step { answer.complete(outcome) } }
            }
        }

        fun carryOut(
            delayMillis: Long,
            onDone: (OrderOutcome) -> Unit,
        ) {
            time.after(delayMillis) {
                // A call on its way ends with the life to which its connection led.
                if (!life.isOver) onDone(if (isNamed(life, address)) action(life) else otherLife)
            }
        }
        when (wire.fate(entryId, machine.address)) {
            WireFate.SERVED -> carryOut(wire.wayMillis(), ::reply)
            WireFate.ANSWER_LOST -> carryOut(wire.wayMillis()) {}
            WireFate.LATE -> carryOut(wire.lateMillis()) {}
            WireFate.UNHEALTHY -> reply(OrderOutcome.Refused(StartRefusal.UNHEALTHY))
            WireFate.LOST -> Unit
        }
        return withTimeoutOrNull(ORDER_TIMEOUT_MILLIS) { answer.await() } ?: OrderOutcome.Unanswered("no answer")
    }

    private fun isNamed(
        life: WorkerLife,
        address: WorkerAddress,
    ) = life.id.workerId == address.workerId

    override fun listings(address: WorkerAddress): WorkerListings = Listings(address, machine(address))

    // One connection: it is closed by every failure and by every answer that does not come in time.
    private inner class Listings(
        private val address: WorkerAddress,
        private val machine: WorkerMachine,
    ) : WorkerListings {
        private var life: WorkerLife? = null
        override var isProven = false
            private set

        override suspend fun list(renewal: Renewal): ListingOutcome {
            val outcome = attempt(renewal)
            if (outcome is ListingOutcome.Failed) {
                life = null
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
            if (life == null) delay(1)
            val connected = life?.takeIf { !it.isOver } ?: machine.life.takeIf { life == null }
            life = connected ?: return ListingOutcome.Failed("refused")
            val answer = CompletableDeferred<ListingOutcome>()

            fun reply(outcome: ListingOutcome) {
                if (wire.passes(machine.address, entryId)) {
                    time.after(wire.wayMillis()) { process.step { answer.complete(outcome) } }
                }
            }

            fun carryOut(
                delayMillis: Long,
                onDone: (ListingOutcome) -> Unit,
            ) {
                time.after(delayMillis) {
                    when {
                        connected.isOver -> Unit
                        isNamed(connected, address) -> connected.hold(renewal, onDone)
                        else -> onDone(ListingOutcome.Refused(StartRefusal.OTHER_LIFE))
                    }
                }
            }
            when (wire.fate(entryId, machine.address)) {
                WireFate.SERVED -> carryOut(wire.wayMillis(), ::reply)
                WireFate.ANSWER_LOST -> carryOut(wire.wayMillis()) {}
                WireFate.LATE -> carryOut(wire.lateMillis()) {}
                WireFate.UNHEALTHY -> reply(ListingOutcome.Refused(StartRefusal.UNHEALTHY))
                WireFate.LOST -> Unit
            }
            val waitMillis = renewal.waitMillis + ANSWER_MILLIS
            return withTimeoutOrNull(waitMillis) { answer.await() } ?: ListingOutcome.Failed("no answer")
        }

        override fun close() {
            life = null
            isProven = false
        }
    }

    private companion object {
        val otherLife = OrderOutcome.Refused(StartRefusal.OTHER_LIFE)

        // As the real gateway waits.
        const val ORDER_TIMEOUT_MILLIS = 500L
        const val ANSWER_MILLIS = 600L
        const val CONNECT_ONE_IN = 12
        const val LONGEST_CONNECT_MILLIS = 300L
    }
}
