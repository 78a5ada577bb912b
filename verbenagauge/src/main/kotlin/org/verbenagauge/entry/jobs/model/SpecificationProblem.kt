package org.verbenagauge.entry.jobs.model

/** Returns the first error in [specification] as a field with its valid values, or null when it is valid. */
public fun specificationProblem(specification: JobSpecification): String? {
    if (specification.steps.isEmpty()) return "steps: write at least one step"
    sizeProblem(specification)?.let { return it }
    if (specification.repetitions < 0) return "repetitions: write 0 or more"
    if (specification.repetitions > 1 && specification.intervalMillis < 1) {
        return "intervalMillis: write the time from one occurrence to the next, at least 1"
    }
    return specification.steps.withIndex().firstNotNullOfOrNull { (index, step) ->
        stepProblem(index, step)?.let { "steps[$index].$it" }
    }
}

/**
 * Returns the field of [specification] that exceeds a size limit with its valid values, or null when the size is valid.
 * The limits prevent a single job from exhausting the memory of every entry that becomes the owner.
 */
public fun sizeProblem(specification: JobSpecification): String? {
    if (specification.repetitions > MAX_REPETITIONS) return "repetitions: write a number up to $MAX_REPETITIONS"
    if (specification.steps.any { it.taskCount !in 1..MAX_TASKS }) {
        return "steps: write a number of tasks from 1 to $MAX_TASKS in each step"
    }
    val tasks = specification.steps.sumOf { it.taskCount.toLong() }
    return if (tasks > MAX_TASKS) "steps: write up to $MAX_TASKS tasks in all steps together" else null
}

private fun stepProblem(
    index: Int,
    step: StepSpecification,
): String? =
    when {
        step.amount.cpuMillis < 0 || step.amount.memoryMegabytes < 0 || step.amount.gpus < 0 ->
            "amount: write numbers of 0 or more"
        step.estimatedMillis < 0 -> "estimatedMillis: write 0 or more"
        step.dependsOn.any { it !in 0 until index } -> "dependsOn: name earlier steps only, counted from 0"
        step.maxPerWorker < 0 -> "maxPerWorker: write 0 for no limit, or a number above it"
        step.isGang && step.isLasting -> "isGang: a lasting step cannot be a gang"
        else -> null
    }

// Far more than a fleet of the planned size runs at the same time.
private const val MAX_TASKS = 10_000

// One year of occurrences at intervals of five minutes.
private const val MAX_REPETITIONS = 105_120
