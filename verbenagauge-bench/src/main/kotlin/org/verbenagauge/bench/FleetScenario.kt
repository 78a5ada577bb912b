package org.verbenagauge.bench

import org.verbenagauge.entry.state.control.ConfigurationEdit
import org.verbenagauge.entry.state.control.FleetEdit
import org.verbenagauge.entry.state.control.InstancePlace
import org.verbenagauge.entry.state.document.AvailabilityBudget
import org.verbenagauge.entry.state.document.Configuration
import org.verbenagauge.entry.state.document.Pool
import org.verbenagauge.entry.state.document.Queue
import org.verbenagauge.entry.state.document.Wave
import org.verbenagauge.standin.fleet.VirtualInstance
import org.verbenagauge.standin.fleet.VirtualPlatform

private const val WORKERS_PER_RACK = 4

/** Longest run of a request in every scenario. */
internal const val MAX_RUN_MILLIS = 30_000L

/**
 * A fleet whose waves are measured.
 *
 * @property name name of the scenario.
 * @property poolSizes instances of each pool; the last pool is the spare.
 * @property zones availability zones.
 * @property budget budget of each pool.
 * @property spareBudget budget of the spare pool.
 * @property stepMillis virtual time between two decisions.
 */
internal class FleetScenario(
    val name: String,
    val poolSizes: List<Int>,
    private val zones: Int,
    private val budget: AvailabilityBudget,
    val stepMillis: Long,
    private val spareBudget: AvailabilityBudget = budget,
) {
    /** Instances, four to a rack, with the pools spread over the racks. */
    fun instances(): List<VirtualInstance> =
        (0 until poolSizes.sum()).map {
            val rack = it / WORKERS_PER_RACK
            VirtualInstance("worker-$it", InstancePlace("rack-$rack", "zone-${rack % zones}"))
        }

    /** Stores the document and the pools of all instances on [platform]. */
    fun seed(platform: VirtualPlatform) {
        platform.propose(platform.state.version, ConfigurationEdit.Replace(document()))
        dealtPoolIds().forEachIndexed { i, poolId ->
            platform.propose(platform.state.version, FleetEdit.AssignInstance("worker-$i", poolId))
        }
    }

    /** Instances of a pool with [size] instances that may be away. */
    fun maxAway(size: Int): Int = budget.maxAwayOf(size)

    private fun document(): Configuration {
        val pools = poolSizes.indices.map(::pool)
        return Configuration(
            pools = pools,
            queues = pools.map { Queue("queue-${it.id}", it.id, maxRunMillis = MAX_RUN_MILLIS) },
            waves = listOf(Wave("wave")),
        )
    }

    private fun pool(index: Int): Pool {
        val isSpare = index == poolSizes.lastIndex
        return Pool("pool-$index", "service-$index", if (isSpare) spareBudget else budget, spare = isSpare)
    }

    // One instance of each pool in turn, so that a rack holds instances of several pools.
    private fun dealtPoolIds(): List<String> {
        val left = poolSizes.toMutableList()
        return buildList {
            while (left.any { it > 0 }) {
                left.indices.filter { left[it] > 0 }.forEach {
                    add("pool-$it")
                    left[it]--
                }
            }
        }
    }
}

/** Fleets of today and the planned size. */
internal val fleetScenarios: List<FleetScenario> =
    listOf(
        FleetScenario("ndiaye", List(5) { 8 }, zones = 4, AvailabilityBudget(maxAway = 2), stepMillis = 2_000),
        FleetScenario(
            "washwise",
            listOf(6, 7, 8, 9, 7),
            zones = 3,
            AvailabilityBudget(maxAway = 2),
            stepMillis = 2_000,
        ),
        FleetScenario(
            "no-budget",
            List(5) { 8 },
            zones = 4,
            AvailabilityBudget(maxAway = 0),
            stepMillis = 2_000,
            spareBudget = AvailabilityBudget(maxAway = 2),
        ),
        FleetScenario(
            "planned",
            List(36) { if (it < 12) 34 else 33 },
            zones = 6,
            AvailabilityBudget(maxAwayPercent = 10),
            stepMillis = 10_000,
        ),
    )
