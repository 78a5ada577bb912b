package org.verbenagauge.entry.load

/**
 * Capacity and usage of one pool, in thousandths of a core.
 *
 * @property serviceName name of the pool.
 * @property capacityCpuMillis CPU capacity of the workers for tasks that end, without what lasting tasks take.
 * @property usedCpuMillis part of it that running tasks use.
 * @property standbyCpuMillis capacity that the pool may gain soon, from idle standby machines and from workers that
 * have not answered yet; null when not known.
 * @property isFull whether tasks wait only for capacity.
 */
public data class PoolUsage(
    val serviceName: String,
    val capacityCpuMillis: Long,
    val usedCpuMillis: Long,
    val standbyCpuMillis: Long?,
    val isFull: Boolean,
)

/** The queue [queueName] of the pool [serviceName]. A lower [priority] runs first. */
public data class PoolQueue(
    val queueName: String,
    val serviceName: String,
    val priority: Int,
)

/**
 * Estimates how long jobs that arrive now would wait. Only work that is still useful counts as ahead of them, since
 * expired jobs run last. With [servesSurplusLast], surplus runs after all work within shares, including work that
 * arrives later, so it only gets the capacity that such work leaves.
 *
 * The throughput of a pool that has just become full is taken as the capacity of its workers and all standby machines;
 * after [SETTLE_MILLIS], as the measured throughput. The estimate thus tends towards short waits and accepting jobs.
 */
