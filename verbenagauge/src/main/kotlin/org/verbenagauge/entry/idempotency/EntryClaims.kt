package org.verbenagauge.entry.idempotency

import kotlinx.coroutines.delay
import org.verbenagauge.entry.Child
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.logging.EventLog
import org.verbenagauge.entry.state.store.TableService

private const val CLOSE_TIMEOUT_MILLIS = 3_000L
private const val CLOSE_POLL_MILLIS = 20L

/** Claims of one entry on jobs with idempotency keys, and the task that writes their outcomes. */
internal class EntryClaims(
    val claims: JobClaims,
    private val settlements: ClaimSettlements,
) {
    /** Task to run under a supervisor. */
    val child: Child get() = settlements

    /** Waits until the outcomes of all claims are written, for at most [CLOSE_TIMEOUT_MILLIS]. */
    suspend fun close(clock: Clock) {
        val deadlineMillis = clock.monotonicMillis() + CLOSE_TIMEOUT_MILLIS
        while (settlements.pendingCount > 0 && clock.monotonicMillis() < deadlineMillis) delay(CLOSE_POLL_MILLIS)
    }
}

/** Creates the claims of one entry, which are stored in [table]. */
internal fun entryClaims(
    table: TableService,
    clock: Clock,
    log: EventLog,
): EntryClaims {
    val settlements = ClaimSettlements(table, log)
    return EntryClaims(TableClaims(table, clock, settlements), settlements)
}
