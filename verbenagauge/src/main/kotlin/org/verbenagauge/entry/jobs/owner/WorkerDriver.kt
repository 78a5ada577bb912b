package org.verbenagauge.entry.jobs.owner

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.jobs.engine.JobEngine
import org.verbenagauge.entry.jobs.ports.ListingOutcome
import org.verbenagauge.entry.jobs.ports.StartRefusal
import org.verbenagauge.entry.jobs.ports.WorkerAddress
import org.verbenagauge.entry.jobs.ports.WorkerListings

/** Renews the run leases on one worker and lists its runs, as long as it has any. */
internal class WorkerDriver(
    val address: WorkerAddress,
    private val listings: WorkerListings,
    private val engine: JobEngine,
    private val clock: Clock,
    private val settings: OwnerSettings,
) {
    private val signal = Channel<Unit>(Channel.CONFLATED)

    val workerId: String get() = address.workerId

    /** Whether the worker has seen a higher epoch. */
    var isFenced = false
        private set

    /** Whether the driver has ended. */
    var isClosed = false
        private set

    /** Whether the worker is gone or has another address. */
    val isObsolete: Boolean
        get() =
            engine.state.workers[workerId]
                ?.listed
                ?.address != address

    /** Signals that there may be leases to renew or runs to list. */
    fun wake() {
        signal.trySend(Unit)
    }

    /** Ends the driver. */
    fun close() {
        isClosed = true
        listings.close()
        wake()
    }

    /** Runs until the worker is gone, has another address or has seen a higher epoch. */
    suspend fun run(
        writer: OwnerWriter,
        onListed: () -> Unit,
    ) {
        while (!isClosed && !isFenced && !isObsolete) {
            // Checked before the renewal is created, since a created renewal counts as sent.
            if (!writer.isLeaseValid()) {
                delay(FAILURE_RETRY_MILLIS)
                continue
            }
            val now = clock.monotonicMillis()
            val renewal = engine.renewal(workerId, settings.listingWaitMillis, listings.isProven, now)
            if (renewal == null) {
                signal.receive()
                continue
            }
            val outcome = listings.list(renewal)
            isFenced = !engine.handleListing(workerId, outcome, now, clock.monotonicMillis(), address)
            onListed()
            pauseAfter(outcome, writer)
        }
        close()
    }

    private suspend fun pauseAfter(
        outcome: ListingOutcome,
        writer: OwnerWriter,
    ) {
        when {
            outcome is ListingOutcome.Listed && outcome.listing.ended.isNotEmpty() ->
                writer.awaitFlush(
                    FLUSH_TIMEOUT_MILLIS,
                )
            outcome is ListingOutcome.Listed -> delay(settings.minListingIntervalMillis)
            outcome is ListingOutcome.Refused && outcome.refusal == StartRefusal.FENCED -> Unit
            else -> delay(FAILURE_RETRY_MILLIS)
        }
    }

    private companion object {
        const val FAILURE_RETRY_MILLIS = 150L

        // Ends that are not stored and acknowledged yet would be listed again at once.
        const val FLUSH_TIMEOUT_MILLIS = 300L
    }
}
