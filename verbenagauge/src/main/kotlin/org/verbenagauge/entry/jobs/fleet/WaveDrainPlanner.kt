package org.verbenagauge.entry.jobs.fleet

import org.verbenagauge.entry.jobs.engine.EngineState
import org.verbenagauge.entry.jobs.engine.LastingGuard
import org.verbenagauge.entry.jobs.engine.Run
import org.verbenagauge.entry.jobs.engine.RunPhase
import org.verbenagauge.entry.jobs.engine.WorkerEntry
import org.verbenagauge.entry.jobs.ports.Machine

/**
 * What to do next in a wave.
 *
 * @property order machines to take down now.
 * @property stop lasting runs to stop before their machine goes, since others of their step run beside them.
 * @property isFinished whether every machine that stays has begun its maintenance.
 */
internal data class WaveStep(
    val order: List<Machine>,
    val stop: List<Run>,
    val isFinished: Boolean,
)

/**
 * Empties machines and takes them down, as many at once as the pace and the wave allow, idle ones and those with few
 * lasting tasks first; part of a pool stays in service. A pure decision.
 */
internal class WaveDrainPlanner(
    private val state: EngineState,
    private val guard: LastingGuard,
    private val pace: WavePace = EvenPace(),
) {
    /** Decides on [progress] beside [others] with the [machines] of the platform, read at [readAtMillis]. */
    fun next(
        progress: WaveProgress,
        machines: List<Machine>,
        readAtMillis: Long,
        now: Long,
        others: Collection<WaveProgress> = emptyList(),
    ): WaveStep {
        val byId = machines.associateBy { it.machineId }
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
            // A run that this decision stops still looks as if it were at work.
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
        return WaveStep(order, stop, isFinished = open.isEmpty())
    }

    // Workers that an order has ended or may still end: until the list shows their machine up again, what they listed
    // before says nothing of now.
    private fun endingIds(
        downIds: Set<String>,
        byId: Map<String, Machine>,
    ): MutableSet<String> =
        state.workers.values
            .filter { worker ->
                val machineId = worker.listed.machineId
                machineId in downIds || byId[machineId]?.isUp == false
            }.mapTo(HashSet()) { it.id }

    // Ordered again until there is an answer, since the order may be carried out at any time.
    private fun unanswered(
        open: List<String>,
        progress: WaveProgress,
        byId: Map<String, Machine>,
    ): List<Machine> =
        open
            .filter { it in progress.orderedAtMillis && it !in progress.inFlight }
            .mapNotNull(byId::get)

    // A lasting run that may end now and has another task of its step beside it.
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

    // Machines that run no worker, such as those on standby, need no emptying.
    private fun idle(
        open: List<String>,
        progress: WaveProgress,
        byId: Map<String, Machine>,
    ): List<Machine> =
        open
            .filter { it !in progress.inFlight && it !in progress.orderedAtMillis }
            .mapNotNull(byId::get)
            .filter { it.isUp && it.workerId == null }

    // Down from the first order until the list, read after it, shows the machine up again.
    private fun down(
        progress: WaveProgress,
        byId: Map<String, Machine>,
        readAtMillis: Long,
    ): Set<String> {
        progress.orderedAtMillis.entries.removeIf { (id, orderedAt) ->
            val isBack = byId[id]?.isUp ?: true
            id in progress.done && isBack && readAtMillis > orderedAt + LIST_DELAY_MILLIS
        }
        // An earlier owner may have ordered some of them.
        val listed = progress.wave.machineIds.filter { byId[it]?.isInMaintenance ?: false }
        return progress.orderedAtMillis.keys + listed
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

    // At least half of a pool goes on taking work.
    private fun poolAllows(worker: WorkerEntry): Boolean {
        val pool = state.workers.values.filter { it.isListed && it.listed.serviceName == worker.listed.serviceName }
        val away = pool.count { !it.isSchedulable }
        return (away + 1) * MIN_POOL_SIZE_PER_AWAY <= pool.size
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

        // One in three may be away for planned work.
        const val MIN_POOL_SIZE_PER_AWAY = 3

        // Longer than most tasks take; what still runs then is lost.
        const val DRAIN_TIMEOUT_MILLIS = 3_500L

        // The list may be some moments behind.
        const val LIST_DELAY_MILLIS = 500L
    }
}
