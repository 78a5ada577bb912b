package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.jobs.model.StepSpecification

/** Chooses the worker of a task. A pure decision. */
internal interface Placement {
    /** Returns the worker of [candidates] on which [task] starts, or null when it has to wait. */
    fun choose(
        task: TaskEntry,
        candidates: List<WorkerEntry>,
        now: Long,
    ): WorkerEntry?
}

/**
 * Packs short tasks tightly, so that room for large ones stays, and lasting ones on few workers, so that the others can
 * move; prefers the rack that holds the data and, for steps that want one rack, the rack where the step already runs, and then
 * warm workers.
 */
internal class PackingPlacement : Placement {
    override fun choose(
        task: TaskEntry,
        candidates: List<WorkerEntry>,
        now: Long,
    ): WorkerEntry? {
        val fitting = candidates.filter { fits(task, it) }
        if (fitting.isEmpty()) return null
        val preference = preference(task)
        val sound = fitting.filter { it.avoidUntilMillis <= now && it.id !in task.failedOn }.minWithOrNull(preference)
        return sound ?: lastResort(task, fitting, candidates, now).minWithOrNull(preference)
    }

    // Workers that fail runs are used only when the service has no others. The one on which the task itself failed is
    // used as well when the others stay full, as for members of a gang that need a worker each.
    private fun lastResort(
        task: TaskEntry,
        fitting: List<WorkerEntry>,
        candidates: List<WorkerEntry>,
        now: Long,
    ): List<WorkerEntry> {
        val isPatient = now - task.readySinceMillis < PATIENCE_MILLIS
        return when {
            isPatient && candidates.any { it.avoidUntilMillis <= now && it.id !in task.failedOn } -> emptyList()
            candidates.any { it.avoidUntilMillis <= now } -> fitting.filter { it.avoidUntilMillis <= now }
            else -> fitting
        }
    }

    private fun fits(
        task: TaskEntry,
        worker: WorkerEntry,
    ): Boolean {
        val step = task.step.specification
        if (!worker.hasRoomFor(step)) return false
        if (step.requiredLabel.isNotEmpty() && step.requiredLabel !in worker.listed.labels) return false
        if (task.id in worker.runs) return false
        return step.maxPerWorker == 0 || membersOn(task, worker) < step.maxPerWorker
    }

    private fun membersOn(
        task: TaskEntry,
        worker: WorkerEntry,
    ): Int =
        worker.runs.keys.count {
            it.jobId == task.id.jobId && it.occurrence == task.id.occurrence && it.step == task.id.step
        }

    private fun preference(task: TaskEntry): Comparator<WorkerEntry> {
        val step = task.step.specification
        val racks = if (step.prefersOneRack) racksOf(task.step) else emptySet()
        return Comparator { a, b ->
            val byRack = penalty(a, step, racks).compareTo(penalty(b, step, racks))
            val byCold = if (byRack != 0) byRack else isHeldBack(a).compareTo(isHeldBack(b))
            val byRoom = if (byCold != 0) byCold else a.free.cpuMillis.compareTo(b.free.cpuMillis)
            if (byRoom != 0) byRoom else a.id.compareTo(b.id)
        }
    }

    private fun isHeldBack(worker: WorkerEntry) = worker.withheldCpuMillis > 0

    private fun penalty(
        worker: WorkerEntry,
        step: StepSpecification,
        racks: Set<String>,
    ): Int {
        val isFarFromData = step.dataRack.isNotEmpty() && worker.listed.rack != step.dataRack
        val isFarFromStep = racks.isNotEmpty() && worker.listed.rack !in racks
        val isFirstLasting = step.isLasting && worker.lastingCount == 0
        // Data elsewhere cost twice the time, as does each band.
        val slowness = (if (worker.isSuspect) DOUBTED else 0) + worker.speedBand * FAR_FROM_DATA
        return slowness +
            (if (isFarFromData) FAR_FROM_DATA else 0) +
            (if (isFarFromStep) FAR_FROM_STEP else 0) +
            (if (isFirstLasting) FIRST_LASTING else 0)
    }

    private fun racksOf(step: StepEntry): Set<String> =
        step.tasks.mapNotNullTo(HashSet()) { it.run?.workerId?.let(rackOf) }

    /** Rack of a worker, told by the engine. */
    var rackOf: (String) -> String? = { null }

    private companion object {
        // Each outweighs those below it.
        const val DOUBTED = 64
        const val FAR_FROM_DATA = 4
        const val FAR_FROM_STEP = 2
        const val FIRST_LASTING = 1

        // Some tasks end on the other workers by then.
        const val PATIENCE_MILLIS = 2_000L
    }
}
