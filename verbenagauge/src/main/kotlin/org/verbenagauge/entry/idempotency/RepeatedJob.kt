package org.verbenagauge.entry.idempotency

import org.verbenagauge.entry.EndpointAnswer
import org.verbenagauge.entry.JobAnswer
import org.verbenagauge.entry.Reason
import java.util.Base64

private const val IN_PROGRESS_RETRY_MILLIS = 1_000L

/**
 * Returns the answer to a request whose job is already claimed by [existing]. A request with the same idempotency
 * key but another body is an error of the caller; a repeated request gets the answer of the first one.
 */
internal fun answerToRepeat(
    existing: ClaimRecord,
    bodySha256Hex: String,
): JobAnswer {
    if (existing.bodySha256Hex != bodySha256Hex) return JobAnswer(Reason.IDEMPOTENCY_KEY_REUSED)
    val outcome =
        existing.outcome
            ?: return JobAnswer(Reason.JOB_IN_PROGRESS, retryAfterMillis = IN_PROGRESS_RETRY_MILLIS)
    val reason = Reason.entries.firstOrNull { it.code == outcome.reasonCode } ?: Reason.JOB_OUTCOME_UNKNOWN
    if (outcome.status == null) return JobAnswer(reason)
    val body = outcome.bodyBase64 ?: return JobAnswer(Reason.JOB_ALREADY_RAN)
    return JobAnswer(reason, EndpointAnswer(outcome.status, outcome.contentType, Base64.getDecoder().decode(body)))
}
