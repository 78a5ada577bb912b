package org.verbenagauge.entry.load

import kotlin.math.abs

/**
 * Keeps one mean per queue; the baseline for [SpreadRunTimes]. Callers' estimates can be off by nine tenths, so they
 * only adjust the mean by a small weight.
 */
internal class MeanRunTimes : RunTimes {
    private class Mean(
        var millis: Double = 0.0,
        var runs: Int = 0,
        var publishedMillis: Double = 0.0,
        var version: Int = 0,
    )

    private val meanByQueue = HashMap<String, Mean>()

    override fun version(queueName: String): Int = meanByQueue[queueName]?.version ?: 0

    override fun learn(
        queueName: String,
        millis: Long,
        estimateMillis: Long,
    ) {
        val mean = meanByQueue.getOrPut(queueName) { Mean() }
        mean.runs++
        mean.millis += (millis - mean.millis) * maxOf(LEARNING_RATE, 1.0 / mean.runs)
        // Every change of the expected duration reorders the jobs that are ordered by it.
        val isSteady =
            mean.runs > MIN_RUNS &&
                abs(mean.millis - mean.publishedMillis) <= mean.publishedMillis * MIN_RELATIVE_CHANGE
        if (isSteady) return
        mean.publishedMillis = mean.millis
        mean.version++
    }

    override fun isKnown(queueName: String): Boolean = (meanByQueue[queueName]?.runs ?: 0) >= MIN_RUNS

    override fun expectMillis(
        queueName: String,
        estimateMillis: Long,
    ): Long {
        val mean = meanByQueue[queueName]?.publishedMillis ?: return estimateMillis
        return (mean + (estimateMillis - mean) * ESTIMATE_WEIGHT).toLong()
    }

    override fun remainingMillis(
        queueName: String,
        estimateMillis: Long,
        elapsedMillis: Long,
    ): Long = maxOf(0, expectMillis(queueName, estimateMillis) - elapsedMillis)

    override fun quantileMillis(
        queueName: String,
        estimateMillis: Long,
        share: Double,
    ): Long = expectMillis(queueName, estimateMillis)

    override fun likelihood(
        queueName: String,
        ratio: Double,
    ): Double = defaultRatios.likelihood(ratio)

    override fun medianRatio(queueName: String): Double = defaultRatios.quantile(0.5)

    override fun snapshot(maxQueues: Int): Map<String, LearntRunTimes> = emptyMap()

    override fun restore(learnt: Map<String, LearntRunTimes>) = Unit

    private companion object {
        val defaultRatios = RatioHistogram()

        const val LEARNING_RATE = 0.05

        // Twice the fluctuation of the mean where durations differ from it by half.
        const val MIN_RELATIVE_CHANGE = 0.15

        // The mean of fewer runs can be off by half, since short tasks complete first after a takeover.
        const val MIN_RUNS = 20

        // Weight of the difference between an estimate and the mean.
        const val ESTIMATE_WEIGHT = 0.2
    }
}
