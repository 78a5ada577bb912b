package org.verbenagauge.entry.jobs.engine

/**
 * Durations of tasks as learnt from runs that were done, by queue. Estimates of callers can be off by nine tenths, so
 * they only shade what was seen.
 */
internal class RunTimes {
    private val meanMillisByQueue = HashMap<String, Double>()

    /** Takes note that a task of [queueName] was done after [millis]. */
    fun learn(
        queueName: String,
        millis: Long,
    ) {
        val known = meanMillisByQueue[queueName]
        meanMillisByQueue[queueName] =
            if (known == null) millis.toDouble() else known + (millis - known) * LEARNING_RATE
    }

    /** Whether a run of [queueName] was seen to the end. */
    fun isKnown(queueName: String): Boolean = queueName in meanMillisByQueue

    /** Expected duration of a task of [queueName] that its caller puts at [estimateMillis]. */
    fun expectMillis(
        queueName: String,
        estimateMillis: Long,
    ): Long {
        val mean = meanMillisByQueue[queueName] ?: return estimateMillis
        return (mean + (estimateMillis - mean) * ESTIMATE_WEIGHT).toLong()
    }

    private companion object {
        const val LEARNING_RATE = 0.05
        const val ESTIMATE_WEIGHT = 0.2
    }
}
