package org.verbenagauge.entry.jobs.owner

import org.verbenagauge.entry.clock.Clock

/**
 * Tells that the machine may have been suspended: the steady clock leaves that time out, the time of day does not.
 * A jump of the time of day looks the same, which costs one more read of the store.
 */
internal class SuspensionDetector(
    private val clock: Clock,
) {
    private var offsetMillis = clock.wallMillis() - clock.monotonicMillis()

    /** Whether the two clocks have moved apart since the last call. */
    fun hasBeenSuspended(): Boolean {
        val offset = clock.wallMillis() - clock.monotonicMillis()
        val hasMoved = kotlin.math.abs(offset - offsetMillis) > TOLERANCE_MILLIS
        offsetMillis = offset
        return hasMoved
    }

    private companion object {
        const val TOLERANCE_MILLIS = 200L
    }
}
