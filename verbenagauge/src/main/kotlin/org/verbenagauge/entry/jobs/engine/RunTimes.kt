package org.verbenagauge.entry.jobs.engine

import kotlin.math.abs

/**
 * Durations of tasks as learnt from runs that were done, by queue. Estimates of callers can be off by nine tenths, so
 * they only shade what was seen.
 */
internal class RunTimes {
    private class Mean(
        var millis: Double = 0.0,
        var runs: Int = 0,
        var toldMillis: Double = 0.0,
        var version: Int = 0,
    )

    private val meanByQueue = HashMap<String, Mean>()

    /** Rises whenever what is expected of [queueName] changes. */
    fun version(queueName: String): Int = meanByQueue[queueName]?.version ?: 0

    /** Takes note that a task of [queueName] was done after [millis]. */
    fun learn(
        queueName: String,
        millis: Long,
    ) {
        val mean = meanByQueue.getOrPut(queueName) { Mean() }
        mean.runs++
        mean.millis += (millis - mean.millis) * maxOf(LEARNING_RATE, 1.0 / mean.runs)
        // What is ordered by expectations is ordered anew with each change of them.
        val isSteady = mean.runs > KNOWN_RUNS && abs(mean.millis - mean.toldMillis) <= mean.toldMillis * STEADY_SHARE
        if (isSteady) return
        mean.toldMillis = mean.millis
        mean.version++
    }

    /** Whether enough runs of [queueName] were seen to the end to judge a worker by the next one. */
    fun isKnown(queueName: String): Boolean = (meanByQueue[queueName]?.runs ?: 0) >= KNOWN_RUNS

    /** Expected duration of a task of [queueName] that its caller puts at [estimateMillis]. */
    fun expectMillis(
        queueName: String,
        estimateMillis: Long,
    ): Long {
        val mean = meanByQueue[queueName]?.toldMillis ?: return estimateMillis
        return (mean + (estimateMillis - mean) * ESTIMATE_WEIGHT).toLong()
    }

    private companion object {
        const val LEARNING_RATE = 0.05

        // Twice what the mean wavers by where tasks differ by half of it.
        const val STEADY_SHARE = 0.15

        // The mean of fewer runs can be off by half: short tasks end first after a change of the owner.
        const val KNOWN_RUNS = 20
        const val ESTIMATE_WEIGHT = 0.2
    }
}
