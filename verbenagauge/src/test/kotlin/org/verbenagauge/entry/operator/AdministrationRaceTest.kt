package org.verbenagauge.entry.operator

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.shouldBe
import org.verbenagauge.entry.model.sha256Hex
import org.verbenagauge.entry.state.control.ApplyOutcome
import org.verbenagauge.entry.state.control.ConfigurationEdit
import org.verbenagauge.entry.state.control.ControlState
import org.verbenagauge.entry.state.document.Configuration
import org.verbenagauge.entry.state.document.OperatorAccount
import org.verbenagauge.entry.state.document.OperatorRight
import org.verbenagauge.entry.state.document.Pool
import org.verbenagauge.entry.state.document.Queue
import org.verbenagauge.entry.state.document.Team
import org.verbenagauge.entry.state.document.TeamKey
import org.verbenagauge.entry.state.log.AuditTrail
import org.verbenagauge.entry.state.log.InForceLog
import org.verbenagauge.entry.state.log.changeLog
import org.verbenagauge.entry.state.store.ReadOutcome
import org.verbenagauge.fake.FakeClock
import kotlin.random.Random

private const val SEEDS = 1_000
private const val STEPS = 12
private const val OPERATORS = 3
private const val MAX_NESTED = 2

private class AskedChange(
    val request: ChangeRequest,
    val outcome: AdminOutcome,
)

private class Race(
    seed: Int,
) {
    private val random = Random(seed)
    private val table = ScriptedTable()
    private val clock = FakeClock()
    private val logs = List(OPERATORS) { changeLog(table, clock, pause = {}) }
    private val auditTrail = AuditTrail(table)
    private val operators =
        List(OPERATORS) { OperatorAccount("op-$it", sha256Hex("key-$it"), OperatorRight.entries.toSet()) }
    private val administrations =
        logs.map { log ->
            Administration(log, auditTrail, InForceLog(table, { 0L }, "entry", clock), { true }, sha256Hex("boot"))
        }
    private val seenVersions = LongArray(OPERATORS)
    private var nested = 0
    private var asked = 0
    val outcomes = mutableListOf<AskedChange>()

    suspend fun run() {
        val bootstrap = operatorsOf(Configuration(), sha256Hex("boot")).single()
        val start = Configuration(pools = listOf(Pool("p", "s")), operators = operators)
        val request = ChangeRequest(bootstrap, 0, "start", ConfigurationEdit.Replace(start))
        outcomes += AskedChange(request, administrations[0].change(request))
        table.beforeTransact = ::letAnotherGoFirst
        table.nextFault = { if (random.nextInt(4) == 0) TransactFault.entries.random(random) else TransactFault.NONE }
        repeat(STEPS) { ask(random.nextInt(OPERATORS)) }
    }

    suspend fun recorded() = (auditTrail.read(0, 1_000) as ReadOutcome.Found).value

    suspend fun views() = (administrations[0].audit(0, 1_000) as ReadOutcome.Found).value

    private suspend fun letAnotherGoFirst() {
        if (nested >= MAX_NESTED || random.nextInt(4) != 0) return
        nested++
        ask(nested)
        nested--
    }

    private suspend fun ask(index: Int) {
        if (nested == 0 && random.nextInt(3) != 0) look(index)
        val operator = operators[index]
        val any = random.nextInt(4) == 0
        val edit = randomEdit()
        val version = if (any) null else seenVersions[index]
        val request = ChangeRequest(operator, version, "${authorOf(operator)}/${asked++}", edit)
        outcomes += AskedChange(request, administrationOf(index).change(request))
    }

    // An operator at depth n speaks to entry n, so that an entry is never asked while it waits for the table.
    private fun administrationOf(index: Int) = administrations[if (nested == 0) 0 else index]

    private suspend fun look(index: Int) {
        logs[0].refresh()
        seenVersions[index] = logs[0].state.value.configurationVersion
    }

    private fun randomEdit(): ConfigurationEdit {
        val teamId = "t${random.nextInt(3)}"
        return when (random.nextInt(5)) {
            0 -> ConfigurationEdit.PutTeam(Team(teamId, maxRunning = random.nextInt(-1, 9)))
            1 -> ConfigurationEdit.RemoveTeam(teamId)
            2 -> ConfigurationEdit.GrantKey(teamId, TeamKey("k$asked", sha256Hex("k$asked")))
            3 -> ConfigurationEdit.WithdrawKey(teamId, "k${random.nextInt(asked + 1)}")
            else -> ConfigurationEdit.PutPool(Pool("p", "s", slotsPerWorker = random.nextInt(0, 9)))
        }
    }
}

