package org.verbenagauge.entry.load

/** Learns the durations of tasks by queue from completed runs. */
internal interface RunTimes {
    /** Returns a number that rises whenever expected durations of [queueName] change enough to reorder its jobs. */
    fun version(queueName: String): Int

    /** Records that a task of [queueName], which its caller estimated at [estimateMillis], completed after [millis]. */
    fun learn(
        queueName: String,
        millis: Long,
        estimateMillis: Long = 0,
    )

    /** Whether enough runs of [queueName] have completed to judge a worker by the next one. */
    fun isKnown(queueName: String): Boolean

    /** Returns the expected duration of a task of [queueName] that its caller estimates at [estimateMillis]. */
    fun expectMillis(
        queueName: String,
        estimateMillis: Long,
    ): Long

    /** Returns the mean remaining duration of such a task, given that it has run for [elapsedMillis]. */
    fun remainingMillis(
        queueName: String,
        estimateMillis: Long,
        elapsedMillis: Long,
    ): Long

    /** Returns the duration that such a task does not exceed in [share] of all cases. */
    fun quantileMillis(
        queueName: String,
        estimateMillis: Long,
        share: Double,
    ): Long

    /**
     * Returns the likelihood that a task of [queueName] takes about [ratio] times as long as expected on a healthy
     * machine.
     */
    fun likelihood(
        queueName: String,
        ratio: Double,
    ): Double

    /** Returns the median ratio of actual to expected duration of the runs of [queueName]. */
    fun medianRatio(queueName: String): Double

    /** Returns the statistics that the next owner starts with, for the [maxQueues] queues with the most runs. */
    fun snapshot(maxQueues: Int): Map<String, LearntRunTimes>

    /** Starts from the statistics that an earlier owner has [learnt]. Queues that already have runs keep their own. */
    fun restore(learnt: Map<String, LearntRunTimes>)
}

/**
 * Learned statistics of one queue, about sixty bytes.
 *
 * @property meanMillis mean duration.
 * @property runs number of completed runs.
 * @property estimateMillis geometric mean of the callers' estimates.
 * @property estimateVariance variance of the logarithm of the estimates.
 * @property trust weight of an estimate, from 0 to 1.
 * @property ratios histogram of actual to expected durations, in the format of [RatioHistogram.encode].
 */
internal data class LearntRunTimes(
    val meanMillis: Long,
    val runs: Int,
    val estimateMillis: Long,
    val estimateVariance: Double,
    val trust: Double,
    val ratios: String,
)

/** Creates the implementation that [settings] select. */
internal fun runTimes(settings: LoadSettings): RunTimes =
    if (settings.runTimeSpreads) SpreadRunTimes() else MeanRunTimes()
