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
 * @property machine machine.
 * @property poolName pool that it joins.
 */
internal data class PoolMove(
    val machine: Machine,
    val poolName: String,
)

/**
 * Brings machines to pools that need more, from standby first and then from idle pools, and sends idle ones to standby.
 * Only machines without any run move. A pure decision.
 *
 * @param mostMoves moves that are ordered at once.
 * @param lending which pools get machines when several ask at once.
 */
internal class MovePlanner(
    private val state: EngineState,
    private val sizer: PoolSizer,
    private val mostMoves: Int = STANDARD_MOVES,
    private val lending: MachineLending = if (state.limits.load.evenLending) EvenLending else GreedyLending,
) {
    /**
     * Decides on the [machines] of the platform; [underway] are moves that were ordered and cannot be seen yet, and
     * [barred] pairs of kind and pool that the platform refused.
     */
    fun next(
        machines: List<Machine>,
        underway: Collection<PoolMove>,
        barred: Set<Pair<String, String>>,
        now: Long,
    ): List<PoolMove> {
        val configuration = state.configuration ?: return emptyList()
        // What such pools run is not known, so that they give nothing away.
        val unsettled =
            state.workers.values
                .filter { isAwaited(it, now) }
                .mapTo(HashSet()) { it.listed.serviceName }
        val standby =
            configuration.services.values
                .filter { it.isStandby }
                .map { it.name }
        val served = configuration.queues.mapTo(LinkedHashSet()) { it.serviceName }.filter { it !in standby }
        val busyIds = underway.mapTo(HashSet()) { it.machine.machineId }
        val free = machines.filter { it.isUp && it.machineId !in busyIds && !isEvacuated(it) }
        val rooms = served.map { pool -> room(pool, machines, underway, now) }
        val moves = ArrayList<PoolMove>()
        val supply = ArrayDeque(free.filter { it.poolName in standby })
        rooms.filter { it.surplus > 0 && it.poolName !in unsettled }.forEach { room ->
            supply.addAll(idle(room, free).take(room.surplus))
        }
        val requests =
            rooms.filter { it.surplus < 0 }.map {
                MachineRequest(
                    it.poolName,
                    it.wantedMachines,
                    -it.surplus,
                )
            }
        // Machines that the platform refused for the pool whose turn it was are left for the others.
        (lending.allocate(requests, supply.size) + GreedyLending.allocate(requests, Int.MAX_VALUE)).forEach { pool ->
            val room = rooms.first { it.poolName == pool }
            if (moves.count { it.poolName == pool } >= -room.surplus) return@forEach
            val machine = supply.firstOrNull { it.kind to pool !in barred } ?: return@forEach
            supply.remove(machine)
            moves += PoolMove(machine, pool)
        }
        val rest = standby.firstOrNull() ?: return moves.take(mostMoves)
        supply
            .filter { it.poolName !in standby && it.kind to rest !in barred }
            .forEach { moves += PoolMove(it, rest) }
        return moves.take(mostMoves)
    }

    private class PoolRoom(
        val poolName: String,
        val wantedMachines: Int,
        val surplus: Int,
    )

    private fun room(
        pool: String,
        machines: List<Machine>,
        underway: Collection<PoolMove>,
        now: Long,
    ): PoolRoom {
        val workers = state.workersOf(pool)
        val capacity = workers.firstOrNull()?.listed?.capacity ?: fallbackCapacity()
        val used = workers.fold(Amount()) { sum, worker -> sum + (worker.listed.capacity - worker.free) }
        val missing = state.missingRoomByService[pool] ?: MissingCapacity()
        val demand = PoolDemand(pool, used, missing.amount, capacity, missing.workers)
        val wanted = sizer.size(demand, now)
        val open = workers.filter { !state.evacuatedZones.includes(it) }
        val serving = open.count { isAwaited(it, now) || it.isSchedulable && it.avoidUntilMillis <= now && !it.isSuspect }
        val returning = machines.count { it.poolName == pool && !it.isUp && !it.isLost && !isEvacuated(it) }
        val coming = underway.filter { it.poolName == pool && !isEvacuated(it.machine) }
        val unseen = coming.count { it.machine.poolName != pool && !isSeen(it, machines) }
        return PoolRoom(pool, wanted, serving + returning + unseen - wanted)
    }

    // Nothing starts there, so that it is no room.
    private fun isEvacuated(machine: Machine) = machine.zoneId in state.evacuatedZones.zoneIds

    // Workers answer within moments after a takeover or after they were listed, or do not for now.
    private fun isAwaited(
        worker: WorkerEntry,
        now: Long,
    ) = !worker.hasAnswered && now - worker.seenAtMillis < SETTLING_MILLIS

    // Counted by the list from then on.
    private fun isSeen(
        move: PoolMove,
        machines: List<Machine>,
    ): Boolean = machines.any { it.machineId == move.machine.machineId && it.poolName == move.poolName && !it.isUp }

    private fun fallbackCapacity(): Amount =
        state.workers.values
            .firstOrNull()
            ?.listed
            ?.capacity ?: Amount()

    private fun idle(
        room: PoolRoom,
        free: List<Machine>,
    ): List<Machine> =
        free
            .filter { it.poolName == room.poolName }
            .filter { machine -> machine.workerId?.let { state.workers[it] }?.let(::isIdle) ?: false }

    private fun isIdle(worker: WorkerEntry) = worker.isSchedulable && worker.runs.isEmpty()

    private companion object {
        // Longer than two calls to a worker take.
        const val SETTLING_MILLIS = 2_000L

        const val STANDARD_MOVES = 6
    }
}
