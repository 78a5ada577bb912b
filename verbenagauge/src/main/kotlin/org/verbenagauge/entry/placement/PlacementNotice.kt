package org.verbenagauge.entry.placement

/** Event in the placement of jobs that is logged for operators. */
public sealed interface PlacementNotice {
    /** The endpoint of [instanceId] is failing and gets only probes. */
    public data class Ejected(
        val instanceId: String,
    ) : PlacementNotice

    /** The endpoint of [instanceId] is failing, but the pool's budget does not allow its ejection. */
    public data class BudgetExhausted(
        val instanceId: String,
    ) : PlacementNotice

    /** The endpoint of [instanceId] reported that it is draining. */
    public data class Draining(
        val instanceId: String,
    ) : PlacementNotice

    /** The endpoint of [instanceId] accepts work again. */
    public data class Restored(
        val instanceId: String,
    ) : PlacementNotice

    /** The job of the request [requestId] failed on the endpoints of [instanceIds], which are healthy otherwise. */
    public data class FaultyJob(
        val requestId: Long,
        val instanceIds: Set<String>,
    ) : PlacementNotice
}
