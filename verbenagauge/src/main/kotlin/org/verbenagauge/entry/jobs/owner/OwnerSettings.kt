package org.verbenagauge.entry.jobs.owner

/**
 * Timing of the owner's lease, its writes and its listings of workers.
 *
 * @property leaseMillis time after a confirmed write was sent for which the owner may order runs.
 * @property takeoverMarginMillis time that other entries wait beyond the lease, to allow for clock differences.
 * @property renewIntervalMillis longest time between two writes of the owner.
 * @property minWriteIntervalMillis shortest time between two writes, so that ends of runs are stored together.
 * @property listingWaitMillis how long a worker may wait for a run to end before it answers a listing.
 * @property minListingIntervalMillis shortest time between two listings of a worker, so that ends are reported
 * together.
 */
public data class OwnerSettings(
    val leaseMillis: Long = 1_600,
    val takeoverMarginMillis: Long = 300,
    val renewIntervalMillis: Long = 400,
    val minWriteIntervalMillis: Long = 30,
    val listingWaitMillis: Long = 1_000,
    val minListingIntervalMillis: Long = 10,
)
