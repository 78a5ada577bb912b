package org.verbenagauge.entry.idempotency

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.delay
import org.verbenagauge.entry.Job
import org.verbenagauge.entry.JobAnswer
import org.verbenagauge.entry.Reason
import org.verbenagauge.entry.Verdict
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.state.store.Row
import org.verbenagauge.entry.state.store.RowCondition
import org.verbenagauge.entry.state.store.RowWrite
import org.verbenagauge.entry.state.store.TableService
import org.verbenagauge.entry.state.store.Transaction
import org.verbenagauge.entry.state.store.WriteOutcome

private const val MAX_CLAIM_ATTEMPTS = 3
private const val CLAIM_RETRY_DELAY_MILLIS = 20L
private const val UNAVAILABLE_RETRY_MILLIS = 1_000L

/**
 * Stores claims in the table service. A request runs only after it has written the row of its job, on condition that
 * the row did not exist or was released. While the table service does not answer, no job can be claimed and requests
 * with an idempotency key do not run.
 *
 * A released row is not deleted, because its versions must not be reused: otherwise a delayed write could overwrite
 * the claim of another request.
 */
internal class TableClaims(
    private val table: TableService,
    private val clock: Clock,
    private val settlements: ClaimSettlements,
) : JobClaims {
    override suspend fun claim(
        job: Job,
        teamId: String,
        idempotencyKey: String,
    ): ClaimOutcome {
        val record = ClaimRecord(job.requestId, bodyHash(job.contentType, job.body), clock.wallMillis())
        return tryClaim(Claim(claimRowKey(teamId, job.queueId, idempotencyKey), record, version = 1))
    }

    override fun settle(
        claim: Claim,
        answer: JobAnswer,
    ) {
        val finalRecord =
            when (answer.verdict) {
                Verdict.NOT_RUN -> claim.record.copy(released = true)
                else -> claim.record.copy(outcome = claimedOutcome(answer))
            }
        settlements.settle(claim, finalRecord)
    }

    private suspend fun tryClaim(claim: Claim): ClaimOutcome {
        val transaction =
            Transaction(
                operationId = "claim-${claim.record.requestId}-${claim.version}",
                conditions = listOf(RowCondition(claim.rowKey, claim.version - 1)),
                writes = listOf(RowWrite(claim.rowKey, encodeClaim(claim.record))),
            )
        var mayBeStored = false
        try {
            repeat(MAX_CLAIM_ATTEMPTS) { attempt ->
                if (attempt > 0) delay(CLAIM_RETRY_DELAY_MILLIS)
                mayBeStored = true
                when (val outcome = table.transact(transaction)) {
                    is WriteOutcome.Applied -> return ClaimOutcome.Granted(claim)
                    is WriteOutcome.Conflict -> return resolveConflict(claim, outcome.rows)
                    is WriteOutcome.Unknown -> Unit
                    is WriteOutcome.Unavailable -> if (attempt == 0) return unavailable()
                }
            }
        } catch (e: CancellationException) {
            if (mayBeStored) settlements.abandon(claim)
            throw e
        }
        settlements.abandon(claim)
        return unavailable()
    }

    // The row is claimed by another request or by an attempt of this one whose answer was lost, or it is released.
    private suspend fun resolveConflict(
        claim: Claim,
        rows: List<Row>,
    ): ClaimOutcome {
        val row = rows.firstOrNull { it.key == claim.rowKey } ?: return unavailable()
        if (row.version == 0L) return unavailable()
        val existing = decodeClaim(row.value)
        return when {
            existing.requestId == claim.record.requestId -> ClaimOutcome.Granted(claim)
            existing.released -> tryClaim(Claim(claim.rowKey, claim.record, row.version + 1))
            else -> ClaimOutcome.Answered(answerToRepeat(existing, claim.record.bodySha256Hex))
        }
    }

    private fun unavailable() =
        ClaimOutcome.Answered(JobAnswer(Reason.CLAIM_UNAVAILABLE, retryAfterMillis = UNAVAILABLE_RETRY_MILLIS))
}
