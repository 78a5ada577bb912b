package org.verbenagauge.fake

import org.verbenagauge.entry.clock.Clock

/** Clock that moves only when a test moves it. */
class FakeClock(
    @Volatile var nowMillis: Long = 0,
) : Clock {
    override fun monotonicMillis(): Long = nowMillis

    override fun wallMillis(): Long = WALL_START_MILLIS + nowMillis

    /** Moves the clock forward by [millis]. */
    fun advance(millis: Long) {
        nowMillis += millis
    }

    private companion object {
        const val WALL_START_MILLIS = 1_700_000_000_000L
    }
}
