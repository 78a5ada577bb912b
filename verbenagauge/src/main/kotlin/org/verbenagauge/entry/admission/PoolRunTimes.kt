package org.verbenagauge.entry.admission

/**
 * Measured run times of one pool: for each team on each queue, for each queue, and for the whole pool.
 *
 * Method: exponentially smoothed means. Sizes declared by callers are not used.
 */
internal class PoolRunTimes {
    private val byTeam = HashMap<QueueTeam, SmoothedMean>()
    private val byQueue = HashMap<String, SmoothedMean>()
    private val overall = SmoothedMean()

    /** Mean run time of all requests in milliseconds; 1 until the first request has ended. */
    val overallMeanMillis: Double get() = overall.value ?: INITIAL_MEAN_MILLIS

    /** Expected run time of a request of [teamId] on [queueId] in milliseconds, from the most specific known mean. */
    fun expectedMillis(
        queueId: String,
        teamId: String,
    ): Double = byTeam[QueueTeam(queueId, teamId)]?.value ?: byQueue[queueId]?.value ?: overallMeanMillis

    /** Adds the run time of a request of [teamId] on [queueId]. */
    fun add(
        queueId: String,
        teamId: String,
        runMillis: Double,
    ) {
        if (byTeam.size >= MAX_MEANS) byTeam.clear()
        if (byQueue.size >= MAX_MEANS) byQueue.clear()
        byTeam.getOrPut(QueueTeam(queueId, teamId)) { SmoothedMean() }.add(runMillis)
        byQueue.getOrPut(queueId) { SmoothedMean() }.add(runMillis)
        overall.add(runMillis)
    }

    private data class QueueTeam(
        val queueId: String,
        val teamId: String,
    )

    private class SmoothedMean {
        var value: Double? = null
            private set

        fun add(sample: Double) {
            val mean = value
            value = if (mean == null) sample else mean + SMOOTHING_FACTOR * (sample - mean)
        }
    }

    private companion object {
        const val SMOOTHING_FACTOR = 0.125
        const val INITIAL_MEAN_MILLIS = 1.0
        const val MAX_MEANS = 10_000
    }
}
