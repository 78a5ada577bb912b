package org.verbenagauge.entry.jobs.engine

/**
 * Reading of the store's steady clock, which all owners share.
 *
 * @property storeMillis the store's time while it handled a call.
 * @property sentAtMillis monotonic time at which the call was sent.
 * @property answeredAtMillis monotonic time at which its answer arrived.
 */
internal data class StoreReading(
    val storeMillis: Long,
    val sentAtMillis: Long,
    val answeredAtMillis: Long,
)

/**
 * Estimates the store's steady clock. The estimate is never ahead, since the monotonic clock may omit the time for which
 * the machine was suspended.
 */
internal class StoreClock {
    /** Newest reading; null before the first one. */
    var reading: StoreReading? = null
        private set

    /** Takes [newer] into account. */
    fun record(newer: StoreReading) {
        reading = newer
    }

    /** Whether the store's clock has certainly passed [storeMillis] at [now]; false if either is not known. */
    fun hasPassed(
        storeMillis: Long?,
        now: Long,
    ): Boolean = differenceMillis(storeMillis, now)?.let { it < 0 } ?: false

    /** Returns the time from [now] until the store's clock has certainly passed [storeMillis]; null if not known. */
    fun leftMillis(
        storeMillis: Long?,
        now: Long,
    ): Long? = differenceMillis(storeMillis, now)?.let { maxOf(0, it) }

    private fun differenceMillis(
        storeMillis: Long?,
        now: Long,
    ): Long? {
        val last = reading ?: return null
        return storeMillis?.let { it - last.storeMillis - (now - last.answeredAtMillis) }
    }
}
