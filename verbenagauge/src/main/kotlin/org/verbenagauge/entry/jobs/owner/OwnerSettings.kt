package org.verbenagauge.entry.jobs.owner

/**
 * Times of ownership.
 *
 * @property leaseMillis time after the sending of a confirmed write for which the owner may order runs.
 * @property takeoverMarginMillis longer wait of the others, for clocks that differ.
 * @property renewIntervalMillis longest time between two writes of the owner.
 * @property minWriteIntervalMillis shortest time between two writes, so that ends are stored together.
 * @property listingWaitMillis how long workers may wait for an end before they answer.
 * @property minListingIntervalMillis shortest time between two listings of a worker, so that ends come together.
 */
public data class OwnerSettings(
    val leaseMillis: Long = 1_600,
    val takeoverMarginMillis: Long = 300,
    val renewIntervalMillis: Long = 400,
    val minWriteIntervalMillis: Long = 30,
    val listingWaitMillis: Long = 1_000,
    val minListingIntervalMillis: Long = 10,
)
