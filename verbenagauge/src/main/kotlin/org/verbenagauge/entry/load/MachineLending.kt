package org.verbenagauge.entry.load

/**
 * A request of a pool for machines.
 *
 * @property wantedMachines target number of machines of the pool, at least 1.
 * @property missingMachines number of these that the pool lacks.
 */
internal data class MachineRequest(
    val poolName: String,
    val wantedMachines: Int,
    val missingMachines: Int,
) {
    /** Share of the wanted machines that the pool lacks, from 0 to 1. */
    val missingShare: Double get() = missingMachines.toDouble() / wantedMachines
}

/** Divides available machines among pools that request them at the same time. Has no side effects. */
internal interface MachineLending {
    /** Returns the pool that gets each machine, for at most [supply] machines, in the order of assignment. */
    fun allocate(
        requests: List<MachineRequest>,
        supply: Int,
    ): List<String>
}

/** Fully serves the pool that lacks the largest share, then the next one; the baseline for [EvenLending]. */
internal object GreedyLending : MachineLending {
    override fun allocate(
        requests: List<MachineRequest>,
        supply: Int,
    ): List<String> =
        requests
            .sortedByDescending { it.missingShare }
            .flatMap { request -> List(request.missingMachines) { request.poolName } }
            .take(supply)
}

/**
 * Gives each machine to the pool that lacks the largest share of its wanted machines at that point. Guards against
 * starving one pool when peaks of several pools overlap, or one pool loses a rack during the peak of another, and
 * standby holds too few machines for both: the shortage is spread evenly over their callers.
 */
internal object EvenLending : MachineLending {
    override fun allocate(
        requests: List<MachineRequest>,
        supply: Int,
    ): List<String> {
        val remaining = requests.toMutableList()
        val allocated = ArrayList<String>()
        while (allocated.size < supply) {
            val next = remaining.filter { it.missingMachines > 0 }.maxByOrNull { it.missingShare } ?: break
            allocated += next.poolName
            remaining[remaining.indexOf(next)] = next.copy(missingMachines = next.missingMachines - 1)
        }
        return allocated
    }
}
