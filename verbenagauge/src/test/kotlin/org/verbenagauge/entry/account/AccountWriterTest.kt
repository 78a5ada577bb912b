package org.verbenagauge.entry.account

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.yield
import org.verbenagauge.entry.logging.EventLog
import org.verbenagauge.entry.model.PeerId
import org.verbenagauge.entry.state.store.ObjectStore
import org.verbenagauge.entry.state.store.ReadOutcome
import org.verbenagauge.entry.state.store.WriteOutcome
import org.verbenagauge.fake.FakeClock
import org.verbenagauge.fake.FakeObjectStore
import org.verbenagauge.fake.FakePeerHub

private const val ENTRIES = 3
private const val TICK_MILLIS = 100L
private const val MAX_PENDING_BYTES = 20_000L

/** Object store that stores and then loses every answer. */
private class LosesAnswers(
    private val inner: ObjectStore,
) : ObjectStore by inner {
    override suspend fun putIfAbsent(
        name: String,
        content: ByteArray,
    ): WriteOutcome =
        when (val outcome = inner.putIfAbsent(name, content)) {
            is WriteOutcome.Applied -> WriteOutcome.Unknown("lost")
            else -> outcome
        }
}

private class StoreSegments(
    private val store: ObjectStore,
) : SegmentSource {
    override suspend fun names(): List<String> = (store.list(ACCOUNT_PREFIX, "", 100_000) as ReadOutcome.Found).value

    override suspend fun read(name: String): ByteArray? = (store.get(name) as ReadOutcome.Found).value
}

/** Three entries in three availability zones over one object store. */
private class AccountFleet(
    val store: FakeObjectStore = FakeObjectStore(),
    seenByEntries: ObjectStore = store,
) {
    val clock = FakeClock()
    val hub = FakePeerHub()
    val ids = List(ENTRIES) { PeerId("entry-$it", it + 1L) }
    val writers =
        ids
            .map { id ->
                AccountWriter(
                    objects = seenByEntries,
                    network = hub.join(id),
                    zoneId = zoneOf(id),
                    zoneOf = ::zoneOf,
                    clock = clock,
                    log = EventLog(id.entryId),
                    backlogLimits = BacklogLimits(maxPendingBytes = MAX_PENDING_BYTES),
                )
            }.toMutableList()
    private var number = 0

    suspend fun run(
        millis: Long,
        requestsPerTick: Int = 1,
        teamId: String? = "growers",
    ) = repeat((millis / TICK_MILLIS).toInt()) {
        clock.advance(TICK_MILLIS)
        writers.forEach { writer ->
            repeat(requestsPerTick) { writer.answered(jobRecord(number++, teamId)) }
            writer.tick()
            while (writer.uploadNext()) Unit
        }
        hub.deliverAll()
    }

    suspend fun closeAll() = writers.forEach { close(it) }

    suspend fun close(writer: AccountWriter) =
        coroutineScope {
            val closing = launch { writer.close(clock.nowMillis + 1) }
            while (closing.isActive) {
                hub.deliverAll()
                yield()
            }
        }

    suspend fun verify() = verifyAccount(StoreSegments(store))

    private fun zoneOf(id: PeerId) = "zone-${id.entryId}"
}

class AccountWriterTest :
    FunSpec({
        test("given entries that stop as planned, when the account is verified, then it is whole and closed") {
            val fleet = AccountFleet()
            fleet.run(millis = 10_000)
            fleet.closeAll()
            val report = fleet.verify()
            report.findings.shouldBeEmpty()
            report.chains.sumOf { it.answered } shouldBe ENTRIES * 100L
            report.chains.all { it.closed } shouldBe true
        }

        test("given a store that loses every answer, when segments are read back, then each is stored once") {
            val store = FakeObjectStore()
            val fleet = AccountFleet(store, LosesAnswers(store))
            fleet.run(millis = 20_000)
            fleet.writers.sumOf { it.status().pendingSegments } shouldBe 0
            fleet.verify().findings.shouldBeEmpty()
        }

        test("given a store that is down, when an entry crashes, then a peer stores its segments later") {
            val fleet = AccountFleet()
            fleet.run(millis = 5_000)
            fleet.store.down = true
            fleet.run(millis = 15_000)
            val crashed = fleet.writers.removeAt(0)
            val pending = crashed.status().pendingSegments
            fleet.hub.leave(fleet.ids[0])
            fleet.store.down = false
            fleet.run(millis = 70_000)
            val report = fleet.verify()
            val chain = report.chains.first { it.chain.entryId == "entry-0" }
            chain.closed shouldBe false
            (pending > 0) shouldBe true
            (crashed.status().records - chain.records) shouldBeLessThanOrEqual 120
            report.findings.map { it.kind }.toSet() shouldBe setOf(FindingKind.MISSING_TAIL)
        }

        test(
            "given a store that is down and entries that stop one after another, when it is back, then nothing is lost",
        ) {
            val fleet = AccountFleet()
            fleet.store.down = true
            fleet.run(millis = 15_000)
            repeat(ENTRIES - 1) { index ->
                val stopping = fleet.writers.removeAt(0)
                fleet.close(stopping)
                fleet.hub.leave(fleet.ids[index])
            }
            fleet.store.down = false
            fleet.run(millis = 130_000)
            fleet.closeAll()
            val report = fleet.verify()
            report.findings.shouldBeEmpty()
            report.chains.all { it.closed } shouldBe true
        }

        test("given no room, when requests arrive, then they are counted by outcome and memory stays bounded") {
            val fleet = AccountFleet()
            fleet.store.down = true
            fleet.run(millis = 200_000, requestsPerTick = 20)
            fleet.writers.forEach { it.status().pendingBytes shouldBeLessThanOrEqual MAX_PENDING_BYTES + 30_000 }
            fleet.store.down = false
            fleet.run(millis = 30_000, requestsPerTick = 20)
            fleet.closeAll()
            val report = fleet.verify()
            report.findings.shouldBeEmpty()
            report.chains.all { it.counted > 0 } shouldBe true
            report.chains.sumOf { it.answered + it.counted } shouldBe ENTRIES * 2_300L * 20
        }

        test("given little room, when requests without a team arrive, then they are counted and teams are recorded") {
            val fleet = AccountFleet()
            fleet.store.down = true
            fleet.run(millis = 60_000, requestsPerTick = 20, teamId = null)
            val bytesBefore = fleet.writers[0].status().pendingBytes
            fleet.run(millis = 20_000, requestsPerTick = 50, teamId = null)
            (fleet.writers[0].status().counted > 0) shouldBe true
            (fleet.writers[0].status().pendingBytes - bytesBefore) shouldBeLessThanOrEqual 3_000L
        }

        test("given an object that somebody else wrote, when the entry uploads, then both are kept and it is found") {
            val fleet = AccountFleet()
            val name = segmentName(chainOf(fleet.ids[0]), 0)
            fleet.store.putIfAbsent(name, "forged".encodeToByteArray())
            fleet.run(millis = 5_000)
            val kinds = fleet.verify().findings.map { it.kind }
            kinds shouldContain FindingKind.UNREADABLE
            kinds shouldContain FindingKind.FOREIGN
        }
    })
