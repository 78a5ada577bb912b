package org.verbenagauge.entry.jobs.fleet

/**
 * Expects the next turn of demand where queues take turns: it goes to the pool whose last turn began longest ago, one usual
 * interval after the turn before it began. Answers demand that goes round, which a pool that only follows it meets too late
 * by the time that a machine takes to move. Expects nothing until every pool had a turn and the intervals are alike.
 */
internal class TurnForecast {
    private class Demand {
        var base = 0.0
        var peak = 0.0
        var isInTurn = false
        var hadTurn = false
    }

    private class Onset(
        val poolName: String,
        val atMillis: Long,
    )

    private val demandByPool = LinkedHashMap<String, Demand>()
    private val onsets = ArrayDeque<Onset>()

    /** Takes in that [poolName] needs [machines] at [now]. */
    fun observe(
        poolName: String,
        machines: Double,
        now: Long,
    ) {
        val demand = demandByPool.getOrPut(poolName) { Demand().also { it.base = machines } }
        if (demand.isInTurn) {
            demand.peak = maxOf(demand.peak, machines)
            demand.isInTurn = machines > demand.base + (demand.peak - demand.base) * END_SHARE
            return
        }
        if (machines >= demand.base * ONSET_RATIO + ONSET_MACHINES) {
            demand.isInTurn = true
            demand.hadTurn = true
            demand.peak = machines
            onsets.addLast(Onset(poolName, now))
            if (onsets.size > MOST_ONSETS) onsets.removeFirst()
            return
        }
        demand.base += (machines - demand.base) * BASE_WEIGHT
    }

    /** Whether [poolName] has had a turn. */
    fun hadTurn(poolName: String): Boolean = demandByPool[poolName]?.hadTurn ?: false

    /** Machines that [poolName] will likely need within moments of [now]; 0 when no turn of it is expected. */
    fun expectedMachines(
        poolName: String,
        now: Long,
    ): Double {
        val demand = demandByPool[poolName] ?: return 0.0
        if (demand.isInTurn || nextPool() != poolName) return 0.0
        val intervalMillis = intervalMillis() ?: return 0.0
        val dueMillis = onsets.last().atMillis + intervalMillis
        return if (now in dueMillis - LEAD_MILLIS..dueMillis + GRACE_MILLIS) demand.peak else 0.0
    }

    private fun nextPool(): String? {
        val pools = demandByPool.keys
        if (pools.size < 2 || demandByPool.values.any { !it.hadTurn }) return null
        val lastOnsetByPool = onsets.associate { it.poolName to it.atMillis }
        return pools.minByOrNull { lastOnsetByPool[it] ?: Long.MIN_VALUE }
    }

    // Mean time from one onset to the next in the last round; null when turns do not follow one another evenly.
    private fun intervalMillis(): Long? {
        val round = onsets.takeLast(demandByPool.size)
        if (round.map { it.poolName }.toSet().size < demandByPool.size) return null
        val gaps = round.zipWithNext { a, b -> b.atMillis - a.atMillis }
        if (gaps.max() > gaps.min() * EVEN_RATIO) return null
        return gaps.average().toLong()
    }

    private companion object {
        const val MOST_ONSETS = 64

        // A turn asks for several times the mean; between turns next to nothing comes beside what lasts.
        const val ONSET_RATIO = 1.5
        const val ONSET_MACHINES = 4.0
        const val END_SHARE = 0.3
        const val BASE_WEIGHT = 0.05

        // Turns are seen to begin some moments late.
        const val EVEN_RATIO = 2.0

        // A move (MigrationS, DEPLOY) and the first listing of the new worker.
        const val LEAD_MILLIS = 2_500L
        const val GRACE_MILLIS = 2_000L
    }
}
