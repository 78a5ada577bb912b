package org.verbenagauge.entry.load

/**
 * A failed run of a task, with the recent results of other jobs on the same worker.
 *
 * @property failedRuns number of failed runs of the task, including this one.
 * @property failedWorkers number of workers on which runs of the job failed, including this one.
 * @property otherJobDoneAgoMillis time since the worker last completed a task of another job; null if it never has.
 * @property otherJobFailedAgoMillis time since a task of another job last failed on the worker; null if none has.
 */
public data class FailedRun(
    val failedRuns: Int,
    val failedWorkers: Int,
    val otherJobDoneAgoMillis: Long?,
    val otherJobFailedAgoMillis: Long?,
)

/** Distinguishes tasks that fail by their own fault from workers that fail their tasks. Has no side effects. */
public interface RetryRule {
    /**
     * Whether the task is the likely cause of [failure]. If so, the other tasks of its job get no capacity until a
     * retry has settled the question.
     */
    public fun isLikelyTaskFault(failure: FailedRun): Boolean
}

/** Retries failed tasks like any other work; the baseline for [FailingTaskRule]. */
public object AlwaysRetry : RetryRule {
    override fun isLikelyTaskFault(failure: FailedRun): Boolean = false
}

/**
 * Blames the task if its job failed on a second worker, and that worker completes tasks of other jobs, or if the task
 * itself failed for the second time. One failure is no evidence, since a worker may fail a part of its runs. Guards
 * against large numbers of jobs that can never succeed, of which every task would otherwise run until one of them has
 * used up its attempts.
 */
public object FailingTaskRule : RetryRule {
    /** Maximum share of a pool for the retries of all such tasks together; each job retries one task at a time. */
    public const val MAX_RETRY_SHARE: Double = 0.1

    // Older results say little about a worker, since workers become faulty and recover within seconds.
    private const val RECENT_OUTCOME_MILLIS = 5_000L

    override fun isLikelyTaskFault(failure: FailedRun): Boolean {
        if (failure.failedRuns >= 2) return true
        if (failure.failedWorkers < 2) return false
        val doneAgoMillis = failure.otherJobDoneAgoMillis ?: return false
        val failedAgoMillis = failure.otherJobFailedAgoMillis ?: Long.MAX_VALUE
        return doneAgoMillis <= RECENT_OUTCOME_MILLIS && doneAgoMillis < failedAgoMillis
    }
}
