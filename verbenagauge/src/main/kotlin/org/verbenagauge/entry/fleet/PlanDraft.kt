package org.verbenagauge.entry.fleet

/** Takes instances out one by one on paper, and refuses those that a budget or a limit does not allow. */
internal class PlanDraft(
    private val input: WavePlanInput,
) {
    private val taken = ArrayList<PlacedInstance>()
    private val rooms = HashMap(input.rooms)
    private val refused = HashMap<String, PoolWait>()
    private val stage = stageOf(input)

    /** Instances that may be considered now, after the order of pools and pools to be left alone. */
    val open: List<PlacedInstance> = input.pending.filter { isOpen(it.poolId) }

    /** Whether the limit of the wave allows another instance. */
    fun hasLimitLeft(): Boolean = input.limit == null || input.away.size + taken.size < input.limit

    /** Instances that [poolId] may still lose. */
    fun free(poolId: String): Int = rooms[poolId]?.free ?: 0

    /** What holds [instance] back, or null. */
    fun waitFor(instance: PlacedInstance): PoolWait? {
        val poolId = instance.poolId
        return when {
            !hasLimitLeft() -> PoolWait.WAVE
            free(poolId) < 1 -> budgetWait(poolId)
            rooms.getValue(poolId).domainsAllow(instance.place).not() -> PoolWait.DOMAIN_BUDGET_USED
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
        rooms.computeIfPresent(instance.poolId) { _, room -> room.without(instance.place) }
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
        val room = rooms[poolId] ?: return PoolWait.BUDGET_ZERO
        return when {
            room.planned > 0 -> PoolWait.BUDGET_USED
            room.unplanned > 0 -> PoolWait.BUDGET_LOST
            else -> PoolWait.BUDGET_ZERO
        }
    }

    private fun isOpen(poolId: String) = poolId !in input.poolWaits && orderWait(poolId) == null

    private fun orderWait(poolId: String): PoolWait? = PoolWait.POOL_ORDER.takeIf { stage != null && poolId != stage }

    private fun defaultWait(poolId: String): PoolWait = if (free(poolId) < 1) budgetWait(poolId) else PoolWait.WAVE
}

// The pool of the order that is being finished, or null once all of them are.
private fun stageOf(input: WavePlanInput): String? {
    val unfinished = (input.pending + input.away).mapTo(HashSet()) { it.poolId }
    return input.wave.poolOrder.firstOrNull { it in unfinished }
}
