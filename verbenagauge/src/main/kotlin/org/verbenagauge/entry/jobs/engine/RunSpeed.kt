package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.load.RunStats

/** Recent speed of one run, from its progress over time on the clock of its worker. */
internal class RunSpeed {
    private var clockMillis = UNKNOWN
    private var percent = 0
    private var ratio = 0.0
    private var lowestRatio = Double.MAX_VALUE

    /** Records that the run started at [atMillis]. */
    fun recordStart(atMillis: Long) {
        if (clockMillis == UNKNOWN) clockMillis = atMillis
    }

    /**
     * Records progress of [atPercent] at [atMillis]; [expectedMillis] is null while run times of its queue are unknown.
     */
    fun recordProgress(
        atMillis: Long,
        atPercent: Int,
        expectedMillis: Long?,
    ) {
        val spanMillis = atMillis - clockMillis
        if (clockMillis == UNKNOWN || spanMillis < 0 || atPercent < percent) return startSpan(atMillis, atPercent)
        if (expectedMillis == null || spanMillis < maxOf(MIN_SPAN_MILLIS, expectedMillis / MAX_SPANS_PER_RUN)) return
        updateRatio(spanMillis, atPercent - percent, expectedMillis)
        startSpan(atMillis, atPercent)
    }

    /** Records completion at [atMillis], [tookMillis] after the start order; null if the run resumed earlier work. */
    fun recordEnd(
        atMillis: Long,
        tookMillis: Long?,
        expectedMillis: Long,
    ) {
        val isLastSpanMeasurable =
            clockMillis != UNKNOWN && percent > 0 && FULL_PERCENT - percent >= MIN_REMAINING_PERCENT
        if (isLastSpanMeasurable && atMillis > clockMillis) {
            updateRatio(atMillis - clockMillis, FULL_PERCENT - percent, expectedMillis)
        } else if (tookMillis != null && ratio == 0.0) {
            ratio = tookMillis.toDouble() / expectedMillis
        }
    }

    /** Returns the latest measurement of [run] of [task], or null if there is none yet. */
    fun measurement(
        run: Run,
        task: TaskEntry,
    ): RunStats? =
        if (ratio >
            0
        ) {
            RunStats(run.runId, task.job.queue.name, ratio, maxOf(1.0, ratio / lowestRatio))
        } else {
            null
        }

    /**
     * Returns the remaining milliseconds from [atPercent] on at the recent speed, or null while the speed is unknown.
     */
    fun remainingMillis(
        atPercent: Int,
        expectedMillis: Long,
    ): Long? = if (ratio > 0) (ratio * expectedMillis * (FULL_PERCENT - atPercent) / FULL_PERCENT).toLong() else null

    private fun startSpan(
        atMillis: Long,
        atPercent: Int,
    ) {
        clockMillis = atMillis
        percent = atPercent
    }

    // Progress is reported in whole percents, so no visible progress counts as half a percent.
    private fun updateRatio(
        spanMillis: Long,
        percents: Int,
        expectedMillis: Long,
    ) {
        ratio = spanMillis * FULL_PERCENT / maxOf(MIN_PROGRESS_PERCENT, percents.toDouble()) / expectedMillis
        lowestRatio = minOf(lowestRatio, ratio)
    }

    private companion object {
        const val UNKNOWN = Long.MIN_VALUE
        const val FULL_PERCENT = 100

        // Progress comes in whole percents, which are too coarse for shorter spans.
        const val MIN_SPAN_MILLIS = 200L
        const val MAX_SPANS_PER_RUN = 10
        const val MIN_REMAINING_PERCENT = 20
        const val MIN_PROGRESS_PERCENT = 0.5
    }
}
