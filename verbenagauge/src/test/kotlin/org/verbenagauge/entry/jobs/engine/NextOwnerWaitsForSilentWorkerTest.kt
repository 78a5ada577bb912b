package org.verbenagauge.entry.jobs.engine

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import org.verbenagauge.entry.jobs.ports.ListingOutcome
import org.verbenagauge.entry.jobs.records.LeaseEndRecord
import org.verbenagauge.entry.jobs.records.RosterRecord

private const val JOB = "0000000000000001"
private const val STORE_MILLIS = 70_000L
private val lastBound = EngineLimits().takeoverLeaseMillis

private data class InheritedRow(
    val name: String,
    val startMillis: Long,
    val leaseEnd: LeaseEndRecord?,
    val sinceEpoch: Long = 1,
    val isListed: Boolean = false,
    val isStoreClockKnown: Boolean = true,
    val earlierLeasesEndMillis: Long? = null,
    val answersInPart: Boolean = false,
) {
    override fun toString() = name
}

private fun leaseEnd(
    afterMillis: Long,
    epoch: Long = 1,
    ordersEndAfterMillis: Long? = null,
) = LeaseEndRecord(epoch, STORE_MILLIS + afterMillis, ordersEndAfterMillis?.let { STORE_MILLIS + it })

/** Engine of a second owner, with a lasting job and the stored row of "w1", which is silent; "w2" has answered. */
private fun secondOwner(row: InheritedRow): JobEngine {
    val engine = JobEngine(epoch = 2, EngineLimits(), now = 0)
    engine.configure(configuration())
    engine.state.isWorkerListKnown = true
    engine.state.leaseEndsSinceEpoch = row.sinceEpoch
    engine.state.earlierLeasesEndMillis = row.earlierLeasesEndMillis?.let { STORE_MILLIS + it }
    if (row.isStoreClockKnown) engine.state.storeClock.record(StoreReading(STORE_MILLIS, -5, 0))
    val record = RosterRecord(SERVICE, "127.0.0.1", 1, BORN, "m1", setOf(QUEUE), row.leaseEnd)
    engine.restoreWorker("w1", record, now = 0)
    if (row.isListed) engine.upsertWorker(worker("w1"), now = 0)
    engine.addRecordedWorker(worker("w2"), now = 0)
    engine.handleListing("w2", listing(), sentAtMillis = 0, now = 0)
    if (row.answersInPart) engine.handleListing("w1", listing(hasAllEnds = false), 10, 20)
    engine.inherit(JOB, job(step(1, isLasting = true)), progress = null, acceptedAtMillis = 0, now = 0)
    return engine
}

private fun firstStartMillis(engine: JobEngine): Long {
    var now = 0L
    while (engine.decide(now, 0).starts().isEmpty()) {
        now += 50
        check(now < 20_000) { "the task does not start" }
        engine.handleListing("w2", listing(clockMillis = 1_000 + now), now - 5, now)
    }
    return now
}

/** Engine whose worker "w1" runs a task and has failed to answer since 1,000 ms; the store's clock was read since. */
private fun ownerOfSilentWorker(): JobEngine {
    val engine = readyEngine("w1")
    engine.accept(JOB, job(step(1, isLasting = true)), now = 0)
    val start = engine.decide(10, 0).starts().single()
    val run = running(start.order.taskId, start.order.runId)
    engine.handleListing("w1", listing(listOf(run)), 500, 510)
    engine.handleListing("w1", ListingOutcome.Failed("no answer"), 900, 1_000)
    engine.state.storeClock.record(StoreReading(STORE_MILLIS, 1_500, 1_504))
    engine.decide(1_700, 0)
    return engine
}

private fun JobEngine.answer(now: Long) {
    handleListing(
        "w1",
        listing(
            state.workers.getValue("w1").runs.values.map {
                running(it.taskId, it.runId)
            },
        ),
        now - 5,
        now,
    )
}

