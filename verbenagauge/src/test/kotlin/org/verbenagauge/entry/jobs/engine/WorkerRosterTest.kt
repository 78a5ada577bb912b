package org.verbenagauge.entry.jobs.engine

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import org.verbenagauge.entry.jobs.records.RosterRecord

private const val OTHER_QUEUE = "reports"
private val entry = WorkerEntry(worker("w1"), seenAtMillis = 0)

/** A roster together with the rows that it has stored. */
private class StoredRoster {
    val roster = WorkerRoster()
    val rows = HashMap<String, RosterRecord>()
    private var inFlight = emptyList<RosterChange>()

    fun send() {
        inFlight = roster.takeChanges(Int.MAX_VALUE)
    }

    fun confirm() {
        inFlight.forEach { (id, record) -> if (record == null) rows.remove(id) else rows[id] = record }
        roster.confirmStored(inFlight)
    }

    fun write() {
        send()
        confirm()
    }
}

private data class RosterCase(
    val name: String,
    val prepare: (StoredRoster) -> Unit,
)

class WorkerRosterTest :
    FunSpec({
        context("a worker may hold tasks of a queue only if its stored row names the queue, and keeps naming it") {
            withData(
                nameFn = { it.name },
                RosterCase("a new worker") { },
                RosterCase("a row whose write is in flight") {
                    it.roster.ensureRecorded(entry, QUEUE).also { _ ->
                        it.send()
                    }
                },
                RosterCase("a row that names another queue") {
                    it.roster.ensureRecorded(entry, OTHER_QUEUE)
                    it.write()
                },
                RosterCase("a worker that was removed and returns before its row is deleted") {
                    it.roster.ensureRecorded(entry, QUEUE)
                    it.write()
                    it.roster.remove("w1")
                },
                RosterCase("a worker that returns while the deletion of its row is in flight") {
                    it.roster.ensureRecorded(entry, QUEUE)
                    it.write()
                    it.roster.remove("w1")
                    it.send()
                },
                RosterCase("a worker that was removed while the write of its row was in flight") {
                    it.roster.ensureRecorded(entry, QUEUE)
                    it.send()
                    it.roster.remove("w1")
                    it.confirm()
                },
                RosterCase("a worker at another address") {
                    val elsewhere = worker("w1").copy(address = worker("w1").address.copy(port = 2))
                    it.roster.ensureRecorded(WorkerEntry(elsewhere, 0), QUEUE)
                    it.write()
                },
            ) { case ->
                val stored = StoredRoster()
                case.prepare(stored)
                repeat(3) {
                    val mayHold = stored.roster.ensureRecorded(entry, QUEUE)
                    if (mayHold) stored.write()
                    val row = stored.rows["w1"]
                    if (mayHold) row?.queueNames?.contains(QUEUE) shouldBe true
                    if (mayHold) row?.port shouldBe 1
                    stored.confirm()
                    stored.write()
                }
                stored.roster.ensureRecorded(entry, QUEUE) shouldBe true
            }
        }

        test("the row of a removed worker is deleted") {
            val stored = StoredRoster()
            stored.roster.ensureRecorded(entry, QUEUE)
            stored.write()
            stored.roster.remove("w1")
            stored.write()
            stored.rows shouldBe emptyMap()
            stored.roster.hasChanges shouldBe false
        }
    })
