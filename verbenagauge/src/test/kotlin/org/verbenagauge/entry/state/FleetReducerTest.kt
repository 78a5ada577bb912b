package org.verbenagauge.entry.state

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.maps.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import org.verbenagauge.entry.state.control.ApplyOutcome
import org.verbenagauge.entry.state.control.ConfigurationEdit
import org.verbenagauge.entry.state.control.ControlState
import org.verbenagauge.entry.state.control.Edit
import org.verbenagauge.entry.state.control.FleetEdit.Abandon
import org.verbenagauge.entry.state.control.FleetEdit.AssignInstance
import org.verbenagauge.entry.state.control.FleetEdit.Begin
import org.verbenagauge.entry.state.control.FleetEdit.Cancel
import org.verbenagauge.entry.state.control.FleetEdit.Finish
import org.verbenagauge.entry.state.control.FleetEdit.Forget
import org.verbenagauge.entry.state.control.FleetEdit.Hold
import org.verbenagauge.entry.state.control.FleetEdit.Lose
import org.verbenagauge.entry.state.control.FleetEdit.Reboot
import org.verbenagauge.entry.state.control.FleetEdit.StopWork
import org.verbenagauge.entry.state.control.FleetState
import org.verbenagauge.entry.state.control.InstancePlace
import org.verbenagauge.entry.state.control.PoolHistory
import org.verbenagauge.entry.state.control.StepPurpose
import org.verbenagauge.entry.state.control.WaveHold
import org.verbenagauge.entry.state.document.AvailabilityBudget
import org.verbenagauge.entry.state.document.Configuration
import org.verbenagauge.entry.state.document.InstanceMove
import org.verbenagauge.entry.state.document.MaintenanceHours
import org.verbenagauge.entry.state.document.Pool
import org.verbenagauge.entry.state.document.Queue
import org.verbenagauge.entry.state.document.Wave
import org.verbenagauge.entry.state.document.WaveCommand
import org.verbenagauge.entry.state.document.validate

private val place = InstancePlace("rack-0", "zone-0")
private val document =
    Configuration(
        pools =
            listOf(
                Pool("a", "a", AvailabilityBudget(maxAway = 2, maxAwayPerRack = 1)),
                Pool("b", "b", AvailabilityBudget(maxAway = 0)),
                Pool("spare", "spare", spare = true),
            ),
        queues = listOf(Queue("q", "a", maxRunMillis = 70_000)),
        waves = listOf(Wave("w", poolIds = listOf("a", "b")), Wave("paused", command = WaveCommand.PAUSE)),
        moves = listOf(InstanceMove("m", "a2", "b"), InstanceMove("out", "a1", null)),
    )
private val maintenance = StepPurpose.Maintenance("w")

private fun begin(
    id: String,
    purpose: StepPurpose = maintenance,
    rack: String = "rack-0",
    toPoolId: String? = null,
) = Begin(id, purpose, InstancePlace(rack, "zone-0"), toPoolId, nowWallMillis = 5)

private val seeded =
    listOf(
        ConfigurationEdit.Replace(document),
        AssignInstance("a0", "a"),
        AssignInstance("a1", "a"),
        AssignInstance("a2", "a"),
        AssignInstance("b0", "b"),
        AssignInstance("s0", "spare"),
    )

/** Version of the first edit after [seeded]. */
private const val FIRST = 7L

private fun applied(edits: List<Edit>): ApplyOutcome =
    (seeded + edits).fold(ApplyOutcome.Applied(ControlState()) as ApplyOutcome) { outcome, edit ->
        when (outcome) {
            is ApplyOutcome.Applied -> outcome.state.apply(edit, "hash")
            is ApplyOutcome.Rejected -> outcome
        }
    }

private fun stateAfter(vararg edits: Edit): FleetState = (applied(edits.toList()) as ApplyOutcome.Applied).state.fleet

