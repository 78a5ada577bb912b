package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.jobs.model.Amount
import org.verbenagauge.entry.jobs.model.StepSpecification

/**
 * Free room of [workers] in one pass, during which it only shrinks: those rooms that no other one exceeds in each part. Tells in
 * a few comparisons that a task fits nowhere, where most of a long line does not.
 */
internal class FreeCapacity(
    private val workers: List<WorkerEntry>,
) {
    // Null until something was found not to fit, since most passes end before.
    private var largest: List<Amount>? = null

    /** Looks at the workers again after a task was found to fit nowhere. */
    fun refresh() {
        largest = largest()
    }

    /** Whether a task of [step] may fit on a worker; when not, it surely does not. */
    fun mayFit(step: StepSpecification): Boolean {
        val rooms = largest ?: return true
        return rooms.any { room ->
            (step.isFiller || step.amount.cpuMillis <= room.cpuMillis) &&
                step.amount.memoryMegabytes <= room.memoryMegabytes &&
                step.amount.gpus <= room.gpus
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
