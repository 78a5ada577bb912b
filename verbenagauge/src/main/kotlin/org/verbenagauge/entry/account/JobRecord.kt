package org.verbenagauge.entry.account

import org.verbenagauge.entry.Reason

/**
 * What happened to one request.
 *
 * @property requestId identifies the request.
 * @property teamId team, or null when the key was refused.
 * @property queueId queue named by the caller.
 * @property idempotencyKey names the job across retries, or null.
 * @property instanceId instance that the request was sent to last, or null.
 * @property reason reason, which carries the verdict.
 * @property arrivedAtWallMillis wall clock at the arrival.
 * @property waitedMillis time from the arrival to the start, or to the refusal.
 * @property ranMillis time from the start to the end, 0 when it was not started.
 */
public data class JobRecord(
    val requestId: String,
    val teamId: String?,
    val queueId: String,
    val idempotencyKey: String?,
    val instanceId: String?,
    val reason: Reason,
    val arrivedAtWallMillis: Long,
    val waitedMillis: Long,
    val ranMillis: Long,
)

/** Receives the record of each request just before its answer goes to the caller. */
public fun interface JobObserver {
    /** Handles [record]. */
    public suspend fun answered(record: JobRecord)
}
