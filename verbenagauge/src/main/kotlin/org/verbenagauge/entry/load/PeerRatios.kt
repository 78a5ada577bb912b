package org.verbenagauge.entry.load

/**
 * Recent ratios of actual to expected duration of the runs of one queue on all machines. Each run counts once, when its
 * speed is first known. The median corrects errors of the expected duration, which affect all machines alike: it is too
 * low after a takeover, when short tasks complete first, and wrong after every change of the tasks of the queue.
 */
internal class PeerRatios {
    private val recent = ArrayDeque<Double>()

    /** Median of the recent ratios; null while too few are known. */
    var median: Double? = null
        private set

    /** Adds the [ratio] of one run. */
    fun add(ratio: Double) {
        recent += ratio
        if (recent.size > WINDOW_RUNS) recent.removeFirst()
        if (recent.size >= MIN_RUNS) median = recent.sorted()[recent.size / 2]
    }

    private companion object {
        // The median of this many runs fluctuates by an eighth where durations differ by half of their mean.
        const val MIN_RUNS = 20

        // With a tenth of slow machines among them, the median shifts by less than that.
        const val WINDOW_RUNS = 61
    }
}
