package org.verbenagauge.entry.jobs.fleet

import org.verbenagauge.entry.jobs.engine.EngineState
import org.verbenagauge.entry.jobs.engine.LastingGuard
import org.verbenagauge.entry.jobs.engine.Run
import org.verbenagauge.entry.jobs.engine.RunPhase
import org.verbenagauge.entry.jobs.engine.WorkerEntry
import org.verbenagauge.entry.jobs.ports.Machine

/**
 * Next actions of a maintenance wave.
 *
 * @property order machines whose maintenance is to be ordered now.
 * @property stop lasting runs to stop before maintenance, because other tasks of their step run on the same worker.
 * @property isFinished whether every machine of the wave that has not left the platform has begun its maintenance.
 */
internal data class WaveStep(
    val order: List<Machine>,
    val stop: List<Run>,
    val isFinished: Boolean,
)

/**
 * Decides which machines of a maintenance wave to drain and to order maintenance for, as many at once as the pace and
 * the wave allow. Idle machines and those with few lasting tasks come first; part of each pool stays in service.
 *
 * Sends no orders itself, but updates the [WaveProgress] and the reservations of workers.
 */
internal class WaveDrainPlanner(
    private val state: EngineState,
    private val guard: LastingGuard,
    private val pace: WavePace = EvenPace(),
) {
    /**
     * Returns the next actions for the wave of [progress] while the waves of [others] are in progress, given the
     * [machines] of the platform that were read at [readAtMillis].
     */
    fun next(
        progress: WaveProgress,
        machines: List<Machine>,
        readAtMillis: Long,
        now: Long,
        others: Collection<WaveProgress> = emptyList(),
    ): WaveStep {
        val byId = machines.associateBy { it.machineId }
        (others + progress).forEach { it.recordList(byId, readAtMillis) }
        val open = progress.wave.machineIds.filter { it !in progress.done && it in byId }
        val down = down(progress, byId, readAtMillis)
        startDraining(progress, open.mapNotNull(byId::get), down, now)
        val order = ArrayList<Machine>()
        val stop = ArrayList<Run>()
        val endingIds = endingIds(down + others.flatMap { down(it, byId, readAtMillis) }, byId)
        unanswered(open, progress, byId).forEach { machine ->
            val worker = machine.workerId?.let { state.workers[it] }
            if (worker == null || guard.mayEnd(worker, endingIds, now)) order += machine
        }
        progress.drainingSinceMillis.keys.toList().forEach { id ->
            val machine = byId[id]
            val worker = machine?.workerId?.let { state.workers[it] }
            if (machine == null || worker == null || !machine.isUp) {
                release(progress, id, worker)
                return@forEach
            }
            if (id in progress.orderedAtMillis ||
                (down + order.map { it.machineId }).size >= progress.wave.maxAtOnce
            ) {
                return@forEach
            }
            if (!isDrained(worker, progress, id, now)) return@forEach
            // A run that this decision stops is still listed as running.
            val isClear = stop.isEmpty() || worker.runs.values.none { it.specification.isLasting }
            if (isClear && guard.mayEnd(worker, endingIds, now)) {
                order += machine
                endingIds += worker.id
            } else if (stop.isEmpty()) {
                colocatedRun(worker, endingIds, now)?.let { stop += it }
            }
        }
        val remaining = progress.wave.maxAtOnce - (down + order.map { it.machineId }).size
        order += idle(open, progress, byId).take(maxOf(0, remaining))
        val isFinished = progress.wave.machineIds.all { it in progress.done || progress.isGone(it, readAtMillis) }
        return WaveStep(order, stop, isFinished)
    }

    // Workers that an order has ended or may still end. Their last listing of runs is outdated until the list of
    // machines shows their machine as up again.
    private fun endingIds(
        downIds: Set<String>,
        byId: Map<String, Machine>,
    ): MutableSet<String> =
        state.workers.values
            .filter { worker ->
                val machineId = worker.listed.machineId
                machineId in downIds || byId[machineId]?.isUp == false
            }.mapTo(HashSet()) { it.id }

    // Machines whose order is repeated until it is answered, since it may be carried out at any time.
    private fun unanswered(
        open: List<String>,
        progress: WaveProgress,
        byId: Map<String, Machine>,
    ): List<Machine> =
        open
            .filter { it in progress.orderedAtMillis && it !in progress.inFlight }
            .mapNotNull(byId::get)

    // A lasting run that may end now and shares its worker with another task of its step.
    private fun colocatedRun(
        worker: WorkerEntry,
        endingIds: Set<String>,
        now: Long,
    ): Run? =
        worker.runs.values
            .filter { it.specification.isLasting && it.phase == RunPhase.RUNNING }
            .groupBy { it.taskId.jobId to it.taskId.step }
            .values
            .firstOrNull { it.size > 1 && guard.mayEnd(it.first(), endingIds, now) }
            ?.first()

    // Machines that run no worker, such as those on standby, need no draining.
    private fun idle(
        open: List<String>,
        progress: WaveProgress,
        byId: Map<String, Machine>,
    ): List<Machine> =
        open
            .filter { it !in progress.inFlight && it !in progress.orderedAtMillis }
            .mapNotNull(byId::get)
            .filter { it.isUp && it.workerId == null }

    // A machine counts as down from the first order until a list that was read after it shows the machine as up again.
    private fun down(
        progress: WaveProgress,
        byId: Map<String, Machine>,
        readAtMillis: Long,
    ): Set<String> {
        progress.orderedAtMillis.entries.removeIf { (id, orderedAt) ->
            val isBack = byId[id]?.isUp ?: progress.isGone(id, readAtMillis)
            id in progress.done && isBack && readAtMillis > orderedAt + LIST_DELAY_MILLIS
        }
        // A previous owner may have ordered maintenance of these machines.
        return progress.orderedAtMillis.keys + progress.inMaintenance
    }

    private fun startDraining(
        progress: WaveProgress,
        open: List<Machine>,
        down: Set<String>,
        now: Long,
    ) {
        val candidates =
            open
                .filter { it.isUp && it.machineId !in progress.drainingSinceMillis && it.machineId !in down }
                .mapNotNull { machine -> machine.workerId?.let { state.workers[it] }?.let { machine to it } }
                .filter { (_, worker) -> worker.isSchedulable }
                .sortedWith(order)
        val maxBusy = pace.limit(progress, open.size, now)
        candidates.forEach { (machine, worker) ->
            val limit = if (worker.runs.isEmpty()) progress.wave.maxAtOnce else maxBusy
            if (down.size + progress.drainingSinceMillis.size < limit && poolAllows(worker)) {
                worker.reservations += progress.reservation
                progress.drainingSinceMillis[machine.machineId] = now
            }
        }
    }

    // At least two thirds of a pool remain schedulable.
    private fun poolAllows(worker: WorkerEntry): Boolean {
        val pool = state.workers.values.filter { it.isListed && it.listed.serviceName == worker.listed.serviceName }
        val unavailable = pool.count { !it.isSchedulable }
        return (unavailable + 1) * MIN_WORKERS_PER_UNAVAILABLE <= pool.size
    }

    private fun isDrained(
        worker: WorkerEntry,
        progress: WaveProgress,
        machineId: String,
        now: Long,
    ): Boolean {
        val isEmpty = worker.runs.values.none { !it.specification.isLasting }
        val sinceMillis = now - progress.drainingSinceMillis.getValue(machineId)
        return isEmpty || sinceMillis > DRAIN_TIMEOUT_MILLIS
    }

    private fun release(
        progress: WaveProgress,
        machineId: String,
        worker: WorkerEntry?,
    ) {
        progress.drainingSinceMillis.remove(machineId)
        worker?.reservations?.remove(progress.reservation)
    }

    private companion object {
        val order: Comparator<Pair<Machine, WorkerEntry>> =
            compareBy<Pair<Machine, WorkerEntry>> { (_, worker) ->
                worker.runs.values.count { it.specification.isLasting }
            }.thenBy { (_, worker) -> worker.runs.size }

        // One worker in three may be out of service for planned maintenance.
        const val MIN_WORKERS_PER_UNAVAILABLE = 3

        // Longer than most tasks take; runs that have not ended by then are lost.
        const val DRAIN_TIMEOUT_MILLIS = 3_500L

        // The list of machines may lag behind the actual state.
        const val LIST_DELAY_MILLIS = 500L
    }
}
