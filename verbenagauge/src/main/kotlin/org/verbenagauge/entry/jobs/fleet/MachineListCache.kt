package org.verbenagauge.entry.jobs.fleet

import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.jobs.ports.Machine
import org.verbenagauge.entry.jobs.ports.MachineGateway

/**
 * Cache of the platform's list of machines. It is shared by all components that send orders to machines, because the
 * platform limits how often the list may be read.
 */
internal class MachineListCache(
    private val gateway: MachineGateway,
    private val clock: Clock,
) {
    /** Machines of the last successful read. */
    var machines: List<Machine> = emptyList()
        private set

    /** Monotonic time at which the last successful read began. */
    var readAtMillis = NEVER_MILLIS
        private set

    private var attemptedAtMillis = NEVER_MILLIS

    /** Returns the number of running machines of the pool [poolName]; null before the list was first read. */
    fun machinesUp(poolName: String): Int? {
        if (readAtMillis == NEVER_MILLIS) return null
        return machines.count { it.isUp && it.poolName == poolName }
    }

    /**
     * Reads the list unless a read was attempted within the last [MIN_READ_INTERVAL_MILLIS]. Returns false when the
     * cached list is too old to base orders on.
     */
    suspend fun refresh(): Boolean {
        if (clock.monotonicMillis() - attemptedAtMillis > MIN_READ_INTERVAL_MILLIS) read()
        return clock.monotonicMillis() - readAtMillis <= MAX_AGE_MILLIS
    }

    /** Reads the list now; keeps the cached list when the platform does not answer. */
    suspend fun read() {
        val startedMillis = clock.monotonicMillis()
        attemptedAtMillis = startedMillis
        val listed = gateway.list() ?: return
        machines = listed
        readAtMillis = startedMillis
    }

    private companion object {
        const val NEVER_MILLIS = Long.MIN_VALUE / 2

        // The platform allows a few dozen reads per second for all entries together.
        const val MIN_READ_INTERVAL_MILLIS = 500L
        const val MAX_AGE_MILLIS = 2_500L
    }
}
