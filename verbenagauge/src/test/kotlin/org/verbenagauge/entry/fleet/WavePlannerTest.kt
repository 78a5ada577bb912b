package org.verbenagauge.entry.fleet

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import org.verbenagauge.entry.state.control.InstancePlace
import org.verbenagauge.entry.state.control.PoolRoom
import org.verbenagauge.entry.state.document.Wave
import org.verbenagauge.entry.state.document.WaveReserve

// Two instances a rack, two racks a zone.
private fun instances(
    poolId: String,
    count: Int,
) = (0 until count).map { PlacedInstance("$poolId$it", poolId, InstancePlace("rack-${it / 2}", "zone-${it / 4}")) }

private fun room(
    poolId: String,
    size: Int,
    maxAway: Int,
    planned: Int = 0,
    unplanned: Int = 0,
) = PoolRoom(poolId, size, lent = 0, planned = planned, unplanned = unplanned, maxAway = maxAway)

private fun input(
    rooms: List<PoolRoom>,
    wave: Wave = Wave("w"),
    limit: Int? = null,
    poolWaits: Map<String, PoolWait> = emptyMap(),
): WavePlanInput {
    val all = rooms.associate { it.poolId to instances(it.poolId, it.size) }
    return WavePlanInput(
        wave = wave,
        rooms = rooms.associateBy { it.poolId },
        pending = rooms.flatMap { all.getValue(it.poolId).drop(it.planned + it.unplanned) },
        away = rooms.flatMap { all.getValue(it.poolId).take(it.planned) },
        limit = limit,
        poolWaits = poolWaits,
    )
}

private data class PlanCase(
    val name: String,
    val planner: WavePlanner,
    val input: WavePlanInput,
    val begin: List<String>,
    val waits: Map<String, PoolWait>,
)

class WavePlannerTest :
    FunSpec({
        val a8 = room("a", 8, maxAway = 2)
        val used = PoolWait.BUDGET_USED
        context("given pools, when a planner decides, then it takes out what the bounds allow and says what waits") {
            withData(
                nameFn = { it.name },
                PlanCase("naive takes one", OneAtATime, input(listOf(a8)), listOf("a0"), mapOf("a" to PoolWait.WAVE)),
                PlanCase(
                    "naive waits",
                    OneAtATime,
                    input(listOf(a8.copy(planned = 1))),
                    emptyList(),
                    mapOf("a" to PoolWait.WAVE),
                ),
                PlanCase(
                    "greedy stays in its rack",
                    GreedyByRack,
                    input(listOf(a8.copy(maxAway = 4))),
                    listOf("a0", "a1"),
                    mapOf("a" to PoolWait.WAVE),
                ),
                PlanCase(
                    "budget in full use",
                    BudgetPlanner,
                    input(listOf(a8)),
                    listOf("a0", "a4"),
                    mapOf("a" to used),
                ),
                PlanCase(
                    "unplanned loss counts",
                    BudgetPlanner,
                    input(listOf(a8.copy(unplanned = 2))),
                    emptyList(),
                    mapOf("a" to PoolWait.BUDGET_LOST),
                ),
                PlanCase(
                    "a pool with time to spare keeps a reserve",
                    BudgetPlanner,
                    input(listOf(room("a", 8, maxAway = 1), room("b", 8, maxAway = 4))),
                    listOf("b0", "a0"),
                    mapOf("a" to used, "b" to PoolWait.RESERVE),
                ),
                PlanCase(
                    "firm reserve for a rack",
                    BudgetPlanner,
                    input(listOf(a8.copy(maxAway = 3)), Wave("w", reserve = WaveReserve.RACK)),
                    listOf("a0"),
                    mapOf("a" to PoolWait.RESERVE),
                ),
                PlanCase(
                    "budget of a zone",
                    BudgetPlanner,
                    input(listOf(a8.copy(maxAway = 4, maxAwayPerZone = 1))),
                    listOf("a0", "a4"),
                    mapOf("a" to PoolWait.DOMAIN_BUDGET_USED),
                ),
                PlanCase(
                    "longest remaining work first",
                    BudgetPlanner,
                    input(listOf(room("a", 2, maxAway = 1), room("b", 8, maxAway = 1)), limit = 1),
                    listOf("b0"),
                    mapOf("a" to PoolWait.WAVE, "b" to used),
                ),
                PlanCase(
                    "order of the operator",
                    BudgetPlanner,
                    input(listOf(room("a", 2, 1), room("b", 2, 1)), Wave("w", poolOrder = listOf("b", "a"))),
                    listOf("b0"),
                    mapOf("a" to PoolWait.POOL_ORDER, "b" to used),
                ),
                PlanCase(
                    "pool left alone",
                    BudgetPlanner,
                    input(listOf(room("a", 2, 1)), poolWaits = mapOf("a" to PoolWait.URGENT_WORK)),
                    emptyList(),
                    mapOf("a" to PoolWait.URGENT_WORK),
                ),
                PlanCase(
                    "no budget",
                    BudgetPlanner,
                    input(listOf(room("a", 2, 0))),
                    emptyList(),
                    mapOf("a" to PoolWait.BUDGET_ZERO),
                ),
            ) { case ->
                val plan = case.planner.plan(case.input)
                plan.begin.map { it.instanceId } shouldBe case.begin
                plan.poolWaits shouldBe case.waits
            }
        }
    })
