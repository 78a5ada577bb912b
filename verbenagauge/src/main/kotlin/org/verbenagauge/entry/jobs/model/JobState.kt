package org.verbenagauge.entry.jobs.model

/**
 * State of a job as reported to callers.
 *
 * @property isFinal whether the state never changes again.
 */
public enum class JobState(
    public val isFinal: Boolean,
) {
    /** Accepted; no task has started. */
    QUEUED(false),

    /** A task has started. */
    ACTIVE(false),

    /** All tasks are done. */
    COMPLETED(true),

    /** A task failed as often as its queue permits. */
    FAILED(true),

    /** Cancelled by its caller. */
    CANCELLED(true),
}
