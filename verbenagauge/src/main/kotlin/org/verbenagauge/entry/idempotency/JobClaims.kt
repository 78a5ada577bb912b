package org.verbenagauge.entry.idempotency

import org.verbenagauge.entry.Job
import org.verbenagauge.entry.JobAnswer

/**
 * Claim of one request on the job that its idempotency key names.
 *
 * @property rowKey row that holds the claim.
 * @property record what was claimed.
 * @property version version of the row that the claim makes.
 */
public class Claim internal constructor(
    internal val rowKey: String,
    internal val record: ClaimRecord,
    internal val version: Long,
)

/** Outcome of [JobClaims.claim]. */
public sealed interface ClaimOutcome {
    /** The request may run; [JobClaims.settle] must be called with its answer. */
    public class Granted(
        public val claim: Claim,
    ) : ClaimOutcome

    /** The request must not run, and this is its answer. */
    public class Answered(
        public val answer: JobAnswer,
    ) : ClaimOutcome
}

/** Makes sure that of all requests with the same idempotency key at most one runs, over all entries. */
public interface JobClaims {
    /**
     * Claims the job that [idempotencyKey] names within the queue of [job] and [teamId]; to be called before
     * the request may start.
     */
    public suspend fun claim(
        job: Job,
        teamId: String,
        idempotencyKey: String,
    ): ClaimOutcome

    /** Records [answer] for repeats, or gives the claim up when the request did not run; returns at once. */
    public fun settle(
        claim: Claim,
        answer: JobAnswer,
    )
}
