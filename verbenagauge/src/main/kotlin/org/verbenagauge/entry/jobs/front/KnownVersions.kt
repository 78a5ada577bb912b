package org.verbenagauge.entry.jobs.front

/**
 * Tracks which store version an entry has known for [SETTLING_MILLIS], so that a row of that version was stored before
 * the arrival of a call that is handled now.
 *
 * After a process pause, calls that came during the pause are still in the socket buffers and may be handled after
 * newer changes of the store have been read. So a version counts only [SETTLING_MILLIS] after it was read.
 */
internal class KnownVersions {
    private class Reading(
        val version: Long,
        val atMillis: Long,
    )

    private val readings = ArrayDeque<Reading>()

    /** Records that the store had reached [version] at [now], in milliseconds on the monotonic clock. */
    fun record(
        version: Long,
        now: Long,
    ) {
        if (version > (readings.lastOrNull()?.version ?: 0)) readings += Reading(version, now)
        while (readings.size > 1 && readings[1].atMillis <= now - SETTLING_MILLIS) readings.removeFirst()
    }

    /** Returns the newest version that is certainly older than a call handled at [now]; 0 when there is none. */
    fun knownBefore(now: Long): Long = readings.lastOrNull { it.atMillis <= now - SETTLING_MILLIS }?.version ?: 0

    private companion object {
        // Together with the pause between two feed answers, less than the shortest delay before a caller retries.
        const val SETTLING_MILLIS = 500L
    }
}
