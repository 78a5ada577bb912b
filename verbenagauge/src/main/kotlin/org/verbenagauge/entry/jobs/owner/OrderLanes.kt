package org.verbenagauge.entry.jobs.owner

import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.jobs.ports.WorkerAddress
import org.verbenagauge.entry.jobs.ports.WorkerGateway

/**
 * Lanes of the workers that get orders from one owner, and the connections that the orders use.
 *
 * @param connectionLimitOf returns how many connections a worker accepts from all callers together; 0 if not known.
 */
internal class OrderLanes(
    private val workers: WorkerGateway,
    private val clock: Clock,
    private val connectionLimitOf: (workerId: String) -> Long,
) {
    private val lanes = HashMap<WorkerAddress, OrderLane>()

    /** Returns the lane of the worker at [address]. */
    fun laneOf(address: WorkerAddress): OrderLane = lanes.getOrPut(address) { OrderLane(clock, concurrency(address)) }

    private fun concurrency(address: WorkerAddress): Int {
        val connectionLimit = connectionLimitOf(address.workerId)
        if (connectionLimit <= 0) return MAX_CONCURRENT_ORDERS
        return (connectionLimit / ENTRIES_PER_WORKER).coerceIn(1, MAX_CONCURRENT_ORDERS.toLong()).toInt()
    }

    /** Closes the connections to workers other than [addresses], and those that have not been used for a while. */
    fun closeUnused(addresses: Set<WorkerAddress>) {
        lanes
            .filter { (address, lane) -> lane.isIdle && address !in addresses }
            .keys
            .forEach { address ->
                lanes.remove(address)
                workers.disconnect(address)
            }
        workers.closeIdleConnections()
    }

    /** Closes all connections. */
    fun close() {
        lanes.keys.forEach(workers::disconnect)
        lanes.clear()
    }

    private companion object {
        // Workers answer in some milliseconds, so that a few connections carry a thousand orders a second.
        const val MAX_CONCURRENT_ORDERS = 4

        // Entries that may hold connections to a worker at the same time: the owner, and earlier ones that are suspended.
        const val ENTRIES_PER_WORKER = 16
    }
}
