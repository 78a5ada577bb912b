package org.verbenagauge.entry.placement

/** Something that operators should see in the log. */
public sealed interface PlacementNotice {
    /** The endpoint of [instanceId] failed its work and gets only probes. */
    public data class Ejected(
        val instanceId: String,
    ) : PlacementNotice

    /** The endpoint of [instanceId] fails its work, but the pool's budget does not allow to eject it. */
    public data class BudgetExhausted(
        val instanceId: String,
    ) : PlacementNotice

    /** The endpoint of [instanceId] said that it drains. */
    public data class Draining(
        val instanceId: String,
    ) : PlacementNotice

    /** The endpoint of [instanceId] takes work again. */
    public data class Restored(
        val instanceId: String,
    ) : PlacementNotice

    /** The job of the request [requestId] failed on the endpoints of [instanceIds], which work otherwise. */
    public data class FaultyJob(
        val requestId: Long,
        val instanceIds: Set<String>,
    ) : PlacementNotice
}