public class PressureEstimator(
    private val servesSurplusLast: Boolean,
) {
    private class PoolHistory {
        var fullSinceMillis: Long? = null
        var lastFullMillis = 0L
        var readAtMillis: Long? = null
        var doneWork = 0.0
        var spanMillis = 0.0
        var arrivedWithin = 0.0
        val activeAtMillis = HashMap<String, Long>()
        val expiredWork = doubleArrayOf(0.0, 0.0)
        val hasExpiries = booleanArrayOf(false, false)
    }

    private val pools = HashMap<String, PoolHistory>()

    /**
     * Records the figures at [now] and returns the load of the queues with an expected wait that had work of late; a
     * deployment may have thousands of other queues.
     */
    public fun estimate(
        now: Long,
        usages: List<PoolUsage>,
        queues: List<PoolQueue>,
        backlogs: List<BacklogTotals>,
    ): Map<String, QueuePressure> {
        val queuesByService = queues.groupBy { it.serviceName }
        val backlogsByQueue = backlogs.groupBy { it.queueName }
        val pressed = LinkedHashMap<String, QueuePressure>()
        usages.forEach { usage ->
            val own = queuesByService[usage.serviceName].orEmpty()
            val backlogsByOwnQueue = own.associateWith { backlogsByQueue[it.queueName].orEmpty() }
            val pool = pools.getOrPut(usage.serviceName) { PoolHistory() }
            observe(pool, usage, backlogsByOwnQueue.values.flatten(), now)
            val rate = rate(pool, usage, now)
            if (!usage.isFull || rate == null || rate <= 0) return@forEach
            own.filter { it.queueName in pool.activeAtMillis }.forEach { queue ->
                val ahead = backlogsByOwnQueue.filterKeys { it.priority <= queue.priority }.values.flatten()
                val pressure = pressure(pool, usage, rate, ahead, backlogsByOwnQueue.getValue(queue))
                if (pressure.surplusWaitMillis >= MIN_REPORTED_WAIT_MILLIS) pressed[queue.queueName] = pressure
            }
        }
        return pressed
    }

    private fun observe(
        pool: PoolHistory,
        usage: PoolUsage,
        backlogs: List<BacklogTotals>,
        now: Long,
    ) {
        backlogs.filter { it.usefulWork > 0 }.forEach { pool.activeAtMillis[it.queueName] = now }
        pool.activeAtMillis.values.removeIf { now - it > ACTIVE_MILLIS }
        val readAtMillis = pool.readAtMillis
        pool.readAtMillis = now
        // The backlog that a new owner inherits did not arrive at one time.
        if (readAtMillis == null) return
        pool.doneWork = pool.doneWork * DECAY + backlogs.sumOf { it.doneWork }
        pool.arrivedWithin = pool.arrivedWithin * DECAY + backlogs.filter { !it.isSurplus }.sumOf { it.arrivedWork }
        pool.spanMillis = pool.spanMillis * DECAY + (now - readAtMillis)
        if (usage.isFull) {
            pool.fullSinceMillis = pool.fullSinceMillis ?: now
            pool.lastFullMillis = now
        } else if (now - pool.lastFullMillis >= FULL_GRACE_MILLIS) {
            pool.fullSinceMillis = null
            pool.hasExpiries.fill(false)
        }
        for (kind in 0..1) {
            val expired = backlogs.filter { it.isSurplus == (kind == SURPLUS) }.sumOf { it.expiredWork }
            pool.expiredWork[kind] = pool.expiredWork[kind] * DECAY + expired
            if (usage.isFull && pool.expiredWork[kind] > pool.doneWork * EXPIRED_SHARE) pool.hasExpiries[kind] = true
        }
    }

    // Null while it depends on standby machines whose number is not known.
    private fun rate(
        pool: PoolHistory,
        usage: PoolUsage,
        now: Long,
    ): Long? {
        val fullMillis = pool.fullSinceMillis?.let { now - it } ?: 0
        if (fullMillis < SETTLE_MILLIS || pool.spanMillis <= 0) {
            return usage.standbyCpuMillis?.let { usage.capacityCpuMillis + it }
        }
        return maxOf((pool.doneWork / pool.spanMillis).toLong(), usage.capacityCpuMillis / MIN_RATE_DIVISOR)
    }

    private fun pressure(
        pool: PoolHistory,
        usage: PoolUsage,
        rate: Long,
        ahead: List<BacklogTotals>,
        own: List<BacklogTotals>,
    ): QueuePressure {
        val within = ahead.filter { !it.isSurplus }.sumOf { it.usefulWork }
        val all = ahead.sumOf { it.usefulWork }
        val taskMillis = own.maxOfOrNull { it.taskMillis } ?: 0
        // Running tasks are half done on average.
        val doneOfRunning = usage.usedCpuMillis * taskMillis / 2
        val surplusRate =
            if (servesSurplusLast) maxOf(rate - arrivalRate(pool), rate / MIN_SURPLUS_RATE_DIVISOR) else rate
        val surplusWaitMillis = maxOf(0, all - doneOfRunning) / maxOf(1, surplusRate)
        val withinWaitMillis = if (servesSurplusLast) maxOf(0, within - doneOfRunning) / rate else surplusWaitMillis
        return QueuePressure(
            withinWaitMillis = withinWaitMillis,
            surplusWaitMillis = surplusWaitMillis,
            withinLapses = pool.hasExpiries[WITHIN],
            surplusLapses = pool.hasExpiries[SURPLUS],
            taskMillis = taskMillis,
            rateCpuMillis = rate,
        )
    }

    private fun arrivalRate(pool: PoolHistory): Long =
        if (pool.spanMillis > 0) (pool.arrivedWithin / pool.spanMillis).toLong() else 0

    private companion object {
        const val WITHIN = 0
        const val SURPLUS = 1

        // Weight of earlier counts; with two updates per second, the last two to three seconds count.
        const val DECAY = 0.8

        // Moving a machine takes one to two seconds and is decided after as long, so a full pool may still grow until
        // then.
        const val SETTLE_MILLIS = 4_000L

        // A pool that was full within this time still counts as full; updates come every half second.
        const val FULL_GRACE_MILLIS = 1_000L

        // Single jobs expire for reasons of their own, such as failing tasks.
        const val EXPIRED_SHARE = 0.1

        // Work that completes in bursts must not look like a pool without throughput.
        const val MIN_RATE_DIVISOR = 4

        // Work within shares arrives unevenly, so a short burst must not reduce the rate for surplus to zero.
        const val MIN_SURPLUS_RATE_DIVISOR = 10

        // Refused jobs leave no work behind, so a queue is still reported for this time after its last work.
        const val ACTIVE_MILLIS = 10_000L

        // Callers do not notice shorter waits.
        const val MIN_REPORTED_WAIT_MILLIS = 200L
    }
}
