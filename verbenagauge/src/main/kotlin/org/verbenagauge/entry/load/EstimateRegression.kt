package org.verbenagauge.entry.load

import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.pow

/**
 * Measures how well callers' estimates predict the durations of one queue: the slope of the regression of the logarithm
 * of the duration on the logarithm of the estimate. Estimates that are off by a fifth, where durations differ by half,
 * get most of the weight; estimates that are off by half or more get little.
 */
internal class EstimateRegression {
    private var runs = 0
    private var meanEstimate = 0.0
    private var meanDuration = 0.0
    private var variance = 0.0
    private var covariance = 0.0
    private var priorWeight = PRIOR_WEIGHT
    private var isRestored = false

    /** Geometric mean of the estimates, in milliseconds. */
    val estimateMillis: Double get() = exp(meanEstimate)

    /** Variance of the logarithm of the estimates. */
    val estimateVariance: Double get() = variance

    /** Weight of an estimate, from 0 to 1. */
    val weight: Double get() {
        if (variance < MIN_VARIANCE) return priorWeight
        val slope = (covariance / variance).coerceIn(0.0, 1.0)
        return (slope * runs + priorWeight * PRIOR_RUNS) / (runs + PRIOR_RUNS)
    }

    /** Records a task that was estimated at [estimateMillis] and took [millis]. */
    fun add(
        millis: Long,
        estimateMillis: Long,
    ) {
        if (millis <= 0 || estimateMillis <= 0) return
        val duration = ln(millis.toDouble())
        val estimate = ln(estimateMillis.toDouble())
        runs++
        val rate = if (isRestored) RESTORED_LEARNING_RATE else maxOf(MIN_LEARNING_RATE, 1.0 / runs)
        val estimateDeviation = estimate - meanEstimate
        val durationDeviation = duration - meanDuration
        meanEstimate += rate * estimateDeviation
        meanDuration += rate * durationDeviation
        variance = (1 - rate) * (variance + rate * estimateDeviation.pow(2))
        covariance = (1 - rate) * (covariance + rate * estimateDeviation * durationDeviation)
    }

    /** Starts from the statistics that an earlier owner has [learnt]. */
    fun restore(learnt: LearntRunTimes) {
        if (learnt.estimateMillis <= 0 || learnt.meanMillis <= 0) return
        meanEstimate = ln(learnt.estimateMillis.toDouble())
        meanDuration = ln(learnt.meanMillis.toDouble())
        variance = maxOf(0.0, learnt.estimateVariance)
        priorWeight = learnt.trust.coerceIn(0.0, 1.0)
        covariance = priorWeight * variance
        isRestored = true
    }

    private companion object {
        // Prior weight while few runs are known: estimates can be off by nine tenths.
        const val PRIOR_WEIGHT = 0.2
        const val PRIOR_RUNS = 20

        // Averages over a few hundred runs.
        const val MIN_LEARNING_RATE = 0.005
        const val RESTORED_LEARNING_RATE = 0.01

        // Estimates that differ by less than a twentieth do not distinguish tasks.
        const val MIN_VARIANCE = 0.0025
    }
}
