package org.verbenagauge.entry.fleet

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import org.verbenagauge.entry.settings.FleetSettings
import org.verbenagauge.entry.state.control.ControlState
import org.verbenagauge.entry.state.control.FleetEdit
import org.verbenagauge.entry.state.control.FleetState
import org.verbenagauge.entry.state.control.InstancePlace
import org.verbenagauge.entry.state.control.InstanceStep
import org.verbenagauge.entry.state.control.StepPhase
import org.verbenagauge.entry.state.control.StepPurpose
import org.verbenagauge.entry.state.control.WaveHold
import org.verbenagauge.entry.state.control.WaveRecord
import org.verbenagauge.entry.state.document.AvailabilityBudget
import org.verbenagauge.entry.state.document.Configuration
import org.verbenagauge.entry.state.document.Pool
import org.verbenagauge.entry.state.document.Wave
import org.verbenagauge.entry.state.store.InstancePhase
import org.verbenagauge.entry.state.store.ListedInstance

private const val NOW_MILLIS = 1_000L
private const val MINUTE_MILLIS = 60_000L
private val poolIds = listOf("a", "b")

private fun step(phase: StepPhase) =
    InstanceStep(StepPurpose.Maintenance("w"), phase, InstancePlace("r", "z"), "a", "a", 1, 1, startedAtWallMillis = 0)

private fun state(
    finished: Set<String> = emptySet(),
    lost: Set<String> = emptySet(),
    draining: Set<String> = emptySet(),
    hold: WaveHold? = null,
) = ControlState(
    version = 5,
    configuration =
        Configuration(
            pools = poolIds.map { Pool(it, it, AvailabilityBudget(maxAway = 4)) },
            waves = listOf(Wave("w")),
        ),
    fleet =
        FleetState(
            poolIdByInstance = poolIds.flatMap { pool -> (0..7).map { "$pool$it" to pool } }.toMap(),
            stepByInstance =
                lost.associateWith { step(StepPhase.LOST) } + draining.associateWith { step(StepPhase.DRAINING) },
            waves = mapOf("w" to WaveRecord(finished, hold)),
        ),
)

// Two instances a rack.
private fun listed(down: Set<String> = emptySet()) =
    poolIds.flatMap { pool ->
        (0..7).map {
            val id = "$pool$it"
            val phase = if (id in down) InstancePhase.GONE else InstancePhase.LIVE
            ListedInstance(id, "127.0.0.1", 1, "zone-0", "rack-$pool-${it / 2}", "region-0", phase)
        }
    }

private fun executor(
    state: ControlState,
    down: Set<String> = emptySet(),
    demand: DemandView = DemandView { PoolDemand() },
) = FleetExecutor(FleetSettings(), BudgetPlanner, demand).apply {
    update(state)
    listed(listed(down), NOW_MILLIS)
}

private fun FleetExecutor.edit(
    nowMillis: Long = NOW_MILLIS,
    rank: Int = 0,
): FleetEdit? = tick(nowMillis, nowMillis, rank).filterIsInstance<FleetAction.Propose>().firstOrNull()?.edit

private data class EvidenceCase(
    val name: String,
    val state: ControlState,
    val down: Set<String>,
    val hold: WaveHold?,
)

class FleetExecutorTest :
    FunSpec({
        val lost = setOf("a0", "a2", "b0")
        context("given a wave, when instances fail, then it stops only on evidence that the wave does the harm") {
            withData(
                nameFn = { it.name },
                EvidenceCase("tolerated losses", state(lost = setOf("a0", "b0")), emptySet(), null),
                EvidenceCase("too many losses", state(lost = lost), emptySet(), WaveHold.LOST_INSTANCES),
                EvidenceCase(
                    "maintained ones fail",
                    state(finished = setOf("a0", "a2", "b0", "b2")),
                    lost,
                    WaveHold.FAILURES_AFTER_MAINTENANCE,
                ),
                EvidenceCase(
                    "others fail as well",
                    state(finished = lost),
                    lost + setOf("b2", "b4", "b6", "a4", "a6"),
                    null,
                ),
                EvidenceCase(
                    "racks are lost",
                    state(finished = setOf("a0", "a1", "b0", "b1")),
                    setOf("a0", "a1", "b0", "b1"),
                    null,
                ),
            ) { case ->
                (executor(case.state, case.down).edit() as? FleetEdit.Hold)?.hold shouldBe case.hold
            }
        }

        test("given a held wave, when the evidence has been gone for a minute, then it goes on") {
            val executor = executor(state(hold = WaveHold.LOST_INSTANCES))
            executor.edit() shouldBe null
            executor.listed(listed(), MINUTE_MILLIS)
            executor.edit(NOW_MILLIS + MINUTE_MILLIS) shouldBe FleetEdit.Hold("w", null)
        }

        test("given a pool full with urgent work, when another order exists, then the other pool goes first") {
            val demand = DemandView { PoolDemand(urgentWaiting = if (it == "a") 1 else 0) }
            (executor(state(), demand = demand).edit() as FleetEdit.Begin).instanceId.first() shouldBe 'b'
        }

        test("given a loss over the budget, when an instance still drains, then it goes back to work") {
            val executor = executor(state(draining = setOf("a7")), down = setOf("a0", "a1", "a2", "a3"))
            executor.edit() shouldBe FleetEdit.Cancel("a7", 1)
        }

        test("given an entry of the second rank, when something is due, then it acts only after the takeover time") {
            val executor = executor(state())
            val takeoverMillis = FleetSettings().takeoverMillis
            executor.edit(rank = 1) shouldBe null
            executor.listed(listed(), NOW_MILLIS + takeoverMillis)
            (executor.edit(NOW_MILLIS + takeoverMillis, rank = 1) is FleetEdit.Begin) shouldBe true
        }

        test("given an old list, when a wave runs, then nothing is taken out and the progress says so") {
            val executor = executor(state())
            val later = NOW_MILLIS + FleetSettings().maxListAgeMillis + 1
            executor.edit(later) shouldBe null
            executor
                .progress(later, later)
                .waves
                .single()
                .waits shouldBe listOf(WaveWait.LIST_OUTDATED)
        }
    })
