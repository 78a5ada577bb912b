package org.verbenagauge.entry.jobs.fleet

import org.verbenagauge.entry.jobs.model.Amount

/**
 * Demand of a pool at one moment.
 *
 * @property poolName pool.
 * @property used what runs or may run.
 * @property wanted what waits for room and for nothing else.
 * @property machineCapacity what one machine of the pool has.
 * @property lasting part of what runs that lasts.
 * @property leastMachines machines that waiting tasks need which must not share one.
 * @property presentMachines machines that the pool has now or gets.
 */
internal data class PoolDemand(
    val poolName: String,
    val used: Amount,
    val wanted: Amount,
    val machineCapacity: Amount,
    val lasting: Amount = Amount(),
    val leastMachines: Int = 0,
    val presentMachines: Int = 0,
) {
    /** Machines that this takes, as far as tasks fill them. */
    val machines: Double get() = maxOf(leastMachines.toDouble(), machinesFor(used + wanted))

    /** Machines that this takes beside tasks that last. */
    val passingMachines: Double get() = machinesFor(used + wanted - lasting)

    private fun machinesFor(need: Amount): Double =
        maxOf(
            share(need.cpuMillis, machineCapacity.cpuMillis),
            share(need.memoryMegabytes, machineCapacity.memoryMegabytes),
            share(need.gpus, machineCapacity.gpus),
        )

    private fun share(
        need: Long,
        capacity: Long,
    ): Double = if (capacity > 0) need.toDouble() / capacity else 0.0
}

/**
 * Size of a pool.
 *
 * @property needed machines that the demand of now and of the last moments needs; idle ones of other pools are taken for it.
 * @property kept machines that the pool keeps and gets from standby, at least [needed].
 */
internal data class PoolSize(
    val needed: Int,
    val kept: Int = needed,
)

/** Says how many machines a pool needs. A pure decision. */
internal interface PoolSizer {
    /** Takes in [demand] at [now] and returns the size that the pool shall have. */
    fun size(
        demand: PoolDemand,
        now: Long,
    ): PoolSize
}

/** Leaves every pool at [machines]; the naive version of [TurnSizer]. */
internal class FixedSizer(
    private val machines: Int,
) : PoolSizer {
    override fun size(
        demand: PoolDemand,
        now: Long,
    ) = PoolSize(machines)
}

/**
 * Follows the highest demand of the last seconds, with headroom. Answers queues that ask five times their mean for some
 * seconds by turns: a pool grows at once and shrinks after its turn.
 */
internal class TurnSizer : PoolSizer {
    private class Sample(
        val atMillis: Long,
        val machines: Double,
    )

    private val samplesByPool = HashMap<String, ArrayDeque<Sample>>()

    override fun size(
        demand: PoolDemand,
        now: Long,
    ): PoolSize {
        val samples = samplesByPool.getOrPut(demand.poolName) { ArrayDeque() }
        samples.addLast(Sample(now, demand.machines))
        while (samples.first().atMillis < now - MEMORY_MILLIS) samples.removeFirst()
        val highest = samples.maxOf { it.machines }
        return PoolSize(maxOf(LEAST_MACHINES, Math.ceil(highest * HEADROOM).toInt() + 1))
    }

    private companion object {
        // A turn has pauses of a second or two; a machine that left takes as long to come back.
        const val MEMORY_MILLIS = 3_000L

        // Tasks do not fill machines to the brim.
        const val HEADROOM = 1.15

        // What takes the first moments of a turn, until more machines have come.
        const val LEAST_MACHINES = 5
    }
}

/**
 * Sizes pools as [follower] does, and keeps more where a turn is expected: all that the operator gave to a pool of a new
 * deployment until its first turn is over, and what its last turn needed when [forecast] expects the next.
 *
 * @param keepsUntried whether pools have the sizes that the operator gave them.
 */
internal class ForesightSizer(
    private val keepsUntried: Boolean,
    private val follower: PoolSizer = TurnSizer(),
    private val forecast: TurnForecast = TurnForecast(),
) : PoolSizer {
    private var firstMillis: Long? = null

    override fun size(
        demand: PoolDemand,
        now: Long,
    ): PoolSize {
        val beganMillis = firstMillis ?: now.also { firstMillis = now }
        forecast.observe(demand.poolName, demand.passingMachines, now)
        val needed = follower.size(demand, now).needed
        val isUntried = keepsUntried && !forecast.hadTurn(demand.poolName) && now - beganMillis < UNTRIED_MILLIS
        val untried = if (isUntried) demand.presentMachines else 0
        val lastingMachines = demand.machines - demand.passingMachines
        val turnMachines = forecast.expectedMachines(demand.poolName, now)
        val expected = if (turnMachines > 0) Math.ceil(turnMachines + maxOf(0.0, lastingMachines)).toInt() else 0
        return PoolSize(needed, maxOf(needed, untried, expected))
    }

    private companion object {
        // A pool without a turn in this time has none to wait for.
        const val UNTRIED_MILLIS = 60_000L
    }
}
