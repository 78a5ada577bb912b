package org.verbenagauge.entry.jobs.front

/**
 * Bounds the cancellations of jobs that are not stored. Each keeps a row until no write of its job can be in flight any
 * more, and every owner and every entry that starts reads these rows.
 */
internal class RecentCancellations {
    private val writtenAtMillis = ArrayDeque<Long>()

    /** Counts a cancellation at [now] on the monotonic clock; returns false if there are too many recent ones. */
    fun tryAdd(now: Long): Boolean {
        while (writtenAtMillis.isNotEmpty() &&
            now - writtenAtMillis.first() >= WINDOW_MILLIS
        ) {
            writtenAtMillis.removeFirst()
        }
        if (writtenAtMillis.size >= MAX_ROWS) return false
        writtenAtMillis += now
        return true
    }

    private companion object {
        // The time for which an owner keeps the rows.
        const val WINDOW_MILLIS = 180_000L

        // The rows of all entries of a large deployment together stay below what an owner remembers.
        const val MAX_ROWS = 1_000
    }
}
