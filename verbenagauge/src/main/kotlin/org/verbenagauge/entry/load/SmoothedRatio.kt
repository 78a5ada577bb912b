package org.verbenagauge.entry.load

/** Exponentially smoothed ratio of actual to expected duration of the runs on one worker. */
internal class SmoothedRatio {
    private var value = 1.0

    /**
     * Adds the [ratio] of one run. Returns the smoothed ratio and resets it if the worker now counts as slow, else
     * null.
     */
    fun add(ratio: Double): Double? {
        value += (minOf(ratio, MAX_RATIO) - value) * WEIGHT
        if (value <= SLOW_RATIO) return null
        return value.also { value = 1.0 }
    }

    private companion object {
        // Durations of one queue differ by half of their mean, so three runs in a row at three times the mean are no
        // coincidence.
        const val WEIGHT = 0.4
        const val SLOW_RATIO = 2.2
        const val MAX_RATIO = 6.0
    }
}

/**
 * Judges each machine by its last few completed or failed runs; the baseline for [BayesianMachineHealth]. It mistakes
 * long tasks for slow machines.
 *
 * @param avoidMillis time for which a machine that was found slow or failing is avoided.
 */
internal class RecentRunsMachineHealth(
    private val avoidMillis: Long,
) : MachineHealthEstimator {
    private class MachineRecord {
        val ratio = SmoothedRatio()
        var failures = 0
        var factor = 1.0
        var avoidUntilMillis = 0L
    }

    private val recordByMachine = HashMap<String, MachineRecord>()

    override fun observeRunning(
        machineId: String,
        observations: List<RunStats>,
        now: Long,
    ) = Unit

    override fun recordCompletion(
        machineId: String,
        observation: RunStats,
        now: Long,
    ) {
        val record = recordByMachine.getOrPut(machineId) { MachineRecord() }
        record.failures = 0
        record.ratio.add(observation.ratio)?.let { avoid(record, it, now) }
    }

    override fun recordFailure(
        machineId: String,
        queueName: String,
        now: Long,
    ) {
        val record = recordByMachine.getOrPut(machineId) { MachineRecord() }
        if (++record.failures >= FAILURES_TO_AVOID) avoid(record, factor = 1.0, now)
    }

    override fun recordMachineLoss(
        machineId: String,
        now: Long,
    ) = Unit

    private fun avoid(
        record: MachineRecord,
        factor: Double,
        now: Long,
    ) {
        record.factor = factor
        record.avoidUntilMillis = now + avoidMillis
    }

    override fun standing(
        machineId: String,
        now: Long,
    ): MachineStanding {
        val record = recordByMachine[machineId]?.takeIf { it.avoidUntilMillis > now } ?: return MachineStanding()
        return MachineStanding(record.factor, certainty = 1.0, reason = "its last runs")
    }

    private companion object {
        const val FAILURES_TO_AVOID = 2
    }
}
