package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.jobs.model.Amount
import org.verbenagauge.entry.jobs.model.StepSpecification

/**
 * Pareto-optimal free capacities of [workers] during one pass, in which free capacity only shrinks. Shows in a few
 * comparisons that a task fits on no worker, which holds for most tasks of a long queue.
 */
internal class FreeCapacity(
    private val workers: List<WorkerEntry>,
) {
    // Null until a task has not fitted; computed only then, since most passes end before.
    private var largest: List<Amount>? = null

    /** Recomputes the capacities after a task was found to fit on no worker. */
    fun refresh() {
        largest = largest()
    }

    /** Returns false if a task of [step] fits on no worker for certain, and true if it may fit. */
    fun mayFit(step: StepSpecification): Boolean {
        val capacities = largest ?: return true
        return capacities.any { capacity ->
            (step.isFiller || step.amount.cpuMillis <= capacity.cpuMillis) &&
                step.amount.memoryMegabytes <= capacity.memoryMegabytes &&
                step.amount.gpus <= capacity.gpus
        }
    }

    private fun largest(): List<Amount> {
        val found = ArrayList<Amount>()
        workers.map { it.free }.sortedWith(largestFirst).forEach { free ->
            if (found.none { free.fitsInto(it) }) found += free
        }
        return found
    }

    private companion object {
        val largestFirst = compareByDescending<Amount> { it.cpuMillis }.thenByDescending { it.memoryMegabytes }
    }
}
