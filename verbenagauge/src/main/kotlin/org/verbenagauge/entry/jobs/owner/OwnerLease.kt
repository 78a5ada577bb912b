package org.verbenagauge.entry.jobs.owner

import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.jobs.engine.StoreReading
import org.verbenagauge.entry.jobs.ports.RowChange
import org.verbenagauge.entry.jobs.ports.RowExpectation
import org.verbenagauge.entry.jobs.ports.RowStore
import org.verbenagauge.entry.jobs.ports.TransactionOutcome
import org.verbenagauge.entry.jobs.records.OwnerFigures
import org.verbenagauge.entry.jobs.records.OwnerRecord
import org.verbenagauge.entry.jobs.records.RecordCodec

/** Outcome of one attempt to write the owner's row. */
internal sealed interface ChainOutcome {
    /** An outcome that a retry of the same write cannot change. */
    sealed interface Settled : ChainOutcome

    /** The write is stored. */
    data object Stored : Settled

    /** Not known to be stored because of [cause]; the same write has to be retried. */
    data class Unconfirmed(
        val cause: String,
    ) : ChainOutcome

    /** Another entry is the owner; [to] is its row, or null when the row is missing or unreadable. */
    data class Lost(
        val to: OwnerRecord?,
    ) : Settled

    /** The store never accepts the write, because of [cause]; ownership is not affected. */
    data class Rejected(
        val cause: String,
    ) : Settled
}

/**
 * Lease of one owner, held by conditional writes: each replaces the owner's row on condition that the row is as the
 * previous write left it. So a write whose answer was lost takes effect before the next one or never, and none takes
 * effect after a takeover. Every write renews the lease.
 */
internal class OwnerLease(
    private val store: RowStore,
    private val clock: Clock,
    initialRecord: OwnerRecord,
    private var version: Long,
    confirmedSentAtMillis: Long,
) {
    /** The owner's row as the last stored write left it. */
    var record = initialRecord
        private set

    /** Monotonic time at which the last write that is known to be stored was sent. */
    var confirmedSentAtMillis = confirmedSentAtMillis
        private set

    /** Receives the store's time after each write that is known to be stored. */
    var onStoreTime: (StoreReading) -> Unit = {}

    /** Time on the store's clock after which no lease of an earlier epoch is valid; stored with each write. */
    var earlierLeasesEndMillis: Long? = null

    private var pending: PendingWrite? = null

    /** Whether a write has begun whose outcome is not known yet. */
    val hasPendingWrite: Boolean get() = pending != null

    /**
     * Prepares a write of [changes] with [figures]; [attempt] sends it. If [isRosterComplete], the row marks the roster
     * as complete from this write on.
     */
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
                pendingAgeMillis = figures.pendingAgeMillis,
                omitsPending = figures.omitsPending,
                writtenUnixMillis = clock.wallMillis(),
                keepsRoster = record.keepsRoster || isRosterComplete,
                earlierLeasesEndMillis = earlierLeasesEndMillis,
            )
        pending = PendingWrite(next, changes)
    }

    /**
     * Releases ownership together with [changes], unless it is already lost or the store does not answer in time. Only
     * the changes that fit into one transaction are written.
     */
    suspend fun release(changes: List<RowChange> = emptyList()) {
        withTimeoutOrNull(RELEASE_MILLIS) {
            if (hasPendingWrite && settle() is ChainOutcome.Lost) return@withTimeoutOrNull
            val released =
                record.copy(
                    entryId = "",
                    sequence = record.sequence + 1,
                    pendingAgeMillis = null,
                    earlierLeasesEndMillis = earlierLeasesEndMillis,
                )
            pending = PendingWrite(released, changes.take(MAX_CHANGES))
            settle()
        }
    }

    /** Whether [renewIntervalMillis] have passed since the last write that is known to be stored was sent. */
    fun isRenewalDue(renewIntervalMillis: Long): Boolean =
        clock.monotonicMillis() - confirmedSentAtMillis >= renewIntervalMillis

    /** Retries the pending write until it is stored or rejected, or ownership is lost. */
    suspend fun settle(): ChainOutcome.Settled {
        while (true) {
            when (val outcome = attempt(WRITE_TIMEOUT_MILLIS)) {
                is ChainOutcome.Settled -> return outcome
                is ChainOutcome.Unconfirmed -> delay(RETRY_MILLIS)
            }
        }
    }

    /** Sends the pending write once. */
    suspend fun attempt(timeoutMillis: Long): ChainOutcome {
        val write = pending ?: return ChainOutcome.Stored
        val sentAtMillis = clock.monotonicMillis()
        if (write.firstSentAtMillis == null) write.firstSentAtMillis = sentAtMillis
        val row = RowChange(StoredTables.states, StoredTables.OWNER_KEY, encode(write.record))
        val condition = RowExpectation(StoredTables.states, StoredTables.OWNER_KEY, version)
        return when (val outcome = store.transact(listOf(condition), write.changes + row, timeoutMillis)) {
            is TransactionOutcome.Applied -> {
                outcome.storeMillis?.let { onStoreTime(StoreReading(it, sentAtMillis, clock.monotonicMillis())) }
                confirm(write, outcome.version, sentAtMillis)
            }

            is TransactionOutcome.Conflict -> resolveConflict(write, outcome)
            is TransactionOutcome.Unavailable -> ChainOutcome.Unconfirmed(outcome.cause)
            is TransactionOutcome.Rejected -> reject(outcome.cause)
            is TransactionOutcome.Unknown -> ChainOutcome.Unconfirmed(outcome.cause)
        }
    }

    // An earlier attempt of this write may have been stored although its answer was lost.
    private fun resolveConflict(
        write: PendingWrite,
        conflict: TransactionOutcome.Conflict,
    ): ChainOutcome {
        val row = conflict.rows.firstOrNull { it.key == StoredTables.OWNER_KEY }
        val found = row?.value?.let { RecordCodec.decode(OwnerRecord.serializer(), it) }
        if (row == null || found == null || found != write.record) return ChainOutcome.Lost(found)
        return confirm(write, row.version, write.firstSentAtMillis ?: confirmedSentAtMillis)
    }

    private fun reject(cause: String): ChainOutcome {
        pending = null
        return ChainOutcome.Rejected(cause)
    }

    private fun confirm(
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

        // The condition and the row of the owner are entries of the transaction as well, which takes 100.
        private const val MAX_CHANGES = 95

        // A planned stop takes no more than a few seconds, and another entry waits for this write.
        private const val RELEASE_MILLIS = 1_000L

        /** Encodes [record] as the value of the owner's row. */
        fun encode(record: OwnerRecord): ByteArray = RecordCodec.encode(OwnerRecord.serializer(), record)
    }
}
