package org.verbenagauge.entry.admission

import org.verbenagauge.entry.Reason
import org.verbenagauge.entry.state.document.Queue
import org.verbenagauge.entry.state.document.Team

/**
 * A validated request that is submitted for scheduling.
 *
 * @property id identifies the request within the process; ids increase in the order of arrival.
 * @property team team that is charged for the request.
 * @property startByMillis monotonic time by which it must have started.
 * @property finishByMillis monotonic time by which deferrable work must have finished, or null.
 * @property jobKey identifies the job across retries by this entry and by the caller.
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
 * @property id identifies the request.
 * @property reason reason of the end; its verdict says whether this attempt ran.
 * @property failedOnEndpoint whether the endpoint answered with a status of 500 or above.
 */
public data class AttemptEnd(
    val id: Long,
    val reason: Reason,
    val failedOnEndpoint: Boolean = false,
)
