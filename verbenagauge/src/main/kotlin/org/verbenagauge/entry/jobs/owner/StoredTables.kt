package org.verbenagauge.entry.jobs.owner

/** Names of the tables and keys in the platform's store. */
internal object StoredTables {
    /** Accepted jobs and cancellations that wait for the owner. */
    const val WORK = "work"

    /** Progress of jobs, for the next owner. */
    const val PROGRESS = "progress"

    /** States of jobs for all entries, and the row of the owner. */
    const val STATES = "states"

    /** Key of the owner's row in [STATES]. */
    const val OWNER_KEY = "owner"

    private const val JOB_PREFIX = "job/"
    private const val CANCEL_PREFIX = "cancel/"

    /** Key of an accepted job in [WORK]. */
    fun jobKey(jobId: String) = "$JOB_PREFIX$jobId"

    /** Key of a cancellation in [WORK]. */
    fun cancelKey(jobId: String) = "$CANCEL_PREFIX$jobId"

    /** Key of the state of a job in [STATES]. */
    fun stateKey(jobId: String) = "$JOB_PREFIX$jobId"

    /** Job that a key in [WORK] or [STATES] accepts or tells of, or null. */
    fun jobOf(key: String): String? = key.takeIf { it.startsWith(JOB_PREFIX) }?.removePrefix(JOB_PREFIX)

    /** Job that a key in [WORK] cancels, or null. */
    fun cancelledOf(key: String): String? = key.takeIf { it.startsWith(CANCEL_PREFIX) }?.removePrefix(CANCEL_PREFIX)
}
