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

// No row ever has this version: the answer to a condition on it is the row as it is now.
private const val IMPOSSIBLE_VERSION = -1L

/** Writes how claims ended, in the order in which they did, and tries again until the table service answers. */
internal class ClaimSettlements(
    private val table: TableService,
    private val log: EventLog,
) : Child {
    private val pending = Channel<Settlement>(MAX_PENDING)
    private val pendingCounter = AtomicInteger()

    override val name: String = "idempotency"

    /** Claims whose end is not written yet. */
    val pendingCount: Int get() = pendingCounter.get()

    /** Writes [finalRecord] over [claim], which has been granted. */
    fun settle(
        claim: Claim,
        finalRecord: ClaimRecord,
    ) = enqueue(Settlement(claim, finalRecord, isGranted = true))

    /** Releases [claim], which may have been stored or may be stored yet; its request will not run. */
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

    // A plain read may be older than the last write; the answer to a failed condition is not.
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
            "the end of the claim '${settlement.claim.rowKey}' is not kept: too many wait",
        )
    }

    private class Settlement(
        val claim: Claim,
        val finalRecord: ClaimRecord,
        val isGranted: Boolean,
    )
}
