package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.load.RunStats

/** Speed of one run of late, by its progress on the clock of its worker. */
internal class RunSpeed {
    private var clockMillis = UNKNOWN
    private var percent = 0
    private var ratio = 0.0
    private var fastest = Double.MAX_VALUE

    /** Takes note that the run began its work at [atMillis]. */
    fun began(atMillis: Long) {
        if (clockMillis == UNKNOWN) clockMillis = atMillis
    }

    /** Takes note that it was at [atPercent] at [atMillis]; [expectedMillis] is null while its queue is not known. */
    fun look(
        atMillis: Long,
        atPercent: Int,
        expectedMillis: Long?,
    ) {
        val spanMillis = atMillis - clockMillis
        if (clockMillis == UNKNOWN || spanMillis < 0 || atPercent < percent) return begin(atMillis, atPercent)
        if (expectedMillis == null || spanMillis < maxOf(LEAST_SPAN_MILLIS, expectedMillis / SPAN_PARTS)) return
        measure(spanMillis, atPercent - percent, expectedMillis)
        begin(atMillis, atPercent)
    }

    /** Takes note that it was done at [atMillis], [tookMillis] after its order; null when it had begun before that. */
    fun end(
        atMillis: Long,
        tookMillis: Long?,
        expectedMillis: Long,
    ) {
        val isPartKnown = clockMillis != UNKNOWN && percent > 0 && WHOLE - percent >= LEAST_PERCENT
        if (isPartKnown && atMillis > clockMillis) {
            measure(atMillis - clockMillis, WHOLE - percent, expectedMillis)
        } else if (tookMillis != null && ratio == 0.0) {
            ratio = tookMillis.toDouble() / expectedMillis
        }
    }

    /** What was seen of [run] of [task] last; null before anything was. */
    fun sight(
        run: Run,
        task: TaskEntry,
    ): RunStats? = if (ratio > 0) RunStats(run.runId, task.job.queue.name, ratio, maxOf(1.0, ratio / fastest)) else null

    /** What is left of it at that speed from [atPercent] on; null while its speed is not known. */
    fun remainingMillis(
        atPercent: Int,
        expectedMillis: Long,
    ): Long? = if (ratio > 0) (ratio * expectedMillis * (WHOLE - atPercent) / WHOLE).toLong() else null

    private fun begin(
        atMillis: Long,
        atPercent: Int,
    ) {
        clockMillis = atMillis
        percent = atPercent
    }

    // Percentages are whole: none may be a half.
    private fun measure(
        spanMillis: Long,
        percents: Int,
        expectedMillis: Long,
    ) {
        ratio = spanMillis * WHOLE / maxOf(LEAST_STEP, percents.toDouble()) / expectedMillis
        fastest = minOf(fastest, ratio)
    }

    private companion object {
        const val UNKNOWN = Long.MIN_VALUE
        const val WHOLE = 100

        // Shorter spans tell whole percentages too coarsely.
        const val LEAST_SPAN_MILLIS = 200L
        const val SPAN_PARTS = 10
        const val LEAST_PERCENT = 20
        const val LEAST_STEP = 0.5
    }
}
