package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.jobs.model.StepSpecification

/**
 * Workers that surplus leaves alone in one pass over [workers], since tasks within the share of their account found no room:
 * those with the most free room that become large enough once what runs there ends. Answers large jobs of small accounts
 * beside a flood of small tasks, which would fill each gap before it is large enough.
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

    /** Takes note that [tasks] of [step] found no room. */
    fun reserveFor(
        step: StepSpecification,
        tasks: Int,
    ) {
        demands += Demand(step, tasks)
    }

    /** Returns those of [candidates] that are left to surplus; nothing is held for later wishes. */
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

    // Tasks of [step] that the worker takes when nothing else runs there.
    private fun WorkerEntry.taskCapacity(step: StepSpecification): Int {
        if (step.requiredLabel.isNotEmpty() && step.requiredLabel !in listed.labels) return 0
        val amount = step.amount
        val most = if (step.maxPerWorker == 0) Int.MAX_VALUE.toLong() else step.maxPerWorker.toLong()
        return minOf(
            most,
            timesFitting(if (step.isFiller) 0 else amount.cpuMillis, listed.capacity.cpuMillis),
            timesFitting(amount.memoryMegabytes, listed.capacity.memoryMegabytes),
            timesFitting(amount.gpus, listed.capacity.gpus),
        ).toInt()
    }

    private fun timesFitting(
        part: Long,
        capacity: Long,
    ) = if (part == 0L) Int.MAX_VALUE.toLong() else capacity / part
}
