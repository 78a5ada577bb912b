package org.verbenagauge.entry.jobs.engine

/**
 * Reduces the pace of filler runs on workers where the response time of a serving task approaches its target, and
 * raises it again in steps (additive increase, multiplicative decrease). Performs no I/O.
 */
internal class PaceGuard(
    private val state: EngineState,
) {
    private val changedAtMillis = HashMap<String, Long>()

    /** Adjusts the pace of fillers on all workers that run them. */
    fun check(now: Long) {
        state.workers.values.forEach { worker ->
            val fillers = worker.runs.values.filter { it.specification.isFiller && it.phase == RunPhase.RUNNING }
            if (fillers.isEmpty()) return@forEach
            if (now - (changedAtMillis[worker.id] ?: 0) < INTERVAL_MILLIS) return@forEach
            val pressure = worker.runs.values.maxOf { pressure(it) }
            val current = fillers.minOf { it.pacePercentage }
            val next = nextPace(current, pressure)
            // Repeats the order while a target is exceeded, since an earlier order may have been lost.
            fillers.filter { it.pacePercentage != next || pressure > HIGH_PRESSURE }.forEach { run ->
                run.pacePercentage = next
                changedAtMillis[worker.id] = now
                state.emit(EngineAction.Pace(worker.listed.address, run.taskId, run.runId, next))
            }
        }
    }

    private fun nextPace(
        current: Int,
        pressure: Double,
    ): Int =
        when {
            pressure > HIGH_PRESSURE -> 0
            pressure > RAISED_PRESSURE -> current / 2
            pressure < LOW_PRESSURE -> minOf(FULL_PACE_PERCENTAGE, current + PACE_INCREASE)
            else -> current
        }

    // Returns the response time of a serving task relative to its target; 0 for all other runs.
    private fun pressure(run: Run): Double {
        val target = run.specification.latencyTargetMillis
        if (target <= 0 || run.specification.isFiller || run.phase != RunPhase.RUNNING) return 0.0
        return run.figure.toDouble() / target
    }

    private companion object {
        // Workers report response times over windows of 500 ms.
        const val INTERVAL_MILLIS = 500L
        const val HIGH_PRESSURE = 1.0
        const val RAISED_PRESSURE = 0.85
        const val LOW_PRESSURE = 0.7
        const val PACE_INCREASE = 20
    }
}
