package org.verbenagauge.entry.jobs.model

/**
 * Identifies a task across all its runs.
 *
 * @property occurrence occurrence of a scheduled job, from 0; 0 for other jobs.
 * @property step position of the step in the job, from 0.
 * @property index position of the task in the step, from 0.
 */
public data class TaskId(
    val jobId: String,
    val occurrence: Int,
    val step: Int,
    val index: Int,
) {
    /** Key that is unique within the job. */
    public val localKey: String get() = "$occurrence.$step.$index"

    override fun toString(): String = "$jobId.$occurrence.$step.$index"
}

private const val PART_COUNT = 4

/** Parses the format of [TaskId.toString]; returns null when [text] has another format. */
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
