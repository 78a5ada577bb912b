package org.verbenagauge.entry.idempotency

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import org.verbenagauge.entry.Child
import org.verbenagauge.entry.logging.Event
import org.verbenagauge.entry.logging.EventLog
import org.verbenagauge.entry.state.store.Row
import org.verbenagauge.entry.state.store.RowCondition
import org.verbenagauge.entry.state.store.RowWrite
import org.verbenagauge.entry.state.store.TableService
import org.verbenagauge.entry.state.store.Transaction
import org.verbenagauge.entry.state.store.WriteOutcome
import java.util.concurrent.atomic.AtomicInteger

private const val PAUSE_MILLIS = 500L
private const val MAX_PENDING = 10_000

// No row ever has this version: the answer to a condition on it is the row as it is now.
private const val NO_VERSION = -1L

/** Writes how claims ended, in the order in which they did, and tries again until the table service answers. */
internal class ClaimSettlements(
    private val table: TableService,
    private val log: EventLog,
) : Child {
    private val pending = Channel<Settlement>(MAX_PENDING)
    private val count = AtomicInteger()

    override val name: String = "idempotency"

    /** Claims whose end is not written yet. */
    val pendingCount: Int get() = count.get()

    /** Writes [ended] over [claim], which has been granted. */
    fun settle(
        claim: Claim,
        ended: ClaimRecord,
    ) = enqueue(Settlement(claim, ended, isGranted = true))

    /** Releases [claim], which may have been stored or may be stored yet; its request will not run. */
    fun abandon(claim: Claim) = enqueue(Settlement(claim, claim.record.copy(released = true), isGranted = false))

    override suspend fun run() {
        for (settlement in pending) {
            try {
                while (!isWritten(settlement)) delay(PAUSE_MILLIS)
            } finally {
                count.decrementAndGet()
            }
        }
    }

    private suspend fun isWritten(settlement: Settlement): Boolean {
        val claim = settlement.claim
        if (settlement.isGranted) return isReplaced(settlement, claim.version)
        val row = rowNow(claim.rowKey) ?: return false
        return when {
            row.version > claim.version -> true
            row.version < claim.version -> isReplaced(settlement, row.version)
            decodeClaim(row.value).requestId != claim.record.requestId -> true
            else -> isReplaced(settlement, claim.version)
        }
    }

    private suspend fun isReplaced(
        settlement: Settlement,
        expectedVersion: Long,
    ): Boolean {
        val claim = settlement.claim
        val transaction =
            Transaction(
                operationId = "settle-${claim.record.requestId}-$expectedVersion",
                conditions = listOf(RowCondition(claim.rowKey, expectedVersion)),
                writes = listOf(RowWrite(claim.rowKey, encodeClaim(settlement.ended))),
            )
        return when (table.transact(transaction)) {
            is WriteOutcome.Applied -> true
            is WriteOutcome.Conflict -> settlement.isGranted
            is WriteOutcome.Unavailable, is WriteOutcome.Unknown -> false
        }
    }

    // A plain read may be older than the last write; the answer to a failed condition is not.
    private suspend fun rowNow(rowKey: String): Row? {
        val question = Transaction("look-$rowKey", listOf(RowCondition(rowKey, NO_VERSION)), writes = emptyList())
        val outcome = table.transact(question)
        return (outcome as? WriteOutcome.Conflict)?.rows?.firstOrNull { it.key == rowKey }
    }

    private fun enqueue(settlement: Settlement) {
        count.incrementAndGet()
        if (pending.trySend(settlement).isSuccess) return
        count.decrementAndGet()
        log.write(
            Event.CLAIM_NOT_SETTLED,
            "the end of the claim '${settlement.claim.rowKey}' is not kept: too many wait",
        )
    }

    private class Settlement(
        val claim: Claim,
        val ended: ClaimRecord,
        val isGranted: Boolean,
    )
}
