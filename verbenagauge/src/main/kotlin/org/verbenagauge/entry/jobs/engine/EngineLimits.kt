package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.load.LoadSettings

/**
 * Times of the job engine, and what it decides under load.
 *
 * @property leaseMillis lease of a run, from the last renewal; at most what workers grant.
 * @property longestLeaseMillis longest lease that workers grant, whoever asked for it.
 * @property ownerLeaseMillis time for which an earlier owner may go on ordering on workers that have not answered yet.
 * @property stopRepeatMillis interval at which an order to stop is repeated until the run is gone.
 * @property stuckAfterMillis time without progress after which a run counts as stuck.
 * @property startupMillis longest time that a lasting task takes until it works.
 * @property avoidMillis time that a worker on which runs fail gets no work.
 * @property clockMarginMillis margin added to the end of a lease that passed without contact.
 * @property load decisions under load that are switched on.
 */
public data class EngineLimits(
    val leaseMillis: Long = 5_000,
    val longestLeaseMillis: Long = 6_000,
    val ownerLeaseMillis: Long = 1_600,
    val stopRepeatMillis: Long = 700,
    val stuckAfterMillis: Long = 1_800,
    val startupMillis: Long = 3_000,
    val avoidMillis: Long = 4_000,
    val clockMarginMillis: Long = 200,
    val load: LoadSettings = LoadSettings(),
)

/** Slowest clock of a worker, as a share of true time; workers' clocks may be 2% slow. */
internal const val SLOWEST_CLOCK_RATE = 0.98
