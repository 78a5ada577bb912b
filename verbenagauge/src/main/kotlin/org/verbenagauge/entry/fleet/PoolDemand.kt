package org.verbenagauge.entry.fleet

/**
 * Work that waits for a pool, as far as this entry knows.
 *
 * @property urgentWaiting urgent requests that wait because no slot is free.
 * @property deferrableWaiting deferrable requests that wait.
 */
public data class PoolDemand(
    val urgentWaiting: Int = 0,
    val deferrableWaiting: Int = 0,
)

/** Says what work waits for a pool. */
public fun interface DemandView {
    /** Work that waits for [poolId]. */
    public fun demandOf(poolId: String): PoolDemand
}