private fun randomDocument(random: Random): Configuration =
    Configuration(
        pools = List(random.nextInt(3)) { Pool("p${random.nextInt(5)}", "s", slotsPerWorker = random.nextInt(0, 20)) },
        teams = List(random.nextInt(3)) { Team("t${random.nextInt(9)}", maxRunning = random.nextInt(-1, 9)) },
        queues = List(random.nextInt(3)) { Queue("q${random.nextInt(5)}", "p${random.nextInt(5)}") },
    )

class AdministrationRaceTest :
    FunSpec({
        test("given operators who race with lost answers, when each change is settled, then none is lost or doubled") {
            var accepted = 0
            var conflicts = 0
            repeat(SEEDS) { seed ->
                val race = Race(seed).also { it.run() }
                val recorded = race.recorded()
                withClue("seed $seed") {
                    auditProblems(race.views(), 0).shouldBeEmpty()
                    val versionsById = recorded.associate { it.change.operationId to it.change.version }
                    versionsById.size shouldBe recorded.size
                    race.outcomes.forEach { asked ->
                        val version = versionsById[asked.request.operationId]
                        when (val outcome = asked.outcome) {
                            is AdminOutcome.Accepted -> version shouldBe outcome.version
                            is AdminOutcome.Unknown -> Unit
                            else -> version shouldBe null
                        }
                        val seen = asked.request.documentVersion
                        if (version != null && seen != null) version shouldBe seen + 1
                        val conflict = asked.outcome as? AdminOutcome.Conflict
                        conflict?.changes?.shouldNotBeEmpty()
                        if (conflict != null) conflicts++
                        if (version != null) accepted++
                    }
                    recorded.fold(ControlState()) { state, it ->
                        (state.apply(it.change.edit, it.hash) as ApplyOutcome.Applied).state
                    }
                }
            }
            (accepted > SEEDS && conflicts > SEEDS) shouldBe true
        }

        test("given a change that passes the check, when it is made on the same version, then it is in force") {
            var passed = 0
            repeat(SEEDS) { seed ->
                val random = Random(seed)
                val table = ScriptedTable()
                val log = changeLog(table, FakeClock(), pause = {})
                val inForce = InForceLog(table, { 0L }, "entry", FakeClock())
                val administration = Administration(log, AuditTrail(table), inForce, { true }, sha256Hex("boot"))
                val operator = administration.operators().single()
                repeat(STEPS) { step ->
                    val edit = ConfigurationEdit.Replace(randomDocument(random))
                    val request = ChangeRequest(operator, log.state.value.configurationVersion, "$step", edit)
                    val preview = administration.preview(request)
                    val outcome = administration.change(request)
                    val reader = changeLog(table, FakeClock(), pause = {})
                    withClue("seed $seed, step $step: $preview") {
                        (outcome is AdminOutcome.Accepted) shouldBe (preview is AdminOutcome.Previewed)
                        reader.check() shouldBe ReadOutcome.Found(log.state.value.version)
                        reader.state.value shouldBe log.state.value
                    }
                    if (outcome is AdminOutcome.Accepted) passed++
                }
            }
            (passed in SEEDS until SEEDS * STEPS) shouldBe true
        }

        test("given a lost answer, when the operator sends the change again, then it counts once") {
            val table = ScriptedTable()
            val log = changeLog(table, FakeClock(), pause = {})
            val inForce = InForceLog(table, { 0L }, "entry", FakeClock())
            val administration = Administration(log, AuditTrail(table), inForce, { true }, sha256Hex("boot"))
            val operator = administration.operators().single()
            val request = ChangeRequest(operator, 0, "once", ConfigurationEdit.PutPool(Pool("p", "s")))
            administration.change(request) shouldBe AdminOutcome.Accepted(1)
            administration.change(request) shouldBe AdminOutcome.Accepted(1)
            log.state.value.version shouldBe 1
        }
    })
