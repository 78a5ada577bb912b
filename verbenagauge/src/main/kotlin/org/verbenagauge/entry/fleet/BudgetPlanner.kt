package org.verbenagauge.entry.fleet

import org.verbenagauge.entry.state.document.WaveReserve

/**
 * Keeps the budget of every pool that decides the length of the wave in full use, and takes less of the
 * others: list scheduling, longest remaining work first (R. L. Graham, "Bounds on Multiprocessing Timing
 * Anomalies", 1969), with a pool's budget as its machines.
 */
public object BudgetPlanner : WavePlanner {
    override fun plan(input: WavePlanInput): WavePlan {
        val draft = PlanDraft(input)
        val lanes = lanesOf(input, draft)
        val rounds = lanes.maxOfOrNull { it.rounds } ?: 0
        lanes.forEach { it.spareUnneeded(rounds, input.wave.reserve) }
        val open = lanes.toMutableList()
        while (open.isNotEmpty() && draft.hasLimitLeft()) {
            val lane = open.maxWith(compareBy({ it.remainingRounds }, { it.poolId }))
            if (!lane.takeNext(draft)) open -= lane
        }
        return draft.plan()
    }

    private fun lanesOf(
        input: WavePlanInput,
        draft: PlanDraft,
    ): List<PoolLane> {
        val servingByPool = input.serving.groupBy { it.poolId }
        return draft.open.groupBy { it.poolId }.map { (poolId, pending) ->
            PoolLane(poolId, pending, servingByPool[poolId].orEmpty(), input)
        }
    }
}

private class PoolLane(
    val poolId: String,
    pending: List<PlacedInstance>,
    private val serving: List<PlacedInstance>,
    private val input: WavePlanInput,
) {
    private val room = input.rooms[poolId]
    private val left = pending.sortedBy { it.instanceId }.toMutableList()
    private val work = pending.size + input.away.count { it.poolId == poolId }
    private var away = room?.planned ?: 0
    private var most = firmMost()

    /** Rounds of maintenance that the pool needs at the least. */
    val rounds: Int = maxOf(ceilDiv(work, most), zoneRounds())

    /** Rounds that are left after what was taken in this plan. */
    val remainingRounds: Double get() = left.size.toDouble() / maxOf(1, most)

    /** Lowers the use of the budget as far as the pool still ends within [roundsOfWave]. */
    fun spareUnneeded(
        roundsOfWave: Int,
        reserve: WaveReserve,
    ) {
        if (reserve == WaveReserve.SLACK && roundsOfWave > 0) most = minOf(most, ceilDiv(work, roundsOfWave))
    }

    /** Takes one instance out on paper; false when the pool has none that may go now. */
    fun takeNext(draft: PlanDraft): Boolean {
        if (left.isEmpty()) return false
        if (away >= most && left.any { draft.waitFor(it) == null }) {
            draft.refuse(poolId, PoolWait.RESERVE)
            return false
        }
        val next = ranked().firstOrNull(draft::tryTake) ?: return false
        left -= next
        away++
        return true
    }

    // Instances of the zone and rack with the most work left come first, so that no domain is left for the end.
    private fun ranked(): List<PlacedInstance> {
        val byZone = left.groupingBy { it.place.zoneId }.eachCount()
        val byRack = left.groupingBy { it.place.rackId }.eachCount()
        return left.sortedWith(
            compareBy({ -byZone.getValue(it.place.zoneId) }, { -byRack.getValue(it.place.rackId) }),
        )
    }

    private fun firmMost(): Int {
        val usable = (room?.free ?: 0) + (room?.planned ?: 0)
        return when (input.wave.reserve) {
            WaveReserve.SLACK -> usable
            WaveReserve.RACK -> withReserve(usable, largest { it.place.rackId })
            WaveReserve.ZONE -> withReserve(usable, largest { it.place.zoneId })
        }
    }

    private fun withReserve(
        usable: Int,
        reserve: Int,
    ): Int = maxOf(minOf(1, usable), usable - reserve)

    private fun largest(domainOf: (PlacedInstance) -> String): Int =
        serving
            .groupingBy(domainOf)
            .eachCount()
            .values
            .maxOrNull() ?: 0

    private fun zoneRounds(): Int {
        val perZone = room?.maxAwayPerZone ?: return 0
        val largestZone =
            left
                .groupingBy { it.place.zoneId }
                .eachCount()
                .values
                .maxOrNull() ?: 0
        return ceilDiv(largestZone, perZone)
    }
}

/** Returns the rounds of [atOnce] that [work] needs; 0 when nothing can be done. */
internal fun ceilDiv(
    work: Int,
    atOnce: Int,
): Int = if (atOnce < 1) 0 else (work + atOnce - 1) / atOnce
