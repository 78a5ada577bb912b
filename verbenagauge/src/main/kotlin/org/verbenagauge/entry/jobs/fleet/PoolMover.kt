package org.verbenagauge.entry.jobs.fleet

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.jobs.engine.JobEngine
import org.verbenagauge.entry.jobs.ports.MachineGateway
import org.verbenagauge.entry.jobs.ports.MachineOutcome
import org.verbenagauge.entry.logging.Event
import org.verbenagauge.entry.logging.EventLog

/**
 * Carries out moves of machines between pools, in one owner's term.
 *
 * @param ordersPerSecond orders that the platform takes from all entries together.
 */
internal class PoolMover(
    private val gateway: MachineGateway,
    private val board: MachineBoard,
    private val engine: JobEngine,
    private val clock: Clock,
    private val log: EventLog,
    private val mayOrder: () -> Boolean,
    private val onFenced: (String) -> Unit,
    ordersPerSecond: Double,
) {
    private class Underway(
        val move: PoolMove,
        val orderedAtMillis: Long,
        var isDone: Boolean = false,
    )

    private val planner = MovePlanner(engine.state, TurnSizer(), mostMoves(ordersPerSecond))
    private val underway = HashMap<String, Underway>()
    private val barred = HashSet<Pair<String, String>>()

    /** Runs until cancelled. */
    suspend fun run(): Unit =
        coroutineScope {
            while (true) {
                delay(TICK_MILLIS)
                if (!mayOrder() || !engine.state.isWorkerListKnown || !board.refresh()) continue
                // Reading the machines takes time.
                if (!mayOrder()) continue
                dropLost()
                forgetArrived()
                val now = clock.monotonicMillis()
                planner.next(board.machines, underway.values.map { it.move }, barred, now).forEach { begin(this, it) }
            }
        }

    // What runs on a machine that has failed is gone; waiting for its leases would only delay its tasks. A worker that
    // answers is not on such a machine, whatever the list says.
    private fun dropLost() {
        board.machines.filter { it.isLost }.mapNotNull { it.workerId }.forEach { workerId ->
            val worker = engine.state.workers[workerId] ?: return@forEach
            val isSilent = worker.firstFailureMillis != null && worker.lastAnswerMillis < board.readAtMillis
            if (isSilent) engine.handleMachineStopped(workerId, clock.monotonicMillis())
        }
    }

    private fun begin(
        scope: CoroutineScope,
        move: PoolMove,
    ) {
        underway[move.machine.machineId] = Underway(move, clock.monotonicMillis())
        worker(move)?.reservations?.add(RESERVATION)
        scope.launch { order(move) }
    }

    private fun worker(move: PoolMove) = move.machine.workerId?.let { engine.state.workers[it] }

    private suspend fun order(move: PoolMove) {
        // The process may have stood still since the decision.
        if (!mayOrder()) return forget(move)
        val outcome = gateway.move(move.machine.machineId, move.poolName, engine.state.epoch)
        val way = "${move.machine.poolName} to ${move.poolName}"
        log.write(Event.MACHINE_MOVED, move.machine.machineId, "$way, worker ${move.machine.workerId}: $outcome")
        when (outcome) {
            is MachineOutcome.Done -> {
                underway[move.machine.machineId]?.isDone = true
                move.machine.workerId?.let { engine.handleMachineStopped(it, clock.monotonicMillis()) }
            }

            is MachineOutcome.Fenced -> onFenced("machine '${move.machine.machineId}'")
            is MachineOutcome.Rejected -> {
                barred += move.machine.kind to move.poolName
                forget(move)
            }

            is MachineOutcome.Busy, is MachineOutcome.TryLater -> forget(move)
            is MachineOutcome.Unanswered -> {
                do delay(TICK_MILLIS) while (!mayOrder())
                if (move.machine.machineId in underway) order(move)
            }
        }
    }

    private fun forget(move: PoolMove) {
        underway.remove(move.machine.machineId)
        worker(move)?.reservations?.remove(RESERVATION)
    }

    private fun forgetArrived() {
        val now = clock.monotonicMillis()
        underway.values.toList().filter { it.isDone }.forEach { entry ->
            val listed = board.machines.firstOrNull { it.machineId == entry.move.machine.machineId }
            val isListed = listed?.poolName == entry.move.poolName && board.readAtMillis > entry.orderedAtMillis
            val isOver = listed == null || now - entry.orderedAtMillis > ARRIVAL_MILLIS
            val hasWorker = listed?.workerId?.let { it in engine.state.workers } ?: (listed?.isUp == true)
            if (isOver || isListed && listed?.isUp == true && hasWorker) underway.remove(entry.move.machine.machineId)
        }
    }

    private companion object {
        const val RESERVATION = "move"
        const val TICK_MILLIS = 100L
        const val MILLIS_PER_SECOND = 1_000.0

        // The rest is for waves and for orders that are repeated.
        const val SHARE_OF_ORDERS = 0.9

        fun mostMoves(ordersPerSecond: Double): Int =
            maxOf(1, (ordersPerSecond * TICK_MILLIS / MILLIS_PER_SECOND * SHARE_OF_ORDERS).toInt())

        // A move takes a second or two; after this the list alone counts.
        const val ARRIVAL_MILLIS = 5_000L
    }
}
