package org.verbenagauge.entry.jobs.owner

import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.jobs.ports.RowChange
import org.verbenagauge.entry.jobs.ports.RowExpectation
import org.verbenagauge.entry.jobs.ports.RowStore
import org.verbenagauge.entry.jobs.ports.TransactionOutcome
import org.verbenagauge.entry.jobs.records.OwnerFigures
import org.verbenagauge.entry.jobs.records.OwnerRecord
import org.verbenagauge.entry.jobs.records.RecordCodec

/** Outcome of one write of the owner. */
internal sealed interface ChainOutcome {
    /** Stored. */
    data object Stored : ChainOutcome

    /** Not known to be stored, for [cause]; the same write has to be tried again. */
    data class Open(
        val cause: String,
    ) : ChainOutcome

    /** Another entry is the owner. */
    data class Lost(
        val to: OwnerRecord?,
    ) : ChainOutcome
}

/**
 * Writes of one owner: each replaces the owner's row under the condition that it is still as the write before left it.
 * So a write whose answer was lost takes effect before the next one or never, and none after a takeover. Every write
 * renews the lease.
 */
internal class OwnerChain(
    private val store: RowStore,
    private val clock: Clock,
    first: OwnerRecord,
    private var version: Long,
    confirmedSentAtMillis: Long,
) {
    /** The row as the last stored write left it. */
    var record = first
        private set

    /** When the last write that is known to be stored was sent. */
    var confirmedSentAtMillis = confirmedSentAtMillis
        private set

    private var pending: PendingWrite? = null

    /** Whether a write is not settled. */
    val isOpen: Boolean get() = pending != null

    /** Begins a write of [changes] with [figures]; [attempt] sends it. The roster [isRosterComplete] from then on. */
    fun begin(
        changes: List<RowChange>,
        figures: OwnerFigures,
        isRosterComplete: Boolean = false,
    ) {
        val next =
            record.copy(
                sequence = record.sequence + 1,
                pendingByQueue = figures.pendingByQueue,
                pressure = figures.pressure,
                writtenUnixMillis = clock.wallMillis(),
                keepsRoster = record.keepsRoster || isRosterComplete,
            )
        pending = PendingWrite(next, changes)
    }

    /** Gives the duty up, unless it is lost or the store does not answer for a while. */
    suspend fun release() {
        withTimeoutOrNull(RELEASE_MILLIS) {
            if (isOpen && settle() != null) return@withTimeoutOrNull
            pending = PendingWrite(record.copy(entryId = "", sequence = record.sequence + 1), emptyList())
            settle()
        }
    }

    /** Whether [renewMillis] have passed since the last write that is known to be stored was sent. */
    fun isDue(renewMillis: Long): Boolean = clock.monotonicMillis() - confirmedSentAtMillis >= renewMillis

    /** Repeats the write that was begun until it is stored or the duty is lost. */
    suspend fun settle(): ChainOutcome.Lost? {
        while (true) {
            when (val outcome = attempt(WRITE_TIMEOUT_MILLIS)) {
                is ChainOutcome.Stored -> return null
                is ChainOutcome.Lost -> return outcome
                is ChainOutcome.Open -> delay(RETRY_MILLIS)
            }
        }
    }

    /** Sends the write that was begun. */
    suspend fun attempt(timeoutMillis: Long): ChainOutcome {
        val write = pending ?: return ChainOutcome.Stored
        val sentAtMillis = clock.monotonicMillis()
        if (write.firstSentAtMillis == null) write.firstSentAtMillis = sentAtMillis
        val row = RowChange(StoredTables.states, StoredTables.OWNER_KEY, encode(write.record))
        val condition = RowExpectation(StoredTables.states, StoredTables.OWNER_KEY, version)
        return when (val outcome = store.transact(listOf(condition), write.changes + row, timeoutMillis)) {
            is TransactionOutcome.Applied -> settle(write, outcome.version, sentAtMillis)
            is TransactionOutcome.Conflict -> conflict(write, outcome)
            is TransactionOutcome.Unavailable -> ChainOutcome.Open(outcome.cause)
            is TransactionOutcome.Unknown -> ChainOutcome.Open(outcome.cause)
        }
    }

    // An earlier attempt of this write may have taken effect although its answer was lost.
    private fun conflict(
        write: PendingWrite,
        conflict: TransactionOutcome.Conflict,
    ): ChainOutcome {
        val row = conflict.rows.firstOrNull { it.key == StoredTables.OWNER_KEY }
        val found = row?.value?.let { RecordCodec.decode(OwnerRecord.serializer(), it) }
        if (row == null || found == null || found != write.record) return ChainOutcome.Lost(found)
        return settle(write, row.version, write.firstSentAtMillis ?: confirmedSentAtMillis)
    }

    private fun settle(
        write: PendingWrite,
        newVersion: Long,
        sentAtMillis: Long,
    ): ChainOutcome {
        pending = null
        record = write.record
        version = newVersion
        confirmedSentAtMillis = maxOf(confirmedSentAtMillis, sentAtMillis)
        return ChainOutcome.Stored
    }

    private class PendingWrite(
        val record: OwnerRecord,
        val changes: List<RowChange>,
        var firstSentAtMillis: Long? = null,
    )

    companion object {
        private const val WRITE_TIMEOUT_MILLIS = 400L
        private const val RETRY_MILLIS = 60L

        // A planned stop has seconds; another entry waits for this write.
        private const val RELEASE_MILLIS = 1_000L

        /** Encodes the row of the owner. */
        fun encode(record: OwnerRecord): ByteArray = RecordCodec.encode(OwnerRecord.serializer(), record)
    }
}
