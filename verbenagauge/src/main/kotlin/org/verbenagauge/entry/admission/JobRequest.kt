package org.verbenagauge.entry.admission

import org.verbenagauge.entry.Reason
import org.verbenagauge.entry.state.document.Queue
import org.verbenagauge.entry.state.document.Team

/**
 * A request that was checked and asks for a start.
 *
 * @property id identifies the request within the process; ids rise in the order of arrival.
 * @property team team that pays for it.
 * @property queue queue that it was submitted to.
 * @property startByMillis monotonic time by which it must have started.
 * @property finishByMillis monotonic time by which deferrable work must have finished, or null.
 * @property jobKey names the job over its retries by this entry and by the caller.
 */
public data class JobRequest(
    val id: Long,
    val team: Team,
    val queue: Queue,
    val startByMillis: Long,
    val finishByMillis: Long? = null,
    val jobKey: Lazy<Long> = lazyOf(id),
)

/**
 * How an attempt to run a request ended.
 *
 * @property id request.
 * @property reason reason, which carries the verdict of this attempt.
 * @property failedOnEndpoint whether the endpoint answered that it failed, with a status of 500 or above.
 */
public data class AttemptEnd(
    val id: Long,
    val reason: Reason,
    val failedOnEndpoint: Boolean = false,
)
