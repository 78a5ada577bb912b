package org.verbenagauge.entry.jobs.owner

import kotlinx.coroutines.delay
import org.verbenagauge.entry.jobs.records.OwnerFigures

/** Renews the lease of an owner that is still loading stored state and writes no decisions yet. */
internal class OwnerLeaseRenewal(
    private val lease: OwnerLease,
    private val settings: OwnerSettings,
) {
    /**
     * Renews the lease while [isNeeded]. Returns null when the lease was still held at the last renewal. No write is
     * pending afterwards, so that the next one may begin.
     */
    suspend fun renewWhile(isNeeded: () -> Boolean): ChainOutcome.Lost? {
        while (isNeeded()) {
            delay(CHECK_INTERVAL_MILLIS)
            if (!isNeeded() || !lease.isRenewalDue(settings.renewIntervalMillis)) continue
            lease.begin(emptyList(), OwnerFigures(lease.record.pendingByQueue))
            val outcome = lease.settle()
            if (outcome is ChainOutcome.Lost) return outcome
        }
        return null
    }

    private companion object {
        // A takeover is delayed by at most one interval.
        const val CHECK_INTERVAL_MILLIS = 20L
    }
}
