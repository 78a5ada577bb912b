package org.verbenagauge.entry.jobs.records

import org.verbenagauge.entry.jobs.model.JobSpecification

/** Numbers the tasks of a job: by occurrence, then by step, then by index. */
internal class TaskNumbers(
    private val specification: JobSpecification,
) {
    private val firstOfStep = specification.steps.runningFold(0L) { first, step -> first + step.taskCount }

    /** Number of tasks of one occurrence. */
    val tasksPerOccurrence = firstOfStep.last()

    /** Returns the number of the task with the local key [key], or null if the job has no such task. */
    fun numberOf(key: String): Long? {
        val parts = key.split('.')
        if (parts.size != KEY_PARTS) return null
        val (occurrence, step, index) = parts.map { it.toIntOrNull() ?: return null }
        val taskCount = specification.steps.getOrNull(step)?.taskCount ?: return null
        if (occurrence !in 0 until specification.occurrenceCount || index !in 0 until taskCount) return null
        return occurrence * tasksPerOccurrence + firstOfStep[step] + index
    }

    /** Returns the local key of the task [number], or null if the job has no such task. */
    fun keyOf(number: Long): String? {
        if (tasksPerOccurrence == 0L ||
            number !in 0 until tasksPerOccurrence * specification.occurrenceCount
        ) {
            return null
        }
        val position = number % tasksPerOccurrence
        val step = firstOfStep.indexOfLast { it <= position }
        return "${number / tasksPerOccurrence}.$step.${position - firstOfStep[step]}"
    }

    private companion object {
        const val KEY_PARTS = 3
    }
}