// Incident 011: what an owner knew of a silent worker was lost with its term.
class NextOwnerWaitsForSilentWorkerTest :
    FunSpec({
        context("an inherited lasting task starts as soon as the leases on a silent worker have ended") {
            withData(
                nameFn = { it.name },
                InheritedRow("as stored", 2_050, leaseEnd(2_000)),
                InheritedRow("ended before the takeover", 0, leaseEnd(-1)),
                InheritedRow("as stored, worker listed", 2_050, leaseEnd(2_000), isListed = true),
                InheritedRow(
                    "an order is open, worker not listed",
                    2_050,
                    leaseEnd(2_000, ordersEndAfterMillis = 4_000),
                ),
                InheritedRow(
                    "an order is open, worker listed",
                    4_050,
                    leaseEnd(2_000, ordersEndAfterMillis = 4_000),
                    isListed = true,
                ),
                InheritedRow("no end is stored", lastBound, leaseEnd = null),
                InheritedRow(
                    "no end is stored, but all leases end",
                    6_350,
                    leaseEnd = null,
                    earlierLeasesEndMillis = 6_300,
                ),
                InheritedRow("an earlier release was the owner since", lastBound, leaseEnd(2_000), sinceEpoch = 2),
                InheritedRow("the store's clock is not known", lastBound, leaseEnd(2_000), isStoreClockKnown = false),
            ) { row ->
                firstStartMillis(secondOwner(row)) shouldBeInRange row.startMillis..row.startMillis + 50
            }
        }

        test("the stored end of a worker is kept until the platform's list has been read") {
            val engine = secondOwner(InheritedRow("", 0, leaseEnd(-1)))
            engine.state.isWorkerListKnown = false
            engine.decide(10, 0).starts().shouldBeEmpty()
            engine.upsertWorker(worker("w1"), now = 20)
            engine.state.isWorkerListKnown = true
            engine.decide(20, 0).starts() shouldHaveSize 1
        }

        test("an owner that stops early stores the end of the leases on a worker that it has not heard") {
            val engine = secondOwner(InheritedRow("", 0, leaseEnd = null, earlierLeasesEndMillis = 6_300))
            val change = engine.rosterForNextOwner().first { it.workerId == "w1" }
            change.record?.leaseEnd shouldBe LeaseEndRecord(2, STORE_MILLIS + 6_300)
        }

        test("an owner that stops removes workers that hold nothing, also a silent one, and no others") {
            val engine = ownerOfSilentWorker()
            engine.addRecordedWorker(worker("w2"), now = 0)
            engine.handleListing("w2", listing(), sentAtMillis = 0, now = 0)
            engine.storeRoster()
            engine.rosterForNextOwner().map { it.workerId to (it.record == null) } shouldBe listOf("w2" to true)
        }

        test("a worker that answers in part is waited for, whatever end was stored") {
            val engine = secondOwner(InheritedRow("", 0, leaseEnd(-1), answersInPart = true))
            engine.decide(3_000, 0).starts().shouldBeEmpty()
        }

        test("the end of the leases on a silent worker is stored, and covers the last lease on the slowest clock") {
            val engine = ownerOfSilentWorker()
            val worker = engine.state.workers.getValue("w1")
            val leaseEnd =
                engine.state.roster
                    .leaseEndOf("w1")
                    .shouldNotBeNull()
            val leaseMillis = worker.leaseUntilWorkerMillis - 1_000
            leaseEnd.storeMillis shouldBeInRange STORE_MILLIS + leaseMillis - 1_000..STORE_MILLIS + lastBound
            (leaseEnd.storeMillis - STORE_MILLIS > (leaseMillis - 990) / SLOWEST_CLOCK_RATE) shouldBe true
            engine.state.roster
                .takeChanges(10)
                .single()
                .record
                ?.leaseEnd shouldBe leaseEnd
        }

        test("no end is stored before the store's clock was read after the last answer") {
            val engine = readyEngine("w1")
            engine.state.storeClock.record(StoreReading(STORE_MILLIS, 500, 504))
            engine.handleListing("w1", ListingOutcome.Failed("no answer"), 900, 1_000)
            engine.decide(1_700, 0)
            engine.state.roster
                .leaseEndOf("w1")
                .shouldBeNull()
        }

        test("a worker that answers again is granted nothing until the removal of the end is stored") {
            val engine = ownerOfSilentWorker()
            engine.storeRoster()
            engine.answer(1_800)
            engine.accept("0000000000000002", job(step(1)), now = 1_800)
            engine.renewal("w1", 1_000, isProven = true, now = 1_810)?.leaseUntilWorkerMillis.shouldBeNull()
            engine.decide(1_810, 0).starts().shouldBeEmpty()
            engine.mayGrant("w1") shouldBe false
            engine.storeRoster()
            engine.renewal("w1", 1_000, isProven = true, now = 1_820)?.leaseUntilWorkerMillis.shouldNotBeNull()
            engine.decide(1_820, 0).starts() shouldHaveSize 1
        }

        test("a worker that answers while the write of the end is in flight is granted nothing either") {
            val engine = ownerOfSilentWorker()
            val taken = engine.state.roster.takeChanges(10)
            engine.answer(1_800)
            engine.mayGrant("w1") shouldBe false
            engine.state.roster.confirmStored(taken)
            engine.mayGrant("w1") shouldBe false
            engine.storeRoster()
            engine.mayGrant("w1") shouldBe true
        }

        test("a worker whose end of leases the store rejects stays in use") {
            val engine = ownerOfSilentWorker()
            engine.state.roster
                .takeChanges(10)
                .forEach(engine.state.roster::recordRejected)
            engine.answer(1_800)
            engine.mayGrant("w1") shouldBe true
        }
    })
