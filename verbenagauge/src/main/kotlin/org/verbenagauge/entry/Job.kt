package org.verbenagauge.entry

/**
 * One request of a caller.
 *
 * @property requestId identifies this attempt; unique over the fleet.
 * @property queueId queue named in the path.
 * @property authorization raw Authorization header, or null.
 * @property idempotencyKey names the job across retries, or null.
 * @property deadlineMillis longest time until the start, relative to arrival, or null for the limit of the queue.
 * @property contentType content type of [body], or null.
 * @property body body, passed through unread.
 */
public class Job(
    public val requestId: String,
    public val queueId: String,
    public val authorization: String?,
    public val idempotencyKey: String?,
    public val deadlineMillis: Long?,
    public val contentType: String?,
    public val body: ByteArray,
)

/**
 * Answer to a [Job].
 *
 * @property reason reason, which carries the verdict.
 * @property endpointAnswer whole answer of the endpoint when [reason] is [Reason.SERVED], else null.
 * @property retryAfterMillis when the caller should come back, or null.
 * @property detail names the thing that is wrong and where, or null.
 */
public class JobAnswer(
    public val reason: Reason,
    public val endpointAnswer: EndpointAnswer? = null,
    public val retryAfterMillis: Long? = null,
    public val detail: String? = null,
) {
    /** Verdict of [reason]. */
    public val verdict: Verdict get() = reason.verdict
}

/**
 * Whole answer of an endpoint.
 *
 * @property status HTTP status code.
 * @property contentType content type of [body], or null.
 * @property body body of the answer.
 */
public class EndpointAnswer(
    public val status: Int,
    public val contentType: String?,
    public val body: ByteArray,
)

/** Takes a job and always returns an answer with a verdict. */
public fun interface JobHandler {
    /** Handles [job]; cancellation of the calling coroutine means that the caller has left. */
    public suspend fun handle(job: Job): JobAnswer
}
