package org.verbenagauge.entry.rights

import org.verbenagauge.entry.model.Resource

/**
 * Rights of this entry instance to use resources. The rights of all entries for one resource together
 * never exceed its limit. All functions may be called from any thread and return at once.
 */
public interface Rights {
    /** Rights of [resource] that are free now. */
    public fun free(resource: Resource): Int

    /** Takes one right of [resource]; false when none is free. */
    public fun tryTake(resource: Resource): Boolean

    /** Gives one right of [resource] back, once the request that held it cannot be running any more. */
    public fun release(resource: Resource)

    /** Reports that [waiting] requests of [teamId] wait for [poolId] here, so that rights can move to demand. */
    public fun reportDemand(
        poolId: String,
        teamId: String,
        waiting: Int,
    )

    /** Reports that a request of [teamId] in [poolId] has started. */
    public fun reportStarted(
        poolId: String,
        teamId: String,
    ): Unit = Unit

    /** Reports that a request of [teamId] in [poolId] has ended, of which [reportStarted] told. */
    public fun reportEnded(
        poolId: String,
        teamId: String,
    ): Unit = Unit

    /** Calls [listener] after rights have become free other than by [release]. */
    public fun onGained(listener: () -> Unit)
}

/** Requests that other entries have started, for shares that count over the fleet. */
public fun interface FleetService {
    /** Requests of [teamId] that other entries have started in [poolId], as far as they have told. */
    public fun startedElsewhere(
        poolId: String,
        teamId: String,
    ): Long
}

/** A view in which no other entry has started anything. */
public val noFleetService: FleetService = FleetService { _, _ -> 0 }
