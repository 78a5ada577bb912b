package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.jobs.model.Amount
import org.verbenagauge.entry.jobs.model.StepSpecification

/**
 * Pareto-optimal free capacities of [workers] during one pass, in which free capacity only shrinks. Shows in a few
 * comparisons that a task fits on no worker, which holds for most tasks of a long queue.
 *
 * @param capacityOf capacity of a worker that tasks may use; null if none may start there.
 */
internal class FreeCapacity(
    private val workers: List<WorkerEntry>,
    private val capacityOf: (WorkerEntry) -> Amount? = { it.free },
) {
    // Null until a task has not fitted; computed only then, since most passes end before.
    private var largest: List<Amount>? = null

    /** Recomputes the capacities after a task was found to fit on no worker. */
    fun refresh() {
        largest = largest()
    }

    /** Returns false if a task of [step] fits on no worker for certain, and true if it may fit. */
    fun mayFit(step: StepSpecification): Boolean = mayFit(step.demand)

    /** Returns false if a task with the demand [demand] fits on no worker for certain, and true if it may fit. */
    fun mayFit(demand: Amount): Boolean = largest?.any { demand.fitsInto(it) } ?: true

    private fun largest(): List<Amount> {
        val found = ArrayList<Amount>()
        workers.forEach { worker ->
            val capacity = capacityOf(worker) ?: return@forEach
            if (found.any { capacity.fitsInto(it) }) return@forEach
            found.removeIf { it.fitsInto(capacity) }
            found += capacity
        }
        return found
    }
}
