package org.verbenagauge.entry.jobs.fleet

/** Decides how many machines with running tasks may be out of service at once for a maintenance wave. */
internal interface WavePace {
    /** Returns the maximum for [progress] at [now], when [remaining] machines have not begun their maintenance. */
    fun limit(
        progress: WaveProgress,
        remaining: Int,
        now: Long,
    ): Int
}

/** Allows as many as the wave permits, so that it ends early; the baseline for [EvenPace]. */
internal class FullPace : WavePace {
    override fun limit(
        progress: WaveProgress,
        remaining: Int,
        now: Long,
    ): Int = progress.wave.maxAtOnce
}

/**
 * Allows as few as suffice to end the wave in time, with a reserve. When queues demand more than the capacity of their
 * pools, each machine that is down costs callers more than a wave that ends later.
 */
internal class EvenPace : WavePace {
    override fun limit(
        progress: WaveProgress,
        remaining: Int,
        now: Long,
    ): Int {
        val elapsedMillis = now - progress.seenAtMillis
        val leftMillis = progress.wave.durationMillis * (1 - RESERVE_SHARE) - elapsedMillis
        val rounds = (leftMillis / MACHINE_ROUND_MILLIS).toInt()
        if (rounds < 1) return progress.wave.maxAtOnce
        return ((remaining + rounds - 1) / rounds).coerceIn(1, progress.wave.maxAtOnce)
    }

    private companion object {
        // Draining, maintenance and the start of the new worker take about two seconds each.
        const val MACHINE_ROUND_MILLIS = 6_000L

        // Covers machines that are down or leave the fleet, and takeovers by another owner.
        const val RESERVE_SHARE = 0.25
    }
}
