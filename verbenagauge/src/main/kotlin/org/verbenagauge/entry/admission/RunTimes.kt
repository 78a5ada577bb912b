package org.verbenagauge.entry.admission

/**
 * Learned run times of one pool: of each team on each queue, of each queue, and of all together.
 *
 * Method: exponentially smoothed means. Sizes that anyone declares are not used.
 */
internal class RunTimes {
    private val byTeam = HashMap<QueueOfTeam, SmoothedMean>()
    private val byQueue = HashMap<String, SmoothedMean>()
    private val ofAll = SmoothedMean()

    /** Mean run time of all requests in milliseconds, 1 as long as nothing has ended. */
    val meanOfAllMillis: Double get() = ofAll.value ?: UNKNOWN_MILLIS

    /** Expected run time of a request of [teamId] on [queueId] in milliseconds, from the closest known mean. */
    fun expectedMillis(
        queueId: String,
        teamId: String,
    ): Double = byTeam[QueueOfTeam(queueId, teamId)]?.value ?: byQueue[queueId]?.value ?: meanOfAllMillis

    /** Adds the run time of a request of [teamId] on [queueId]. */
    fun add(
        queueId: String,
        teamId: String,
        runMillis: Double,
    ) {
        if (byTeam.size >= MAX_KNOWN) byTeam.clear()
        if (byQueue.size >= MAX_KNOWN) byQueue.clear()
        byTeam.getOrPut(QueueOfTeam(queueId, teamId)) { SmoothedMean() }.add(runMillis)
        byQueue.getOrPut(queueId) { SmoothedMean() }.add(runMillis)
        ofAll.add(runMillis)
    }

    private data class QueueOfTeam(
        val queueId: String,
        val teamId: String,
    )

    private class SmoothedMean {
        var value: Double? = null
            private set

        fun add(sample: Double) {
            val mean = value
            value = if (mean == null) sample else mean + GAIN * (sample - mean)
        }
    }

    private companion object {
        const val GAIN = 0.125
        const val UNKNOWN_MILLIS = 1.0
        const val MAX_KNOWN = 10_000
    }
}
