package org.verbenagauge.entry.jobs.model

/**
 * Names one task over all its runs.
 *
 * @property jobId job.
 * @property occurrence occurrence of a scheduled job, from 0; 0 for other jobs.
 * @property step position of the step.
 * @property index position in the step.
 */
public data class TaskId(
    val jobId: String,
    val occurrence: Int,
    val step: Int,
    val index: Int,
) {
    /** Key of the task within its job. */
    public val localKey: String get() = "$occurrence.$step.$index"

    override fun toString(): String = "$jobId.$occurrence.$step.$index"
}

private const val PART_COUNT = 4

/** Reads the form that [TaskId.toString] writes; null when [text] has another form. */
public fun parseTaskId(text: String): TaskId? {
    val parts = text.split('.')
    if (parts.size != PART_COUNT) return null
    val (jobId, occurrence, step, index) = parts
    return TaskId(
        jobId,
        occurrence.toIntOrNull() ?: return null,
        step.toIntOrNull() ?: return null,
        index.toIntOrNull() ?: return null,
    )
}
