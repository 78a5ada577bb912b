package org.verbenagauge.entry.state

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.verbenagauge.entry.state.control.Change
import org.verbenagauge.entry.state.control.ConfigurationEdit
import org.verbenagauge.entry.state.control.encodeChange
import org.verbenagauge.entry.state.document.Configuration
import org.verbenagauge.entry.state.document.Team
import org.verbenagauge.entry.state.log.FollowOutcome
import org.verbenagauge.entry.state.log.ProposeOutcome
import org.verbenagauge.entry.state.log.changeLog
import org.verbenagauge.entry.state.store.ReadOutcome
import org.verbenagauge.entry.state.store.TableService
import org.verbenagauge.fake.FakeClock
import org.verbenagauge.fake.FakeTableService
import org.verbenagauge.fake.WriteFault
import kotlin.random.Random

private data class SettleCase(
    val name: String,
    val faults: List<WriteFault>,
    val otherFirst: Boolean = false,
    val readsWritesAgo: Int = 0,
    val outcome: ProposeOutcome,
)

private fun edit(teamId: String) =
    ConfigurationEdit.Replace(Configuration(teams = listOf(Team(teamId, maxRunning = 1))))

private fun log(table: TableService) = changeLog(table, FakeClock(), Random(1)) {}

class ChangeLogTest :
    FunSpec({
        context("given faults of the table service, when a change is proposed, then its outcome is settled") {
            withData(
                nameFn = { it.name },
                SettleCase("no fault", emptyList(), outcome = ProposeOutcome.Stored(1)),
                SettleCase("answer lost", listOf(WriteFault.ANSWER_LOST), outcome = ProposeOutcome.Stored(1)),
                SettleCase("request lost", listOf(WriteFault.REQUEST_LOST), outcome = ProposeOutcome.Stored(1)),
                SettleCase(
                    "refused at once",
                    listOf(WriteFault.REFUSED),
                    outcome = ProposeOutcome.Unavailable("the fake is down"),
                ),
                SettleCase(
                    "answer lost, then refused",
                    listOf(WriteFault.ANSWER_LOST) + List(4) { WriteFault.REFUSED },
                    outcome = ProposeOutcome.Unknown("mine"),
                ),
                SettleCase(
                    "another change came first",
                    emptyList(),
                    otherFirst = true,
                    outcome = ProposeOutcome.Conflict(1),
                ),
                SettleCase(
                    "request lost and another change came first",
                    listOf(WriteFault.REQUEST_LOST),
                    otherFirst = true,
                    outcome = ProposeOutcome.Conflict(1),
                ),
                SettleCase(
                    "answer lost and stale reads",
                    listOf(WriteFault.ANSWER_LOST),
                    readsWritesAgo = 1,
                    outcome = ProposeOutcome.Stored(1),
                ),
            ) { case ->
                val table = FakeTableService()
                val mine = log(table)
                if (case.otherFirst) log(FakeTableService(table.rows)).propose(0, edit("other"), "other", "other")
                table.writeFaults += case.faults
                table.readsWritesAgo = case.readsWritesAgo
                mine.propose(0, edit("mine"), "me", "mine") shouldBe case.outcome
            }
        }

        test("given an unknown outcome that lands later, when it is proposed again, then it is stored once") {
            val table = FakeTableService()
            val mine = log(table)
            repeat(5) { table.writeFaults += WriteFault.DELAYED }
            mine.propose(0, edit("mine"), "me", "mine") shouldBe ProposeOutcome.Unknown("mine")
            table.landDelayed()
            mine.propose(0, edit("mine"), "me", "mine") shouldBe ProposeOutcome.Stored(1)
            mine.refresh() shouldBe ReadOutcome.Found(1L)
        }

        test("given a lost answer, when the same operation is tried through another entry, then it is stored once") {
            val table = FakeTableService()
            repeat(5) { table.writeFaults += if (it == 0) WriteFault.ANSWER_LOST else WriteFault.REFUSED }
            log(table).propose(0, edit("mine"), "me", "mine") shouldBe ProposeOutcome.Unknown("mine")
            log(table).propose(0, edit("mine"), "me", "mine") shouldBe ProposeOutcome.Stored(1)
        }

        test("given two racing operators, when both propose on one version, then one is stored and one conflicts") {
            val table = FakeTableService()
            val first = log(table)
            val second = log(FakeTableService(table.rows))
            first.propose(0, edit("first"), "a", "first") shouldBe ProposeOutcome.Stored(1)
            second.propose(0, edit("second"), "b", "second") shouldBe ProposeOutcome.Conflict(1)
            second.state.value.configuration.teams
                .single()
                .id shouldBe "first"
        }

        test("given a stale read, when changes are read, then the version does not fall and a check tells the truth") {
            val table = FakeTableService()
            val mine = log(table)
            mine.propose(0, edit("one"), "me", "1")
            mine.propose(1, edit("two"), "me", "2")
            val reader = log(table)
            table.readsWritesAgo = 1
            reader.refresh() shouldBe ReadOutcome.Found(1L)
            reader.check().shouldBeInstanceOf<ReadOutcome.Unavailable>()
            table.readsWritesAgo = 0
            reader.check() shouldBe ReadOutcome.Found(2L)
            table.readsWritesAgo = 2
            reader.refresh() shouldBe ReadOutcome.Found(2L)
            reader.state.value.version shouldBe 2L
        }

        test("given a change whose hash does not fit, when it is followed, then it is refused") {
            val table = FakeTableService()
            log(table).propose(0, edit("one"), "me", "1")
            val other = log(FakeTableService())
            other.propose(0, edit("elsewhere"), "me", "1")
            val foreign = Change(2, "2", "me", 0, "0000", edit("two"))
            other.history.follow(encodeChange(foreign)).shouldBeInstanceOf<FollowOutcome.Broken>()
            other.history.follow("{}").shouldBeInstanceOf<FollowOutcome.Broken>()
        }
    })
