package org.verbenagauge.entry.jobs.model

/** Returns what is wrong with [specification], as a field and what to write there; null when it can be taken. */
public fun specificationProblem(specification: JobSpecification): String? {
    if (specification.steps.isEmpty()) return "steps: write at least one step"
    if (specification.repetitions < 0) return "repetitions: write 0 or more"
    if (specification.repetitions > 1 && specification.intervalMillis < 1) {
        return "intervalMillis: write the time from one occurrence to the next, at least 1"
    }
    return specification.steps.withIndex().firstNotNullOfOrNull { (index, step) ->
        stepProblem(index, step)?.let { "steps[$index].$it" }
    }
}

private fun stepProblem(
    index: Int,
    step: StepSpecification,
): String? =
    when {
        step.taskCount !in 1..MOST_TASKS -> "taskCount: write a number from 1 to $MOST_TASKS"
        step.amount.cpuMillis < 0 || step.amount.memoryMegabytes < 0 || step.amount.gpus < 0 ->
            "amount: write numbers of 0 or more"
        step.estimatedMillis < 0 -> "estimatedMillis: write 0 or more"
        step.dependsOn.any { it !in 0 until index } -> "dependsOn: name earlier steps only, counted from 0"
        step.maxPerWorker < 0 -> "maxPerWorker: write 0 for no limit, or a number above it"
        step.isGang && step.isLasting -> "isGang: a lasting step cannot be a gang"
        else -> null
    }

// Far more than a fleet of the planned size runs at once.
private const val MOST_TASKS = 10_000
