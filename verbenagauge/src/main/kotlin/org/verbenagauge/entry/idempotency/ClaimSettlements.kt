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

private const val RETRY_DELAY_MILLIS = 500L
private const val MAX_PENDING = 10_000

// No row ever has this version, so a condition on it fails and returns the current row.
private const val IMPOSSIBLE_VERSION = -1L

/** Writes the outcomes of claims in the order in which they ended, and retries until the table service answers. */
internal class ClaimSettlements(
    private val table: TableService,
    private val log: EventLog,
) : Child {
    private val pending = Channel<Settlement>(MAX_PENDING)
    private val pendingCounter = AtomicInteger()

    override val name: String = "idempotency"

    /** Number of claims whose outcome has not been written yet. */
    val pendingCount: Int get() = pendingCounter.get()

    /** Replaces the record of [claim], which has been granted, with [finalRecord]. */
    fun settle(
        claim: Claim,
        finalRecord: ClaimRecord,
    ) = enqueue(Settlement(claim, finalRecord, isGranted = true))

    /** Releases [claim], which may already be stored or may still be stored later; its request will not run. */
    fun abandon(claim: Claim) = enqueue(Settlement(claim, claim.record.copy(released = true), isGranted = false))

    override suspend fun run() {
        for (settlement in pending) {
            try {
                while (!tryWrite(settlement)) delay(RETRY_DELAY_MILLIS)
            } finally {
                pendingCounter.decrementAndGet()
            }
        }
    }

    private suspend fun tryWrite(settlement: Settlement): Boolean {
        val claim = settlement.claim
        if (settlement.isGranted) return tryReplaceRow(settlement, claim.version)
        val row = readCurrentRow(claim.rowKey) ?: return false
        return when {
            row.version > claim.version -> true
            row.version < claim.version -> tryReplaceRow(settlement, row.version)
            decodeClaim(row.value).requestId != claim.record.requestId -> true
            else -> tryReplaceRow(settlement, claim.version)
        }
    }

    private suspend fun tryReplaceRow(
        settlement: Settlement,
        expectedVersion: Long,
    ): Boolean {
        val claim = settlement.claim
        val transaction =
            Transaction(
                operationId = "settle-${claim.record.requestId}-$expectedVersion",
                conditions = listOf(RowCondition(claim.rowKey, expectedVersion)),
                writes = listOf(RowWrite(claim.rowKey, encodeClaim(settlement.finalRecord))),
            )
        return when (table.transact(transaction)) {
            is WriteOutcome.Applied -> true
            is WriteOutcome.Conflict -> settlement.isGranted
            is WriteOutcome.Unavailable, is WriteOutcome.Unknown -> false
        }
    }

    // A plain read may be stale; the row returned for a failed condition is current.
    private suspend fun readCurrentRow(rowKey: String): Row? {
        val query = Transaction("look-$rowKey", listOf(RowCondition(rowKey, IMPOSSIBLE_VERSION)), writes = emptyList())
        val outcome = table.transact(query)
        return (outcome as? WriteOutcome.Conflict)?.rows?.firstOrNull { it.key == rowKey }
    }

    private fun enqueue(settlement: Settlement) {
        pendingCounter.incrementAndGet()
        if (pending.trySend(settlement).isSuccess) return
        pendingCounter.decrementAndGet()
        log.write(
            Event.CLAIM_NOT_SETTLED,
            "outcome of claim '${settlement.claim.rowKey}' dropped: too many outcomes are waiting to be written",
        )
    }

    private class Settlement(
        val claim: Claim,
        val finalRecord: ClaimRecord,
        val isGranted: Boolean,
    )
}
