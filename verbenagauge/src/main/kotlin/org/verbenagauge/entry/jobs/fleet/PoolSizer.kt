package org.verbenagauge.entry.jobs.fleet

import org.verbenagauge.entry.jobs.model.Amount

/**
 * Demand of a pool at one moment.
 *
 * @property poolName pool.
 * @property used what runs or may run.
 * @property pending what waits for room and for nothing else.
 * @property machineCapacity what one machine of the pool has.
 * @property minMachines machines that waiting tasks need which must not share one.
 */
internal data class PoolDemand(
    val poolName: String,
    val used: Amount,
    val pending: Amount,
    val machineCapacity: Amount,
    val minMachines: Int = 0,
)

/** Says how many machines a pool needs. A pure decision. */
internal interface PoolSizer {
    /** Takes in [demand] at [now] and returns the number of machines that the pool shall have. */
    fun size(
        demand: PoolDemand,
        now: Long,
    ): Int
}

/** Leaves every pool at [machines]; the naive version of [PeakDemandSizer]. */
internal class FixedSizer(
    private val machines: Int,
) : PoolSizer {
    override fun size(
        demand: PoolDemand,
        now: Long,
    ): Int = machines
}

/**
 * Follows the highest demand of the last seconds, with headroom. Answers queues that ask five times their mean for some
 * seconds by turns: a pool grows at once and shrinks after its turn.
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
        // A turn has pauses of a second or two; a machine that left takes as long to come back.
        const val WINDOW_MILLIS = 3_000L

        // Tasks do not fill machines to the brim.
        const val HEADROOM_FACTOR = 1.15

        // What takes the first moments of a turn, until more machines have come.
        const val MIN_MACHINES = 5
    }
}
