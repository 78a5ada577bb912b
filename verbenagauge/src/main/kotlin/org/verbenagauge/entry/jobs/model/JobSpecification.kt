package org.verbenagauge.entry.jobs.model

import kotlinx.serialization.Serializable

/**
 * Job as requested by a caller.
 *
 * @property payload text that is passed to every task.
 * @property steps steps, identified by their position.
 * @property repetitions number of occurrences of a scheduled job; 0 for a job that runs once and without delay.
 * @property firstRunUnixMillis due time of occurrence 0.
 * @property intervalMillis time between the due times of two occurrences.
 */
@Serializable
public data class JobSpecification(
    val payload: String,
    val steps: List<StepSpecification>,
    val repetitions: Int = 0,
    val firstRunUnixMillis: Long = 0,
    val intervalMillis: Long = 0,
) {
    /** Whether the job runs at scheduled times. */
    public val isScheduled: Boolean get() = repetitions > 0

    /** Number of times that the steps run; 1 for a job that is not scheduled. */
    public val occurrenceCount: Int get() = maxOf(1, repetitions)

    /** Whether the job has a step that runs until the job is cancelled. */
    public val isLasting: Boolean get() = steps.any { it.isLasting }

    /** Returns the due time of [occurrence] in Unix milliseconds, or 0 when the job is not scheduled. */
    public fun dueUnixMillis(occurrence: Int): Long =
        if (isScheduled) firstRunUnixMillis + occurrence * intervalMillis else 0

    /**
     * Returns the duration of the longest chain of dependent steps, where [stepMillis] gives the duration of each step.
     */
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
 * Step of a job, consisting of identical tasks.
 *
 * @property amount resources that each task needs.
 * @property estimatedMillis rough estimate of the duration of a task.
 * @property dependsOn positions of earlier steps whose tasks must all be done first.
 * @property isCheckpointing whether a task can resume from a checkpoint.
 * @property isGang whether the tasks make progress only when all of them run at the same time.
 * @property prefersOneRack whether the tasks are slower when they run on more than one rack.
 * @property requiredLabel label that the worker must have; empty for none.
 * @property dataRack rack that holds the data; elsewhere the tasks are slower; empty for none.
 * @property maxPerWorker maximum number of tasks of the step on one worker; 0 for no limit.
 * @property mayRunCopies whether copies of a task may run at the same time.
 * @property isLasting whether the tasks run until the job is cancelled.
 * @property image image that the tasks run; tasks of the same image have similar run times.
 * @property latencyTargetMillis upper bound on the tail latency of a lasting task; 0 for none.
 * @property isFiller whether the tasks use only processor time that other tasks leave unused.
 * @property mayMiss maximum number of tasks of a lasting step that the system may make unavailable at once; null when
 * not bounded.
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
