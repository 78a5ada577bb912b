package org.verbenagauge.entry.fleet

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.verbenagauge.entry.state.control.InstancePlace
import org.verbenagauge.entry.state.control.PoolRoom
import org.verbenagauge.entry.state.document.Wave
import kotlin.random.Random

private const val FLEETS = 500
private const val MOST_INSTANCES = 8

// Every round takes instances out and brings all of them back.
private class SmallFleet(
    val instances: List<PlacedInstance>,
    val rooms: Map<String, PoolRoom>,
    val limit: Int?,
) {
    fun allows(taken: List<PlacedInstance>): Boolean {
        if (limit != null && taken.size > limit) return false
        return taken.groupBy { it.poolId }.all { (poolId, ofPool) ->
            val room = rooms.getValue(poolId)
            ofPool.size <= room.maxAway &&
                ofPool.groupBy { it.place.rackId }.values.all { it.size <= (room.maxAwayPerRack ?: MOST_INSTANCES) } &&
                ofPool.groupBy { it.place.zoneId }.values.all { it.size <= (room.maxAwayPerZone ?: MOST_INSTANCES) }
        }
    }
}

private fun smallFleet(random: Random): SmallFleet {
    val poolCount = random.nextInt(1, 4)
    val size = random.nextInt(1, MOST_INSTANCES + 1)
    val instances =
        (0 until size).map {
            val rack = random.nextInt(4)
            PlacedInstance("i$it", "p${random.nextInt(poolCount)}", InstancePlace("r$rack", "z${rack / 2}"))
        }
    val rooms =
        instances.groupBy { it.poolId }.mapValues { (poolId, members) ->
            PoolRoom(
                poolId = poolId,
                size = members.size,
                lent = 0,
                planned = 0,
                unplanned = 0,
                maxAway = random.nextInt(1, 4),
                maxAwayPerRack = if (random.nextBoolean()) random.nextInt(1, 3) else null,
                maxAwayPerZone = if (random.nextBoolean()) random.nextInt(1, 3) else null,
            )
        }
    return SmallFleet(instances, rooms, if (random.nextBoolean()) random.nextInt(1, 5) else null)
}

private fun plannedRounds(
    fleet: SmallFleet,
    planner: WavePlanner,
): Int {
    var pending = fleet.instances
    var rounds = 0
    while (pending.isNotEmpty()) {
        val input = WavePlanInput(Wave("w"), fleet.rooms, pending, away = emptyList(), limit = fleet.limit)
        val taken = planner.plan(input).begin
        check(taken.isNotEmpty()) { "nothing taken of $pending" }
        fleet.allows(taken) shouldBe true
        pending = pending - taken.toSet()
        rounds++
    }
    return rounds
}

// Breadth-first search over the sets of instances that are maintained.
private fun fewestRounds(fleet: SmallFleet): Int {
    val all = (1 shl fleet.instances.size) - 1
    val allowed =
        (1..all).filter { mask ->
            fleet.allows(fleet.instances.filterIndexed { i, _ -> mask shr i and 1 == 1 })
        }
    var reached = setOf(0)
    var rounds = 0
    while (all !in reached) {
        reached = reached.flatMapTo(HashSet()) { done -> allowed.map { done or it } }
        rounds++
    }
    return rounds
}

class PlannerDifferentialTest :
    FunSpec({
        test(
            "given small fleets, when a wave is planned, then it takes the fewest rounds that exhaustive search finds",
        ) {
            repeat(FLEETS) { seed ->
                val fleet = smallFleet(Random(seed))
                withClue("seed $seed: ${fleet.instances} ${fleet.rooms} limit ${fleet.limit}") {
                    plannedRounds(fleet, BudgetPlanner) shouldBe fewestRounds(fleet)
                }
            }
        }

        test("given small fleets, when baselines plan, then they never take fewer rounds") {
            repeat(FLEETS) { seed ->
                val fleet = smallFleet(Random(seed))
                val rounds = plannedRounds(fleet, BudgetPlanner)
                withClue("seed $seed") {
                    rounds shouldBeLessThanOrEqual plannedRounds(fleet, OneAtATime)
                    rounds shouldBeLessThanOrEqual plannedRounds(fleet, GreedyByRack)
                }
            }
        }
    })
