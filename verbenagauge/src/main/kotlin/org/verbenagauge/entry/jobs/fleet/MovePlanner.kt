package org.verbenagauge.entry.jobs.fleet

import org.verbenagauge.entry.jobs.engine.EngineState
import org.verbenagauge.entry.jobs.engine.MissingCapacity
import org.verbenagauge.entry.jobs.engine.WorkerEntry
import org.verbenagauge.entry.jobs.model.Amount
import org.verbenagauge.entry.jobs.ports.Machine
import org.verbenagauge.entry.load.EvenLending
import org.verbenagauge.entry.load.GreedyLending
import org.verbenagauge.entry.load.MachineLending
import org.verbenagauge.entry.load.MachineRequest

/**
 * Move of a machine to another pool.
 *
 * @property poolName target pool.
 */
internal data class PoolMove(
    val machine: Machine,
    val poolName: String,
)

/**
 * Plans moves of machines to pools that need more, from standby first and then from pools with idle machines, and moves
 * of surplus idle machines to standby. Only machines without runs are moved. Has no side effects.
 *
 * @param maxMoves maximum number of moves in one plan.
 * @param lending decides which pools get machines when several request them at the same time.
 */
internal class MovePlanner(
    private val state: EngineState,
    private val sizer: PoolSizer,
    private val maxMoves: Int = DEFAULT_MAX_MOVES,
    private val lending: MachineLending = if (state.limits.load.evenLending) EvenLending else GreedyLending,
) {
    /**
     * Returns the moves to order for the [machines] of the platform. [pendingMoves] are moves that were ordered but do
     * not show in the list of machines yet; [rejected] holds the pairs of machine kind and pool that the platform
     * rejected.
     */
    fun next(
        machines: List<Machine>,
        pendingMoves: Collection<PoolMove>,
        rejected: Set<Pair<String, String>>,
        now: Long,
    ): List<PoolMove> {
        val configuration = state.configuration ?: return emptyList()
        // The runs of these pools are not fully known, so they give up no machine.
        val unansweredPools =
            state.workers.values
                .filter { it.isAwaited(now) }
                .mapTo(HashSet()) { it.listed.serviceName }
        val standby =
            configuration.services.values
                .filter { it.isStandby }
                .map { it.name }
        val served = configuration.queues.mapTo(LinkedHashSet()) { it.serviceName }.filter { it !in standby }
        val movingIds = pendingMoves.mapTo(HashSet()) { it.machine.machineId }
        val free = machines.filter { it.isUp && it.machineId !in movingIds && !isEvacuated(it) }
        val balances = served.map { pool -> balance(pool, machines, pendingMoves, now) }
        val moves = ArrayList<PoolMove>()
        val available = ArrayDeque(free.filter { it.poolName in standby })
        balances.filter { it.surplus > 0 && it.poolName !in unansweredPools }.forEach { balance ->
            available.addAll(idle(balance, free).take(balance.surplus))
        }
        val requests =
            balances.filter { it.surplus < 0 }.map {
                MachineRequest(
                    it.poolName,
                    it.wantedMachines,
                    -it.surplus,
                )
            }
        // A machine that the platform rejected for one pool remains available to the others.
        (lending.allocate(requests, available.size) + GreedyLending.allocate(requests, Int.MAX_VALUE)).forEach { pool ->
            val balance = balances.first { it.poolName == pool }
            if (moves.count { it.poolName == pool } >= -balance.surplus) return@forEach
            val machine = available.firstOrNull { it.kind to pool !in rejected } ?: return@forEach
            available.remove(machine)
            moves += PoolMove(machine, pool)
        }
        val standbyPool = standby.firstOrNull() ?: return moves.take(maxMoves)
        available
            .filter { it.poolName !in standby && it.kind to standbyPool !in rejected }
            .forEach { moves += PoolMove(it, standbyPool) }
        return moves.take(maxMoves)
    }

    private class PoolBalance(
        val poolName: String,
        val wantedMachines: Int,
        val surplus: Int,
    )

    private fun balance(
        pool: String,
        machines: List<Machine>,
        pendingMoves: Collection<PoolMove>,
        now: Long,
    ): PoolBalance {
        val workers = state.workersOf(pool)
        val capacity = capacityOfOne(workers) ?: capacityOfOne(state.workers.values) ?: Amount()
        val used = workers.fold(Amount()) { sum, worker -> sum + (worker.listed.capacity - worker.free) }
        val missing =
            (state.missingRoomByService[pool] ?: MissingCapacity()) +
                (state.unsettledRoomByService[pool] ?: MissingCapacity())
        val demand = PoolDemand(pool, used, missing.amount, capacity, missing.workers)
        val wanted = sizer.size(demand, now)
        val open = workers.filter { !state.evacuatedZones.includes(it) }
        val live = open.count { it.isAwaited(now) || it.isSchedulable && it.avoidUntilMillis <= now && !it.isSuspect }
        val returning = machines.count { it.poolName == pool && !it.isUp && !it.isLost && !isEvacuated(it) }
        val incoming = pendingMoves.filter { it.poolName == pool && !isEvacuated(it.machine) }
        val unlisted = incoming.count { it.machine.poolName != pool && !isListedAtTarget(it, machines) }
        return PoolBalance(pool, wanted, live + returning + unlisted - wanted)
    }

    // Nothing starts in an evacuated zone, so its machines do not count as capacity.
    private fun isEvacuated(machine: Machine) = machine.zoneId in state.evacuatedZones.zoneIds

    // From then on the machine counts as a restarting machine of the target pool.
    private fun isListedAtTarget(
        move: PoolMove,
        machines: List<Machine>,
    ): Boolean = machines.any { it.machineId == move.machine.machineId && it.poolName == move.poolName && !it.isUp }

    // Workers that the platform's list lacks or does not describe have no known capacity.
    private fun capacityOfOne(workers: Collection<WorkerEntry>): Amount? =
        workers.firstOrNull { it.listed.capacity != Amount() }?.listed?.capacity

    private fun idle(
        balance: PoolBalance,
        free: List<Machine>,
    ): List<Machine> =
        free
            .filter { it.poolName == balance.poolName }
            .filter { machine -> machine.workerId?.let { state.workers[it] }?.let(::isIdle) ?: false }

    private fun isIdle(worker: WorkerEntry) = worker.isSchedulable && worker.runs.isEmpty()

    private companion object {
        const val DEFAULT_MAX_MOVES = 6
    }
}
