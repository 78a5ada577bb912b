package org.verbenagauge.entry.fleet

/** Takes instances out one by one on paper, and refuses those that a budget or a limit does not allow. */
internal class PlanDraft(
    private val input: WavePlanInput,
) {
    private val taken = ArrayList<PlacedInstance>()
    private val takenByPool = HashMap<String, Int>()
    private val takenByRack = HashMap<PoolDomain, Int>()
    private val takenByZone = HashMap<PoolDomain, Int>()
    private val refused = HashMap<String, PoolWait>()
    private val stage = stageOf(input)

    /** Instances that may be considered now, after the order of pools and pools to be left alone. */
    val open: List<PlacedInstance> = input.pending.filter { isOpen(it.poolId) }

    /** Whether the limit of the wave allows another instance. */
    fun hasLimitLeft(): Boolean = input.limit == null || input.away.size + taken.size < input.limit

    /** Instances that [poolId] may still lose. */
    fun free(poolId: String): Int = (input.rooms[poolId]?.free ?: 0) - (takenByPool[poolId] ?: 0)

    /** What holds [instance] back, or null. */
    fun waitFor(instance: PlacedInstance): PoolWait? {
        val poolId = instance.poolId
        return when {
            !hasLimitLeft() -> PoolWait.WAVE
            free(poolId) < 1 -> budgetWait(poolId)
            !domainAllows(instance) -> PoolWait.DOMAIN_BUDGET_USED
            else -> null
        }
    }

    /** Takes [instance] out when all bounds allow it. */
    fun tryTake(instance: PlacedInstance): Boolean {
        val wait = waitFor(instance)
        if (wait != null) {
            refused[instance.poolId] = wait
            return false
        }
        taken += instance
        takenByPool.merge(instance.poolId, 1, Int::plus)
        takenByRack.merge(PoolDomain(instance.poolId, instance.place.rackId), 1, Int::plus)
        takenByZone.merge(PoolDomain(instance.poolId, instance.place.zoneId), 1, Int::plus)
        return true
    }

    /** Notes that [poolId] is held back by [wait]. */
    fun refuse(
        poolId: String,
        wait: PoolWait,
    ) {
        refused[poolId] = wait
    }

    /** Returns the decision. */
    fun plan(): WavePlan {
        val takenIds = taken.mapTo(HashSet()) { it.instanceId }
        val left = input.pending.filter { it.instanceId !in takenIds }.mapTo(LinkedHashSet()) { it.poolId }
        val waits = left.associateWith { input.poolWaits[it] ?: orderWait(it) ?: refused[it] ?: defaultWait(it) }
        val downOnly =
            input.downByPool.keys
                .filter { it !in left }
                .associateWith { PoolWait.INSTANCES_DOWN }
        return WavePlan(taken, waits + downOnly)
    }

    private fun budgetWait(poolId: String): PoolWait {
        val room = input.rooms[poolId] ?: return PoolWait.BUDGET_ZERO
        return when {
            room.planned > 0 || (takenByPool[poolId] ?: 0) > 0 -> PoolWait.BUDGET_USED
            room.unplanned > 0 -> PoolWait.BUDGET_LOST
            else -> PoolWait.BUDGET_ZERO
        }
    }

    private fun domainAllows(instance: PlacedInstance): Boolean {
        val budget = input.budgets[instance.poolId] ?: return false
        val room = input.rooms[instance.poolId] ?: return false
        val rack = instance.place.rackId
        val zone = instance.place.zoneId
        val inRack = (room.awayByRack[rack] ?: 0) + (takenByRack[PoolDomain(instance.poolId, rack)] ?: 0)
        val inZone = (room.awayByZone[zone] ?: 0) + (takenByZone[PoolDomain(instance.poolId, zone)] ?: 0)
        return inRack < (budget.maxAwayPerRack ?: Int.MAX_VALUE) && inZone < (budget.maxAwayPerZone ?: Int.MAX_VALUE)
    }

    private fun isOpen(poolId: String) = poolId !in input.poolWaits && orderWait(poolId) == null

    private fun orderWait(poolId: String): PoolWait? = PoolWait.POOL_ORDER.takeIf { stage != null && poolId != stage }

    private fun defaultWait(poolId: String): PoolWait = if (free(poolId) < 1) budgetWait(poolId) else PoolWait.WAVE

    private data class PoolDomain(
        val poolId: String,
        val domainId: String,
    )
}

// The pool of the order that is being finished, or null once all of them are.
private fun stageOf(input: WavePlanInput): String? {
    val unfinished = (input.pending + input.away).mapTo(HashSet()) { it.poolId }
    return input.wave.poolOrder.firstOrNull { it in unfinished }
}
