package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.jobs.model.StepSpecification

/**
 * Workers that surplus may not use in one pass over [workers], because tasks within the share of their account did not
 * fit: those with the most free capacity that are large enough once their present runs end. Otherwise a flood of small
 * tasks would fill every gap before a large job of a small account fits.
 *
 * Tasks that wait for longer than [ALWAYS_RESERVED_MILLIS] reserve in every second period only, the same for all, so
 * that surplus gets the free room in between.
 */
internal class ReservedWorkers(
    private val workers: List<WorkerEntry>,
) {
    private class Demand(
        val step: StepSpecification,
        val tasks: Int,
    )

    private val demands = ArrayList<Demand>()
    private val reserved: Set<WorkerEntry> by lazy(LazyThreadSafetyMode.NONE, ::choose)

    /** Records that [tasks] tasks of [step], ready since [readySinceMillis], did not fit on any worker at [now]. */
    fun reserveFor(
        step: StepSpecification,
        tasks: Int,
        readySinceMillis: Long,
        now: Long,
    ) {
        if (now - readySinceMillis > ALWAYS_RESERVED_MILLIS && now / PERIOD_MILLIS % 2 == 0L) return
        demands += Demand(step, tasks)
    }

    /**
     * Returns those of [candidates] that surplus may use. Calls of [reserveFor] after the first result that excludes
     * workers have no effect.
     */
    fun unreserved(candidates: List<WorkerEntry>): List<WorkerEntry> =
        if (demands.isEmpty()) candidates else candidates.filter { it !in reserved }

    private fun choose(): Set<WorkerEntry> {
        val byRoom = workers.sortedByDescending { it.free.cpuMillis }
        val chosen = HashSet<WorkerEntry>()
        demands.forEach { demand ->
            var tasks = demand.tasks
            for (worker in byRoom) {
                if (tasks <= 0) break
                val fitting = if (worker in chosen) 0 else worker.taskCapacity(demand.step)
                if (fitting > 0) chosen += worker
                tasks -= fitting
            }
        }
        return chosen
    }

    // Returns how many tasks of [step] fit on the worker while nothing but its lasting tasks runs there.
    private fun WorkerEntry.taskCapacity(step: StepSpecification): Int {
        if (step.requiredLabel.isNotEmpty() && step.requiredLabel !in listed.labels) return 0
        val amount = step.amount
        // Lasting runs do not end by themselves, so no reservation frees their room.
        val capacity = listed.capacity - lastingRoom
        val most = if (step.maxPerWorker == 0) Int.MAX_VALUE.toLong() else step.maxPerWorker.toLong()
        return minOf(
            most,
            timesFitting(if (step.isFiller) 0 else amount.cpuMillis, capacity.cpuMillis),
            timesFitting(amount.memoryMegabytes, capacity.memoryMegabytes),
            timesFitting(amount.gpus, capacity.gpus),
        ).toInt()
    }

    private fun timesFitting(
        part: Long,
        capacity: Long,
    ) = if (part == 0L) Int.MAX_VALUE.toLong() else maxOf(0, capacity) / part

    private companion object {
        // Longer than most tasks run.
        const val ALWAYS_RESERVED_MILLIS = 4_000L

        // Shorter than the time for which callers may see a job with room wait.
        const val PERIOD_MILLIS = 2_000L
    }
}
