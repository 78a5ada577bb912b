package org.verbenagauge.entry.jobs.fleet

import org.verbenagauge.entry.jobs.model.Amount

/**
 * Demand of a pool at one point in time.
 *
 * @property used amount reserved by runs that are or may be in progress.
 * @property pending amount needed by tasks that wait only for capacity.
 * @property machineCapacity capacity of one machine of the pool.
 * @property minMachines number of machines needed by pending tasks that must not share a machine.
 */
internal data class PoolDemand(
    val poolName: String,
    val used: Amount,
    val pending: Amount,
    val machineCapacity: Amount,
    val minMachines: Int = 0,
)

/** Decides how many machines a pool needs. */
internal interface PoolSizer {
    /** Records [demand] at [now] and returns the number of machines that the pool should have. */
    fun size(
        demand: PoolDemand,
        now: Long,
    ): Int
}

/** Keeps every pool at [machines]; the baseline for [PeakDemandSizer]. */
internal class FixedSizer(
    private val machines: Int,
) : PoolSizer {
    override fun size(
        demand: PoolDemand,
        now: Long,
    ): Int = machines
}

/**
 * Sizes pools by the peak demand of the last [WINDOW_MILLIS], with headroom. Queues take turns with bursts of a few
 * seconds at five times their mean demand, so a pool grows immediately and shrinks only after its burst.
 */
internal class PeakDemandSizer : PoolSizer {
    private class Sample(
        val atMillis: Long,
        val machines: Double,
    )

    private val samplesByPool = HashMap<String, ArrayDeque<Sample>>()

    override fun size(
        demand: PoolDemand,
        now: Long,
    ): Int {
        val samples = samplesByPool.getOrPut(demand.poolName) { ArrayDeque() }
        samples.addLast(Sample(now, machinesFor(demand)))
        while (samples.first().atMillis < now - WINDOW_MILLIS) samples.removeFirst()
        val highest = samples.maxOf { it.machines }
        return maxOf(MIN_MACHINES, Math.ceil(highest * HEADROOM_FACTOR).toInt() + 1)
    }

    private fun machinesFor(demand: PoolDemand): Double {
        val need = demand.used + demand.pending
        return maxOf(
            demand.minMachines.toDouble(),
            ratio(need.cpuMillis, demand.machineCapacity.cpuMillis),
            ratio(need.memoryMegabytes, demand.machineCapacity.memoryMegabytes),
            ratio(need.gpus, demand.machineCapacity.gpus),
        )
    }

    private fun ratio(
        need: Long,
        capacity: Long,
    ): Double = if (capacity > 0) need.toDouble() / capacity else 0.0

    private companion object {
        // A burst has pauses of one to two seconds; a machine that has left the pool takes as long to return.
        const val WINDOW_MILLIS = 3_000L

        // Tasks cannot use the capacity of machines completely.
        const val HEADROOM_FACTOR = 1.15

        // Serves the start of a burst until more machines have arrived.
        const val MIN_MACHINES = 5
    }
}
