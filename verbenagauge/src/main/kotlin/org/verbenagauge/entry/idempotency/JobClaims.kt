package org.verbenagauge.entry.idempotency

import org.verbenagauge.entry.Job
import org.verbenagauge.entry.JobAnswer

/**
 * Claim of one request on the job that its idempotency key identifies.
 *
 * @property rowKey key of the row that holds the claim.
 * @property record content of that row.
 * @property version version that the row has once the claim is written.
 */
public class Claim internal constructor(
    internal val rowKey: String,
    internal val record: ClaimRecord,
    internal val version: Long,
)

/** Outcome of [JobClaims.claim]. */
public sealed interface ClaimOutcome {
    /** The request may run; its answer must be passed to [JobClaims.settle]. */
    public class Granted(
        public val claim: Claim,
    ) : ClaimOutcome

    /** The request must not run; [answer] is its answer. */
    public class Answered(
        public val answer: JobAnswer,
    ) : ClaimOutcome
}

/** Ensures that at most one of the requests with the same idempotency key runs, across all entries. */
public interface JobClaims {
    /**
     * Claims the job that [idempotencyKey] identifies within [teamId] and the queue of [job]. Must be called before
     * the request may start.
     */
    public suspend fun claim(
        job: Job,
        teamId: String,
        idempotencyKey: String,
    ): ClaimOutcome

    /** Records [answer] for repeated requests, or releases the claim when the request did not run. Does not block. */
    public fun settle(
        claim: Claim,
        answer: JobAnswer,
    )
}
