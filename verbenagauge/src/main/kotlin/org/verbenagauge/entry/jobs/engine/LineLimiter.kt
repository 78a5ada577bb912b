package org.verbenagauge.entry.jobs.engine

/** Allows at most [maxPerSecond] log lines in a second. */
internal class LineLimiter(
    private val maxPerSecond: Int,
) {
    private var windowStartMillis = Long.MIN_VALUE / 2
    private var linesInWindow = 0

    /** Whether another line may be written at [now]; counts it. */
    fun takeLine(now: Long): Boolean {
        if (now - windowStartMillis >= WINDOW_MILLIS) {
            windowStartMillis = now
            linesInWindow = 0
        }
        return linesInWindow++ < maxPerSecond
    }

    private companion object {
        const val WINDOW_MILLIS = 1_000L
    }
}
