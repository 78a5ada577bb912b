package org.verbenagauge.entry.jobs.model

import kotlinx.serialization.Serializable

/**
 * What a caller asks for.
 *
 * @property payload text that every task gets.
 * @property steps steps, named by their position.
 * @property repetitions number of occurrences of a scheduled job; 0 for a job that runs once, at once.
 * @property firstRunUnixMillis due time of occurrence 0.
 * @property intervalMillis time from one occurrence to the next.
 */
@Serializable
public data class JobSpecification(
    val payload: String,
    val steps: List<StepSpecification>,
    val repetitions: Int = 0,
    val firstRunUnixMillis: Long = 0,
    val intervalMillis: Long = 0,
) {
    /** Whether the job runs at given times. */
    public val isScheduled: Boolean get() = repetitions > 0

    /** Number of times that the steps run. */
    public val occurrenceCount: Int get() = maxOf(1, repetitions)

    /** Whether the job runs until it is cancelled. */
    public val isLasting: Boolean get() = steps.any { it.isLasting }

    /** Due time of [occurrence] in Unix milliseconds; 0 when the job is not scheduled. */
    public fun dueUnixMillis(occurrence: Int): Long =
        if (isScheduled) firstRunUnixMillis + occurrence * intervalMillis else 0

    /** Work of the longest chain of steps, with the duration of each step told by [stepMillis]. */
    public fun longestChainMillis(stepMillis: (Int) -> Long): Long {
        val chainMillis = LongArray(steps.size)
        steps.forEachIndexed { index, step ->
            val before = step.dependsOn.filter { it in 0 until index }.maxOfOrNull { chainMillis[it] } ?: 0
            chainMillis[index] = before + stepMillis(index)
        }
        return chainMillis.maxOrNull() ?: 0
    }
}

/**
 * One step of a job: tasks that are alike.
 *
 * @property taskCount number of tasks.
 * @property amount what each task takes.
 * @property estimatedMillis rough estimate of the duration of a task.
 * @property dependsOn earlier steps whose tasks must all be done first.
 * @property isCheckpointing whether a task can go on from a saved state.
 * @property isGang whether the tasks only work together.
 * @property prefersOneRack whether the tasks are slower when they run on more than one rack.
 * @property requiredLabel label that the worker must have; empty for none.
 * @property dataRack rack that holds the data; elsewhere the tasks are slower; empty for none.
 * @property maxPerWorker most tasks of the step on one worker; 0 for no limit.
 * @property mayRunCopies whether copies of a task may run at once.
 * @property isLasting whether the tasks run until the job is cancelled.
 * @property image what the tasks run; tasks of one image behave alike.
 * @property latencyTargetMillis bound on the tail of response times of a lasting task; 0 for none.
 * @property isFiller whether the tasks use only processor that others leave over.
 * @property mayMiss tasks of a lasting step that may be away at once by the system's doing; null when that is not bounded.
 */
@Serializable
public data class StepSpecification(
    val taskCount: Int,
    val amount: Amount,
    val estimatedMillis: Long = 0,
    val dependsOn: List<Int> = emptyList(),
    val isCheckpointing: Boolean = false,
    val isGang: Boolean = false,
    val prefersOneRack: Boolean = false,
    val requiredLabel: String = "",
    val dataRack: String = "",
    val maxPerWorker: Int = 0,
    val mayRunCopies: Boolean = false,
    val isLasting: Boolean = false,
    val image: String = "",
    val latencyTargetMillis: Long = 0,
    val isFiller: Boolean = false,
    val mayMiss: Int? = null,
)
