package org.verbenagauge.entry.fleet

import org.verbenagauge.entry.state.control.InstancePlace
import org.verbenagauge.entry.state.control.PoolRoom
import org.verbenagauge.entry.state.document.Wave

/** Decides which instances a wave takes out next. A pure decision. */
public interface WavePlanner {
    /** Returns what to take out now and what holds the other pools back. */
    public fun plan(input: WavePlanInput): WavePlan
}

/**
 * What a planner decides on.
 *
 * @property wave wave.
 * @property rooms room of each pool, with all that is away now.
 * @property pending instances that take part, serve and wait for their maintenance.
 * @property away instances that the wave holds away now.
 * @property downByPool instances that take part and are down, by pool.
 * @property serving all instances that serve, whether they take part or not.
 * @property limit instances that the wave may hold away at once, from its document and its pace, or null.
 * @property poolWaits pools that are to be left alone now, and why.
 */
public data class WavePlanInput(
    val wave: Wave,
    val rooms: Map<String, PoolRoom>,
    val pending: List<PlacedInstance>,
    val away: List<PlacedInstance>,
    val downByPool: Map<String, Int> = emptyMap(),
    val serving: List<PlacedInstance> = pending,
    val limit: Int? = null,
    val poolWaits: Map<String, PoolWait> = emptyMap(),
)

/**
 * An instance, its pool and its failure domains.
 *
 * @property instanceId instance.
 * @property poolId pool that it serves in.
 * @property place failure domains.
 */
public data class PlacedInstance(
    val instanceId: String,
    val poolId: String,
    val place: InstancePlace,
)

/**
 * Decision of a planner.
 *
 * @property begin instances to take out now, in this order.
 * @property poolWaits what holds back each pool that still has instances to maintain.
 */
public data class WavePlan(
    val begin: List<PlacedInstance>,
    val poolWaits: Map<String, PoolWait>,
)
