package org.verbenagauge.entry.jobs.front

/**
 * Which version of the store an entry had known of for a while, so that a row of that version was there before a call came.
 *
 * A process that stood still finds calls that came meanwhile in its sockets, maybe after it has read the store's news. So a
 * version counts only [SETTLING_MILLIS] after it was read.
 */
internal class KnownVersions {
    private class Reading(
        val version: Long,
        val atMillis: Long,
    )

    private val readings = ArrayDeque<Reading>()

    /** Takes note that the store had reached [version] at [now]. */
    fun record(
        version: Long,
        now: Long,
    ) {
        if (version > (readings.lastOrNull()?.version ?: 0)) readings += Reading(version, now)
        while (readings.size > 1 && readings[1].atMillis <= now - SETTLING_MILLIS) readings.removeFirst()
    }

    /** Newest version that a call which comes at [now] surely came after; 0 when there is none. */
    fun knownBefore(now: Long): Long = readings.lastOrNull { it.atMillis <= now - SETTLING_MILLIS }?.version ?: 0

    private companion object {
        // With the pause between two answers of the feed less than the shortest time after which a caller comes back.
        const val SETTLING_MILLIS = 500L
    }
}
