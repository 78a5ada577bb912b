package org.verbenagauge.entry.jobs.fleet

/** Says how many machines that serve may be taken out of service at once for a wave. A pure decision. */
internal interface WavePace {
    /** Returns the number for [progress] at [now], while [remaining] machines have not begun. */
    fun limit(
        progress: WaveProgress,
        remaining: Int,
        now: Long,
    ): Int
}

/** As many as the wave allows, so that it ends soon; the naive version of [EvenPace]. */
internal class FullPace : WavePace {
    override fun limit(
        progress: WaveProgress,
        remaining: Int,
        now: Long,
    ): Int = progress.wave.maxAtOnce
}

/**
 * As few as end in time, with a reserve. Answers waves that come while queues ask for more than their pools hold: each
 * machine that is down then costs callers more than a wave that ends later.
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
        // Emptying, maintenance and the start of the new worker take about two seconds each.
        const val MACHINE_ROUND_MILLIS = 6_000L

        // For machines that are down or leave, and for changes of the owner.
        const val RESERVE_SHARE = 0.25
    }
}
