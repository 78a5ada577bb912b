package org.verbenagauge.entry.jobs.model

/** Returns the first error in [specification] as a field with its valid values, or null when it is valid. */
public fun specificationProblem(specification: JobSpecification): String? {
    if (specification.steps.isEmpty()) return "steps: write at least one step"
    boundsProblem(specification)?.let { return it }
    if (specification.repetitions > 1 && specification.intervalMillis < 1) {
        return "intervalMillis: write the time from one occurrence to the next, at least 1"
    }
    val index = specification.steps.indexOfFirst { it.isGang && it.isLasting }
    return if (index < 0) null else "steps[$index].isGang: a lasting step cannot be a gang"
}

/**
 * Returns the field of [specification] that no job can mean with its valid values, or null when there is none. Within
 * these bounds no sum over the jobs of a deployment overflows, no amount adds room, and no step waits forever.
 */
public fun boundsProblem(specification: JobSpecification): String? {
    sizeProblem(specification)?.let { return it }
    if (specification.repetitions < 0) return "repetitions: write 0 or more"
    if (specification.firstRunUnixMillis !in 0..MAX_UNIX_MILLIS) {
        return "firstRunUnixMillis: write a time from 0 to $MAX_UNIX_MILLIS"
    }
    if (specification.intervalMillis !in 0..MAX_DURATION_MILLIS) {
        return "intervalMillis: write a time from 0 to $MAX_DURATION_MILLIS"
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
        listOf(step.amount.cpuMillis, step.amount.memoryMegabytes, step.amount.gpus).any { it !in 0..MAX_AMOUNT } ->
            "amount: write numbers from 0 to $MAX_AMOUNT"
        step.estimatedMillis !in 0..MAX_DURATION_MILLIS ->
            "estimatedMillis: write a time from 0 to $MAX_DURATION_MILLIS"
        step.latencyTargetMillis !in 0..MAX_DURATION_MILLIS ->
            "latencyTargetMillis: write a time from 0 to $MAX_DURATION_MILLIS"
        step.dependsOn.any { it !in 0 until index } -> "dependsOn: name earlier steps only, counted from 0"
        step.maxPerWorker < 0 -> "maxPerWorker: write 0 for no limit, or a number above it"
        step.mayMiss != null && step.mayMiss < 0 -> "mayMiss: write 0 or more"
        else -> null
    }

// Far more than a fleet of the planned size runs at the same time.
private const val MAX_TASKS = 10_000

// One year of occurrences at intervals of five minutes.
private const val MAX_REPETITIONS = 105_120

// A million cores, a petabyte of memory.
private const val MAX_AMOUNT = 1_000_000_000L

// Ten years.
private const val MAX_DURATION_MILLIS = 315_576_000_000L

// The end of the year 9999.
private const val MAX_UNIX_MILLIS = 253_402_300_799_999L
