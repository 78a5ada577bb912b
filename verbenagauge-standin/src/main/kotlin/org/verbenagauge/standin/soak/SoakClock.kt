package org.verbenagauge.standin.soak

import java.util.concurrent.TimeUnit

/** Steady clock of one soak, from its start. */
internal class SoakClock {
    private val startedNanos = System.nanoTime()

    /** Time since the start of the soak. */
    fun nowMillis(): Long = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos)

    /** Waits until [isMet], at most [timeoutMillis]; returns whether it was met. */
    fun await(
        timeoutMillis: Long,
        isMet: () -> Boolean,
    ): Boolean {
        val untilMillis = nowMillis() + timeoutMillis
        while (!isMet()) {
            if (nowMillis() >= untilMillis) return false
            Thread.sleep(LOOK_MILLIS)
        }
        return true
    }

    private companion object {
        const val LOOK_MILLIS = 5L
    }
}
