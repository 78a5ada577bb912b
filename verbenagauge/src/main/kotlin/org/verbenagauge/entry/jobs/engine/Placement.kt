package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.jobs.model.StepSpecification

/** Chooses the worker of a task. Implementations have no side effects. */
internal interface Placement {
    /** Returns the worker of [candidates] on which [task] starts, or null if it has to wait. */
    fun choose(
        task: TaskEntry,
        candidates: List<WorkerEntry>,
        now: Long,
    ): WorkerEntry?
}

/**
 * Packs short tasks tightly to keep capacity for large ones, and lasting tasks on few workers, so that the other
 * workers can move to other pools. Prefers workers in the rack that holds the data and, for steps that prefer one rack,
 * in a rack where the step already runs; among these, warm workers.
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
        val healthy =
            fitting.filter { it.avoidUntilMillis <= now && it.id !in task.failedWorkerIds }.minWithOrNull(
                preference,
            )
        return healthy ?: fallbackWorkers(task, fitting, candidates, now).minWithOrNull(preference)
    }

    // Workers that are avoided because their runs fail are used only if the service has no others. The worker on which
    // the task itself failed is used if the others stay full, for example for gang members that need a worker each.
    private fun fallbackWorkers(
        task: TaskEntry,
        fitting: List<WorkerEntry>,
        candidates: List<WorkerEntry>,
        now: Long,
    ): List<WorkerEntry> {
        val mustWait = now - task.readySinceMillis < HEALTHY_WORKER_WAIT_MILLIS
        return when {
            mustWait && candidates.any { it.avoidUntilMillis <= now && it.id !in task.failedWorkerIds } -> emptyList()
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
        return step.maxPerWorker == 0 || worker.countRunsOf(task.step) < step.maxPerWorker
    }

    private fun preference(task: TaskEntry): Comparator<WorkerEntry> {
        val step = task.step.specification
        val racks = if (step.prefersOneRack) racksOf(task.step) else emptySet()
        return Comparator { a, b ->
            val byRack = penalty(a, step, racks).compareTo(penalty(b, step, racks))
            val byCold = if (byRack != 0) byRack else isCold(a).compareTo(isCold(b))
            val byRoom = if (byCold != 0) byCold else a.free.cpuMillis.compareTo(b.free.cpuMillis)
            if (byRoom != 0) byRoom else a.id.compareTo(b.id)
        }
    }

    private fun isCold(worker: WorkerEntry) = worker.withheldCpuMillis > 0

    private fun penalty(
        worker: WorkerEntry,
        step: StepSpecification,
        racks: Set<String>,
    ): Int {
        val isFarFromData = step.dataRack.isNotEmpty() && worker.listed.rack != step.dataRack
        val isFarFromStep = racks.isNotEmpty() && worker.listed.rack !in racks
        val isFirstLasting = step.isLasting && worker.lastingCount == 0
        // Data in another rack doubles the run time, as does each speed band.
        val slowness = (if (worker.isSuspect) DOUBTED_PENALTY else 0) + worker.speedBand * FAR_FROM_DATA_PENALTY
        return slowness +
            (if (isFarFromData) FAR_FROM_DATA_PENALTY else 0) +
            (if (isFarFromStep) FAR_FROM_STEP_PENALTY else 0) +
            (if (isFirstLasting) FIRST_LASTING_PENALTY else 0)
    }

    private fun racksOf(step: StepEntry): Set<String> =
        step.tasks.mapNotNullTo(HashSet()) { it.run?.workerId?.let(rackOf) }

    /** Looks up the rack of a worker by its ID; set by the engine. */
    var rackOf: (String) -> String? = { null }

    private companion object {
        // Each penalty outweighs those below it.
        const val DOUBTED_PENALTY = 64
        const val FAR_FROM_DATA_PENALTY = 4
        const val FAR_FROM_STEP_PENALTY = 2
        const val FIRST_LASTING_PENALTY = 1

        // Long enough for some tasks on the other workers to end.
        const val HEALTHY_WORKER_WAIT_MILLIS = 2_000L
    }
}
