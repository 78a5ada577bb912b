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
 * Executes moves of machines between pools during the term of one owner.
 *
 * @param mayOrder whether the lease of the owner still permits orders.
 * @param onFenced called with the resource on which a higher fencing token was used.
 * @param ordersPerSecond orders per second that the platform accepts from all entries together.
 */
internal class PoolMover(
    private val gateway: MachineGateway,
    private val cache: MachineListCache,
    private val engine: JobEngine,
    private val clock: Clock,
    private val log: EventLog,
    private val mayOrder: () -> Boolean,
    private val onFenced: (String) -> Unit,
    ordersPerSecond: Double,
) {
    private class PendingMove(
        val move: PoolMove,
        val orderedAtMillis: Long,
        var isDone: Boolean = false,
    )

    private val planner = MovePlanner(engine.state, PeakDemandSizer(), maxMovesPerTick(ordersPerSecond))
    private val pending = HashMap<String, PendingMove>()
    private val rejected = HashSet<Pair<String, String>>()

    /** Runs until cancelled. */
    suspend fun run(): Unit =
        coroutineScope {
            while (true) {
                delay(TICK_MILLIS)
                if (!mayOrder() || !engine.state.isWorkerListKnown || !cache.refresh()) continue
                // The lease may have expired while the list of machines was read.
                if (!mayOrder()) continue
                removeLostWorkers()
                removeArrived()
                val now = clock.monotonicMillis()
                planner.next(cache.machines, pending.values.map { it.move }, rejected, now).forEach { start(this, it) }
            }
        }

    // Runs on a failed machine are lost, and waiting for their leases to expire would only delay their tasks. A worker
    // that still answers cannot be on a failed machine, even if the list says so.
    private fun removeLostWorkers() {
        cache.machines.filter { it.isLost }.mapNotNull { it.workerId }.forEach { workerId ->
            val worker = engine.state.workers[workerId] ?: return@forEach
            val isSilent = worker.firstFailureMillis != null && worker.lastAnswerMillis < cache.readAtMillis
            if (isSilent) engine.handleMachineStopped(workerId, clock.monotonicMillis())
        }
    }

    private fun start(
        scope: CoroutineScope,
        move: PoolMove,
    ) {
        pending[move.machine.machineId] = PendingMove(move, clock.monotonicMillis())
        worker(move)?.reservations?.add(RESERVATION)
        scope.launch { order(move) }
    }

    private fun worker(move: PoolMove) = move.machine.workerId?.let { engine.state.workers[it] }

    private suspend fun order(move: PoolMove) {
        // The lease may have expired since the decision, for example when the process was paused.
        if (!mayOrder()) return discard(move)
        val outcome = gateway.move(move.machine.machineId, move.poolName, engine.state.epoch)
        val route = "${move.machine.poolName} to ${move.poolName}"
        log.write(Event.MACHINE_MOVED, move.machine.machineId, "$route, worker ${move.machine.workerId}: $outcome")
        when (outcome) {
            is MachineOutcome.Done -> {
                pending[move.machine.machineId]?.isDone = true
                move.machine.workerId?.let { engine.handleMachineStopped(it, clock.monotonicMillis()) }
            }

            is MachineOutcome.Fenced -> onFenced("machine '${move.machine.machineId}'")
            is MachineOutcome.Rejected -> {
                rejected += move.machine.kind to move.poolName
                discard(move)
            }

            is MachineOutcome.Busy, is MachineOutcome.TryLater -> discard(move)
            is MachineOutcome.Unanswered -> {
                do delay(TICK_MILLIS) while (!mayOrder())
                if (move.machine.machineId in pending) order(move)
            }
        }
    }

    private fun discard(move: PoolMove) {
        pending.remove(move.machine.machineId)
        worker(move)?.reservations?.remove(RESERVATION)
    }

    private fun removeArrived() {
        val now = clock.monotonicMillis()
        pending.values.toList().filter { it.isDone }.forEach { entry ->
            val listed = cache.machines.firstOrNull { it.machineId == entry.move.machine.machineId }
            val isListed = listed?.poolName == entry.move.poolName && cache.readAtMillis > entry.orderedAtMillis
            val isOver = listed == null || now - entry.orderedAtMillis > ARRIVAL_TIMEOUT_MILLIS
            val hasWorker = listed?.workerId?.let { it in engine.state.workers } ?: (listed?.isUp == true)
            if (isOver || isListed && listed?.isUp == true && hasWorker) pending.remove(entry.move.machine.machineId)
        }
    }

    private companion object {
        const val RESERVATION = "move"
        const val TICK_MILLIS = 100L
        const val MILLIS_PER_SECOND = 1_000.0

        // The rest of the order rate is for maintenance waves and for repeated orders.
        const val MOVE_SHARE = 0.9

        fun maxMovesPerTick(ordersPerSecond: Double): Int =
            maxOf(1, (ordersPerSecond * TICK_MILLIS / MILLIS_PER_SECOND * MOVE_SHARE).toInt())

        // A move takes one to two seconds; after this time only the list of machines counts.
        const val ARRIVAL_TIMEOUT_MILLIS = 5_000L
    }
}
