package org.verbenagauge.entry.clock

/** Source of time of one process. */
public interface Clock {
    /** Milliseconds of a clock that never goes back within this process and stands for no date. */
    public fun monotonicMillis(): Long

    /** Milliseconds since 1970-01-01T00:00:00Z; may jump. Used for display and records only. */
    public fun wallMillis(): Long
}

/** Returns the clock of the operating system. */
public fun systemClock(): Clock = SystemClock

private object SystemClock : Clock {
    private const val NANOS_PER_MILLI = 1_000_000L

    override fun monotonicMillis(): Long = System.nanoTime() / NANOS_PER_MILLI

    override fun wallMillis(): Long = System.currentTimeMillis()
}
