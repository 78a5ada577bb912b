package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.load.LoadSettings

/**
 * Time limits of the job engine, and the decisions under load that are enabled.
 *
 * @property leaseMillis lease of a run, counted from the last renewal; at most what workers grant.
 * @property longestLeaseMillis longest lease that workers grant to any owner.
 * @property ownerLeaseMillis time during which an earlier owner may still send orders to workers that have not answered
 * this owner yet.
 * @property stopRepeatMillis interval at which a stop order is repeated until the run has ended.
 * @property stuckAfterMillis time without progress after which a run counts as stuck.
 * @property startupMillis longest time that a lasting task needs until it is operational.
 * @property avoidMillis time during which a worker on which runs fail gets no work.
 * @property clockMarginMillis safety margin added to the expiry of a lease of a worker without contact.
 * @property maxOpenTasks number of tasks that the engine holds at the same time; further occurrences of jobs wait.
 * @property load decisions under load that are enabled.
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
    val maxOpenTasks: Long = 200_000,
    val load: LoadSettings = LoadSettings(),
)

/** Time after which a lease that any owner granted has expired, even on the slowest worker clock. */
internal val EngineLimits.leaseExpiryMillis: Long
    get() = (longestLeaseMillis / SLOWEST_CLOCK_RATE).toLong() + clockMarginMillis

/** Time after the last write of an owner after which every lease that it may have granted has expired. */
internal val EngineLimits.takeoverLeaseMillis: Long
    get() = ownerLeaseMillis + leaseExpiryMillis

/** Lowest rate of a worker's clock relative to true time; worker clocks may run up to 2% slow. */
internal const val SLOWEST_CLOCK_RATE = 0.98
