package org.verbenagauge.entry.load

/** Warm-up state of one worker, as it reports it. All times are in milliseconds on the monotonic clock. */
public class WarmUpState {
    private var warmAtMillis = 0L
    private var warmUpDurationMillis = 0L
    private var unknownUntilMillis = 0L

    /** Records that the worker reported at [now] that it stays cold for another [coldMillis]. */
    public fun recordColdMillis(
        coldMillis: Long,
        now: Long,
    ) {
        val remaining = coldMillis.coerceIn(0, MAX_COLD_MILLIS)
        warmUpDurationMillis = if (now < warmAtMillis) maxOf(warmUpDurationMillis, remaining) else remaining
        warmAtMillis = now + remaining
        unknownUntilMillis = 0
    }

    /** Marks the state as unknown because the zone returned to service at [now]; earlier reports no longer apply. */
    public fun invalidate(now: Long) {
        unknownUntilMillis = now + REPORT_INTERVAL_MILLIS
    }

    /** Whether the worker is cold at [now], or its state is unknown. */
    public fun isCold(now: Long): Boolean = now < warmAtMillis || now < unknownUntilMillis

    /** Returns how far the worker has warmed up at [now], from 0 to 1; 0 while its state is unknown. */
    public fun warmFraction(now: Long): Double =
        when {
            now < unknownUntilMillis -> 0.0
            now >= warmAtMillis -> 1.0
            else -> 1.0 - (warmAtMillis - now).toDouble() / warmUpDurationMillis
        }

    private companion object {
        // Workers write their entries every one to two seconds.
        const val REPORT_INTERVAL_MILLIS = 2_000L

        // Longer than any warm-up; limits implausible values, since an entry may come from another writer.
        const val MAX_COLD_MILLIS = 60_000L
    }
}
