package org.verbenagauge.entry.load

import kotlin.math.abs
import kotlin.math.exp
import kotlin.math.pow

/**
 * Keeps, for each queue, the mean duration, the distribution around it and the weight of callers' estimates. Designed
 * for load where three tasks in a hundred take seven times as long, and estimates are off by a fifth in some queues and
 * by half or more in others.
 */
internal class SpreadRunTimes : RunTimes {
    private class QueueStatistics {
        var meanMillis = 0.0
        var runs = 0
        var version = 0
        val estimates = EstimateRegression()
        val ratios = RatioHistogram()
        var published = Published(0.0, 0.0, 0.0, 0.0)
    }

    // Inputs of the expected duration. They are replaced together, so that expectations change only with the version.
    private data class Published(
        val meanMillis: Double,
        val estimateMillis: Double,
        val estimateVariance: Double,
        val estimateWeight: Double,
    )

    private val learntByQueue = HashMap<String, QueueStatistics>()

    override fun version(queueName: String): Int = learntByQueue[queueName]?.version ?: 0

    override fun learn(
        queueName: String,
        millis: Long,
        estimateMillis: Long,
    ) {
        val learnt = learntByQueue.getOrPut(queueName) { QueueStatistics() }
        if (learnt.runs >= MIN_RUNS) {
            learnt.ratios.add(millis.toDouble() / maxOf(1, expectMillis(queueName, estimateMillis)))
        }
        learnt.runs++
        learnt.meanMillis += (millis - learnt.meanMillis) * maxOf(LEARNING_RATE, 1.0 / learnt.runs)
        learnt.estimates.add(millis, estimateMillis)
        publish(learnt)
    }

    private fun publish(learnt: QueueStatistics) {
        val estimates = learnt.estimates
        val current =
            Published(learnt.meanMillis, estimates.estimateMillis, estimates.estimateVariance, estimates.weight)
        val published = learnt.published
        val isSteady =
            abs(current.meanMillis - published.meanMillis) <= published.meanMillis * MIN_RELATIVE_CHANGE &&
                abs(current.estimateMillis - published.estimateMillis) <=
                published.estimateMillis * MIN_RELATIVE_CHANGE &&
                abs(current.estimateWeight - published.estimateWeight) <= MIN_RELATIVE_CHANGE
        if (learnt.runs > MIN_RUNS && isSteady) return
        learnt.published = current
        learnt.version++
    }

    override fun isKnown(queueName: String): Boolean = (learntByQueue[queueName]?.runs ?: 0) >= MIN_RUNS

    override fun expectMillis(
        queueName: String,
        estimateMillis: Long,
    ): Long {
        val learnt = learntByQueue[queueName] ?: return estimateMillis
        val published = learnt.published
        if (learnt.runs < MIN_RUNS || estimateMillis <= 0 || published.estimateMillis <= 0) {
            return (published.meanMillis + (estimateMillis - published.meanMillis) * FALLBACK_ESTIMATE_WEIGHT).toLong()
        }
        // Corrects for the mean of a power of log-normal estimates, which exceeds the power of their geometric mean.
        val meanCorrection = exp(published.estimateWeight.pow(2) * published.estimateVariance / 2)
        val estimateFactor = (estimateMillis / published.estimateMillis).pow(published.estimateWeight) / meanCorrection
        return (published.meanMillis * estimateFactor.coerceIn(1 / MAX_ESTIMATE_FACTOR, MAX_ESTIMATE_FACTOR)).toLong()
    }

    override fun remainingMillis(
        queueName: String,
        estimateMillis: Long,
        elapsedMillis: Long,
    ): Long {
        val expectedMillis = maxOf(1, expectMillis(queueName, estimateMillis))
        val ratios = learntByQueue[queueName]?.ratios ?: defaultRatios
        return (ratios.meanBeyond(elapsedMillis.toDouble() / expectedMillis) * expectedMillis).toLong()
    }

    override fun quantileMillis(
        queueName: String,
        estimateMillis: Long,
        share: Double,
    ): Long =
        ((learntByQueue[queueName]?.ratios ?: defaultRatios).quantile(share) * expectMillis(queueName, estimateMillis))
            .toLong()

    override fun likelihood(
        queueName: String,
        ratio: Double,
    ): Double = (learntByQueue[queueName]?.ratios ?: defaultRatios).likelihood(ratio)

    override fun medianRatio(queueName: String): Double =
        (learntByQueue[queueName]?.ratios ?: defaultRatios).quantile(0.5)

    override fun snapshot(maxQueues: Int): Map<String, LearntRunTimes> =
        learntByQueue.entries
            .filter { it.value.runs >= MIN_RUNS }
            .sortedByDescending { it.value.runs }
            .take(maxQueues)
            .associate { (queueName, learnt) -> queueName to record(learnt) }

    private fun record(learnt: QueueStatistics) =
        LearntRunTimes(
            meanMillis = learnt.meanMillis.toLong(),
            runs = learnt.runs,
            estimateMillis = learnt.estimates.estimateMillis.toLong(),
            estimateVariance = learnt.estimates.estimateVariance,
            trust = learnt.estimates.weight,
            ratios = learnt.ratios.encode(),
        )

    override fun restore(learnt: Map<String, LearntRunTimes>) {
        learnt
            .filter { (queueName, record) ->
                queueName !in learntByQueue && record.meanMillis > 0
            }.forEach { (queueName, record) ->
                val entry = QueueStatistics()
                entry.meanMillis = record.meanMillis.toDouble()
                entry.runs = maxOf(MIN_RUNS, record.runs)
                entry.estimates.restore(record)
                entry.ratios.decode(record.ratios)
                learntByQueue[queueName] = entry
                publish(entry)
            }
    }

    private companion object {
        val defaultRatios = RatioHistogram()

        // With a tail of seven times the mean, the mean fluctuates by an eighth.
        const val LEARNING_RATE = 0.02

        // Twice the fluctuation of the mean where durations differ from it by half.
        const val MIN_RELATIVE_CHANGE = 0.15

        // The mean of fewer runs can be off by half, since short tasks complete first after a takeover.
        const val MIN_RUNS = 20
        const val FALLBACK_ESTIMATE_WEIGHT = 0.2

        // A larger factor indicates a wrong estimate rather than a task of another size.
        const val MAX_ESTIMATE_FACTOR = 20.0
    }
}
