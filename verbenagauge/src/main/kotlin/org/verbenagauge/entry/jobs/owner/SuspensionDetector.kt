package org.verbenagauge.entry.jobs.owner

import org.verbenagauge.entry.clock.Clock

/**
 * Detects that the machine may have been suspended: the monotonic clock omits that time, the wall clock does not. A
 * jump of the wall clock looks the same, which costs one more read of the store.
 */
internal class SuspensionDetector(
    private val clock: Clock,
) {
    private var offsetMillis = clock.wallMillis() - clock.monotonicMillis()

    /** Returns whether the two clocks have diverged since the last call. */
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