private data class RejectedCase(
    val name: String,
    val problem: String,
    val edits: List<Edit>,
)

private fun rejected(
    name: String,
    problem: String,
    vararg edits: Edit,
) = RejectedCase(name, problem, edits.toList())

class FleetReducerTest :
    FunSpec({
        context("given a fleet, when an edit breaks a rule, then it is rejected and names the thing") {
            withData(
                nameFn = { it.name },
                rejected("pool unknown", "pool 'x'", AssignInstance("n", "x")),
                rejected("pool changed without a move", "'a0' belongs to pool 'a'", AssignInstance("a0", "b")),
                rejected("assigned while out", "out of placement", begin("a0"), AssignInstance("a0", "b")),
                rejected("out twice", "'a0' is out of placement already", begin("a0"), begin("a0")),
                rejected(
                    "budget of the pool",
                    "pool 'a' has 2",
                    begin("a0"),
                    begin("a1", rack = "rack-1"),
                    begin("a2", rack = "rack-2"),
                ),
                rejected("budget of the rack", "most of rack 'rack-0'", begin("a0"), begin("a1")),
                rejected("no budget", "pool 'b' has 0", begin("b0")),
                rejected("wave paused", "does not run", begin("a0", StepPurpose.Maintenance("paused"))),
                rejected("wave unknown", "wave 'x'", begin("a0", StepPurpose.Maintenance("x"))),
                rejected("wave held", "is held", Hold("w", WaveHold.LOST_INSTANCES), begin("a0")),
                rejected("not in the wave", "takes no part", begin("s0")),
                rejected(
                    "maintained twice",
                    "was maintained",
                    begin("a0"),
                    Reboot("a0", FIRST, 0),
                    Finish("a0", FIRST + 1),
                    begin("a0"),
                ),
                rejected("old token", "has token 8, not 7", begin("a0"), Reboot("a0", FIRST, 0), Finish("a0", FIRST)),
                rejected("finished without reboot", "does not allow", begin("a0"), Finish("a0", FIRST)),
                rejected(
                    "maintenance cancelled after the reboot began",
                    "does not allow",
                    begin("a0"),
                    Reboot("a0", FIRST, 0),
                    Cancel("a0", FIRST + 1),
                ),
                rejected("lost while draining", "does not allow", begin("a0"), Lose("a0", FIRST)),
                rejected("stopped twice", "does not allow", begin("a0"), StopWork("a0", 7), StopWork("a0", 8)),
                rejected("no step", "has no step", Finish("a0", 1)),
                rejected("move of another", "not 'a0'", begin("a0", StepPurpose.Move("m"))),
                rejected("not spare", "spare pool", begin("a0", StepPurpose.Lend, toPoolId = "b")),
                rejected("return of its own", "is not lent", begin("a0", StepPurpose.Return)),
                rejected(
                    "abandoned without a removal",
                    "takes instance 'a0' out",
                    begin("a0"),
                    Reboot("a0", FIRST, 0),
                    Lose("a0", 8),
                    Abandon("a0", 9),
                ),
                rejected("forgotten too early", "still stands", Forget(setOf("w"), emptySet())),
            ) { case ->
                val outcome = applied(case.edits)
                (outcome as ApplyOutcome.Rejected).problems.single() shouldContain case.problem
            }
        }

        test("given a maintenance, when it ends, then the instance serves in its pool and counts as maintained once") {
            val out = stateAfter(begin("a0"), Reboot("a0", FIRST, 3), Lose("a0", FIRST + 1))
            out.mayPlace("a0") shouldBe false
            out.poolIdByInstance["a0"] shouldBe "a"
            out.stepByInstance.getValue("a0").takenOutVersion shouldBe FIRST
            val back = stateAfter(begin("a0"), Reboot("a0", FIRST, 3), Lose("a0", 8), Finish("a0", 9))
            back.mayPlace("a0") shouldBe true
            back.waves.getValue("w").finishedIds shouldBe setOf("a0")
        }

        test("given a move, when its instance is free, then it belongs to no pool until it joins the new one") {
            val move = begin("a2", StepPurpose.Move("m"))
            stateAfter(move).poolIdByInstance["a2"] shouldBe "a"
            stateAfter(move, Reboot("a2", FIRST, 0)).poolIdByInstance["a2"] shouldBe null
            val joined = stateAfter(move, Reboot("a2", FIRST, 0), Finish("a2", FIRST + 1))
            joined.poolIdByInstance["a2"] shouldBe "b"
            joined.finishedMoveIds shouldBe setOf("m")
        }

        test("given a move half-way, when it is cancelled, then the instance rejoins the pool that it left") {
            val move = begin("a2", StepPurpose.Move("m"))
            stateAfter(move, Cancel("a2", FIRST)).mayPlace("a2") shouldBe true
            val back = stateAfter(move, Reboot("a2", FIRST, 0), Cancel("a2", FIRST + 1), Finish("a2", FIRST + 1))
            back.poolIdByInstance["a2"] shouldBe "a"
        }

        test("given a move out of the fleet, when its instance is free, then nothing of it is left") {
            val gone = stateAfter(begin("a1", StepPurpose.Move("out")), Reboot("a1", FIRST, 0))
            gone.poolIdByInstance["a1"] shouldBe null
            gone.stepByInstance.shouldBeEmpty()
            gone.finishedMoveIds shouldBe setOf("out")
        }

        test(
            "given an instance that never came back, when a move takes it out of the fleet, then it can be abandoned",
        ) {
            val gone = stateAfter(begin("a1"), Reboot("a1", FIRST, 0), Lose("a1", 8), Abandon("a1", 9))
            gone.poolIdByInstance["a1"] shouldBe null
            gone.finishedMoveIds shouldBe setOf("out")
        }

        test("given a lent instance, when its pool has no budget, then it covers one instance and can go back") {
            val lent =
                arrayOf<Edit>(
                    begin("s0", StepPurpose.Lend, toPoolId = "b"),
                    Reboot("s0", FIRST, 0),
                    Finish("s0", FIRST + 1),
                )
            stateAfter(*lent).homePoolIdByLent shouldBe mapOf("s0" to "spare")
            val maintained = lent + arrayOf(begin("b0"), Reboot("b0", FIRST + 3, 0), Finish("b0", FIRST + 4))
            val back =
                maintained +
                    arrayOf(begin("s0", StepPurpose.Return), Reboot("s0", FIRST + 6, 0), Finish("s0", FIRST + 7))
            val state = stateAfter(*back)
            state.homePoolIdByLent.shouldBeEmpty()
            state.poolIdByInstance["s0"] shouldBe "spare"
        }

        test("given a queue, when its longest run is lowered, then the pool remembers the longest") {
            val lowered = document.copy(queues = listOf(Queue("q", "a", maxRunMillis = 1_000)))
            stateAfter(ConfigurationEdit.Replace(lowered)).historyByPool["a"] shouldBe PoolHistory(70_000, true)
        }

        test("given pools, when a document with bad waves, moves and budgets is checked, then each problem is named") {
            val bad =
                document.copy(
                    pools = listOf(Pool("a", "a", AvailabilityBudget(-1, 101, -1, -1))),
                    queues = emptyList(),
                    waves =
                        listOf(
                            Wave("W", listOf("x"), hours = MaintenanceHours(5, 5), poolOrder = listOf("a", "a")),
                            Wave(
                                "v",
                                maxAtOnce = 0,
                                toleratedLosses = -1,
                                drainTimeoutMillis = 0,
                                rebootTimeoutMillis = 0,
                            ),
                            Wave("v"),
                        ),
                    moves = listOf(InstanceMove("m", "", "x"), InstanceMove("m", "i", null)),
                )
            validate(bad).size shouldBe 16
        }
    })
