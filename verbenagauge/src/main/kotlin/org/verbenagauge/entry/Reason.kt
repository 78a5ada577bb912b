package org.verbenagauge.entry

/**
 * Stable reason for a verdict.
 *
 * @property code value of the reason header; never changes once released.
 * @property httpStatus status code of the answer to the caller.
 * @property verdict verdict that this reason always carries.
 * @property text sentence that states what is wrong and what to do.
 */
public enum class Reason(
    public val code: String,
    public val httpStatus: Int,
    public val verdict: Verdict,
    public val text: String,
) {
    SERVED("served", 200, Verdict.RAN, "The endpoint answered."),
    BODY_TOO_LARGE("body-too-large", 413, Verdict.NOT_RUN, "The body exceeds the limit; send a smaller one."),
    HEADERS_TOO_LARGE(
        "headers-too-large",
        431,
        Verdict.NOT_RUN,
        "The headers exceed the limit; send shorter ones.",
    ),
    UNKNOWN_PATH("unknown-path", 404, Verdict.NOT_RUN, "Jobs are submitted to /v1/queues/{queue}/jobs."),
    UNKNOWN_QUEUE("unknown-queue", 404, Verdict.NOT_RUN, "The queue does not exist; check its name."),
    KEY_MISSING("key-missing", 401, Verdict.NOT_RUN, "The queue needs a key; send 'Authorization: Bearer KEY'."),
    KEY_MALFORMED("key-malformed", 401, Verdict.NOT_RUN, "The Authorization header must read 'Bearer KEY'."),
    KEY_UNKNOWN("key-unknown", 401, Verdict.NOT_RUN, "The key is not valid; ask an operator for a new one."),
    QUEUE_FORBIDDEN("queue-forbidden", 403, Verdict.NOT_RUN, "The team of this key may not use the queue."),
    DEADLINE_MALFORMED(
        "deadline-malformed",
        400,
        Verdict.NOT_RUN,
        "The deadline header must be a whole number of milliseconds above 0.",
    ),
    DEADLINE_EXCEEDED(
        "deadline-exceeded",
        504,
        Verdict.NOT_RUN,
        "The request waited until its deadline without being started; send it again with a later deadline.",
    ),
    DEADLINE_UNREACHABLE(
        "deadline-unreachable",
        503,
        Verdict.NOT_RUN,
        "The request cannot be started before its deadline; send it again later.",
    ),
    METHOD_NOT_ALLOWED("method-not-allowed", 405, Verdict.NOT_RUN, "Jobs are submitted with POST."),
    QUEUE_FULL("queue-full", 503, Verdict.NOT_RUN, "The queue is full; send the request again later."),
    QUEUE_SHED(
        "queue-shed",
        503,
        Verdict.NOT_RUN,
        "The request made room for more urgent work or for a team below its share; send it again later.",
    ),
    ENTRY_FULL("entry-full", 503, Verdict.NOT_RUN, "The entry instance holds too many requests; send it again later."),
    ENTRY_STOPPING("entry-stopping", 503, Verdict.NOT_RUN, "The entry instance is stopping; send the request again."),
    ENTRY_STALE(
        "entry-stale",
        503,
        Verdict.NOT_RUN,
        "The entry instance cannot tell whether its configuration is in force; send the request again.",
    ),
    NO_ENDPOINT("no-endpoint", 503, Verdict.NOT_RUN, "No endpoint of the pool can take the request; send it later."),
    CALLER_CANCELLED("caller-cancelled", 499, Verdict.NOT_RUN, "The caller left before the request was started."),
    CONNECT_FAILED("connect-failed", 503, Verdict.NOT_RUN, "No connection to an endpoint could be opened."),
    CONNECTION_LOST(
        "connection-lost",
        502,
        Verdict.MAY_HAVE_RUN,
        "The connection to the endpoint was lost after the request was sent; check before sending it again.",
    ),
    ANSWER_TIMEOUT(
        "answer-timeout",
        504,
        Verdict.MAY_HAVE_RUN,
        "The endpoint did not answer in time; check before sending the request again.",
    ),
    ANSWER_INVALID(
        "answer-invalid",
        502,
        Verdict.MAY_HAVE_RUN,
        "The answer of the endpoint could not be read whole; check before sending the request again.",
    ),
    ENDPOINT_DRAINING("endpoint-draining", 503, Verdict.NOT_RUN, "The endpoint is draining; send the request again."),
    POOL_EMPTY("pool-empty", 503, Verdict.NOT_RUN, "The pool of the queue has no instance; ask an operator."),
    TEAM_LIMIT_ZERO("team-limit-zero", 403, Verdict.NOT_RUN, "The upper limit of the team is 0; ask an operator."),
    ANSWER_TOO_LARGE("answer-too-large", 502, Verdict.RAN, "The answer of the endpoint exceeds the limit."),
    CLAIM_UNAVAILABLE(
        "claim-unavailable",
        503,
        Verdict.NOT_RUN,
        "The idempotency key cannot be claimed while the platform does not answer; send the request again.",
    ),
    IDEMPOTENCY_KEY_REUSED(
        "idempotency-key-reused",
        422,
        Verdict.NOT_RUN,
        "The idempotency key names a job with another body; use a new key for a new job.",
    ),
    JOB_IN_PROGRESS(
        "job-in-progress",
        409,
        Verdict.MAY_HAVE_RUN,
        "Another request with this idempotency key has not ended; ask again later.",
    ),
    JOB_ALREADY_RAN(
        "job-already-ran",
        409,
        Verdict.RAN,
        "The job of this idempotency key has run; its answer was too large to be kept.",
    ),
    JOB_OUTCOME_UNKNOWN(
        "job-outcome-unknown",
        409,
        Verdict.MAY_HAVE_RUN,
        "The job of this idempotency key may have run; check before using a new key.",
    ),
    JOB_ACCEPTED("job-accepted", 200, Verdict.RAN, "The job is stored and will run."),
    JOB_TOLD("job-told", 200, Verdict.RAN, "The entry instance answered."),
    JOB_CANCELLED("job-cancelled", 200, Verdict.RAN, "The job has ended or will be stopped."),
    JOB_MALFORMED("job-malformed", 400, Verdict.NOT_RUN, "The job cannot be read; correct it and send it again."),
    JOB_ID_MALFORMED(
        "job-id-malformed",
        400,
        Verdict.NOT_RUN,
        "The id of a job has 1 to 64 letters, digits, '-' or '_'.",
    ),
    JOB_UNKNOWN("job-unknown", 404, Verdict.NOT_RUN, "There is no such job; check queue and id."),
    JOB_NOT_STORED("job-not-stored", 503, Verdict.NOT_RUN, "The job is not stored; send it again later."),
    JOB_TOO_LATE(
        "job-too-late",
        429,
        Verdict.NOT_RUN,
        "The job would start too late to be of use, and nothing of it runs; send it again after Retry-After.",
    ),
    JOB_MAY_BE_STORED(
        "job-may-be-stored",
        504,
        Verdict.MAY_HAVE_RUN,
        "The store did not say whether it took the call; send it again under the same id.",
    ),
    STORE_SILENT("store-silent", 503, Verdict.NOT_RUN, "The store does not answer; ask again later."),
    COUNT_UNKNOWN("count-unknown", 503, Verdict.NOT_RUN, "No owner has counted the jobs lately; ask again later."),
    INTERNAL_ERROR(
        "internal-error",
        500,
        Verdict.MAY_HAVE_RUN,
        "The entry instance failed; check before sending the request again.",
    ),
}
