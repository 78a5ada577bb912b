package org.verbenagauge.entry.placement

import org.verbenagauge.entry.rights.Resource
import org.verbenagauge.entry.rights.Rights

/**
 * Address of an endpoint.
 *
 * @property instanceId instance that runs it.
 * @property host IP number.
 * @property port TCP port.
 */
public data class EndpointAddress(
    val instanceId: String,
    val host: String,
    val port: Int,
)

/**
 * An endpoint of a pool as the entry sees it.
 *
 * @property address address.
 * @property mayStart whether new work may be placed there.
 */
public data class EndpointView(
    val address: EndpointAddress,
    val mayStart: Boolean,
)

/** Endpoints of one pool, and the choice among those with a free slot. */
public class EndpointPool(
    private val rights: Rights,
) {
    private var views = emptyList<EndpointView>()

    /** Replaces the view of the pool; running requests keep their slots. */
    public fun update(endpoints: List<EndpointView>) {
        views = endpoints
    }

    /** Whether any endpoint may take work, now or once a slot is free. */
    public fun isServing(): Boolean = views.any { it.mayStart }

    /**
     * Takes a slot on the endpoint with the most free slots, preferring one not in [avoid]; null when none
     * is free.
     */
    public fun take(avoid: Set<String>): EndpointAddress? {
        val ranked =
            views
                .filter { it.mayStart }
                .map { Candidate(it.address, rights.free(Resource.Slot(it.address.instanceId))) }
                .filter { it.free > 0 }
                .sortedWith(compareBy({ it.address.instanceId in avoid }, { -it.free }))
        return ranked.firstOrNull { rights.tryTake(Resource.Slot(it.address.instanceId)) }?.address
    }

    private class Candidate(
        val address: EndpointAddress,
        val free: Int,
    )
}
