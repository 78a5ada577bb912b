package org.verbenagauge.entry.jobs.fleet

import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.jobs.ports.Machine
import org.verbenagauge.entry.jobs.ports.MachineGateway

/** The platform's list of machines as last read; shared by all that orders machines. */
internal class MachineListCache(
    private val gateway: MachineGateway,
    private val clock: Clock,
) {
    /** Machines as last read. */
    var machines: List<Machine> = emptyList()
        private set

    /** When the last read began. */
    var readAtMillis = Long.MIN_VALUE / 2
        private set

    private var attemptedAtMillis = Long.MIN_VALUE / 2

    /** Reads the list unless it was tried shortly before; false when what is known is too old to act on. */
    suspend fun refresh(): Boolean {
        if (clock.monotonicMillis() - attemptedAtMillis > MIN_READ_INTERVAL_MILLIS) read()
        return clock.monotonicMillis() - readAtMillis <= MAX_AGE_MILLIS
    }

    /** Reads the list now. */
    suspend fun read() {
        val startedMillis = clock.monotonicMillis()
        attemptedAtMillis = startedMillis
        val listed = gateway.list() ?: return
        machines = listed
        readAtMillis = startedMillis
    }

    private companion object {
        // The platform allows some dozens of reads a second for all.
        const val MIN_READ_INTERVAL_MILLIS = 500L
        const val MAX_AGE_MILLIS = 2_500L
    }
}
