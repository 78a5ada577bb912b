package org.verbenagauge.entry.jobs.owner

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.jobs.MemoryRowStore
import org.verbenagauge.entry.jobs.StoreFault
import org.verbenagauge.entry.jobs.ports.RowChange
import org.verbenagauge.entry.jobs.ports.RowExpectation
import org.verbenagauge.entry.jobs.records.OwnerFigures
import org.verbenagauge.entry.jobs.records.OwnerRecord

private class StepClock : Clock {
    var now = 1_000L

    override fun monotonicMillis(): Long = now

    override fun wallMillis(): Long = now
}

private data class WriteCase(
    val name: String,
    val faults: List<StoreFault>,
    val attempts: Int,
)

private suspend fun lease(
    store: MemoryRowStore,
    clock: Clock,
): OwnerLease {
    val record = OwnerRecord("a", epoch = 1, sequence = 0)
    val row = RowChange(StoredTables.states, StoredTables.OWNER_KEY, OwnerLease.encode(record))
    store.transact(emptyList(), listOf(row), 100)
    val version = checkNotNull(store.row(StoredTables.states, StoredTables.OWNER_KEY)).version
    return OwnerLease(store, clock, record, version, clock.monotonicMillis())
}

class OwnerLeaseTest :
    FunSpec({
        context("a write is settled by retrying the same write") {
            withData(
                nameFn = { it.name },
                WriteCase("at once", emptyList(), 1),
                WriteCase("after a refusal", listOf(StoreFault.REFUSED), 2),
                WriteCase("after a lost call", listOf(StoreFault.CALL_LOST), 2),
                WriteCase("after a lost answer", listOf(StoreFault.ANSWER_LOST), 2),
                WriteCase("after two lost answers", listOf(StoreFault.ANSWER_LOST, StoreFault.CALL_LOST), 3),
            ) { case ->
                val store = MemoryRowStore()
                val clock = StepClock()
                val lease = lease(store, clock)
                store.faults += case.faults
                lease.begin(listOf(RowChange(StoredTables.progress, "j", byteArrayOf(7))), OwnerFigures())
                var attempts = 0
                do {
                    attempts++
                    clock.now += 10
                    val outcome = lease.attempt(100)
                } while (outcome is ChainOutcome.Unconfirmed)
                attempts shouldBe case.attempts
                lease.record.sequence shouldBe 1
                store.row(StoredTables.progress, "j")?.value shouldBe byteArrayOf(7)
            }
        }

        test("a write whose answer was lost renews the lease from its first attempt only") {
            val store = MemoryRowStore()
            val clock = StepClock()
            val lease = lease(store, clock)
            store.faults += StoreFault.ANSWER_LOST
            lease.begin(emptyList(), OwnerFigures())
            clock.now = 2_000
            lease.attempt(100)
            clock.now = 2_500
            lease.attempt(100) shouldBe ChainOutcome.Stored
            lease.confirmedSentAtMillis shouldBe 2_000
        }

        test("a row tells the age of its counts until the owner releases it") {
            val store = MemoryRowStore()
            val lease = lease(store, StepClock())
            lease.begin(emptyList(), OwnerFigures(mapOf("q" to 16), pendingAgeMillis = 7, omitsPending = true))
            lease.settle()
            lease.record.pendingAgeMillis shouldBe 7
            lease.record.omitsPending shouldBe true
            lease.release()
            lease.record.pendingByQueue shouldBe mapOf("q" to 16)
            lease.record.pendingAgeMillis shouldBe null
        }

        test("after a takeover, no write of the old owner is stored") {
            val store = MemoryRowStore()
            val lease = lease(store, StepClock())
            val version = checkNotNull(store.row(StoredTables.states, StoredTables.OWNER_KEY)).version
            val other = OwnerLease.encode(OwnerRecord("b", epoch = 2, sequence = 0))
            store.transact(
                listOf(RowExpectation(StoredTables.states, StoredTables.OWNER_KEY, version)),
                listOf(RowChange(StoredTables.states, StoredTables.OWNER_KEY, other)),
                100,
            )
            lease.begin(listOf(RowChange(StoredTables.progress, "j", byteArrayOf(7))), OwnerFigures())
            lease
                .attempt(100)
                .shouldBeInstanceOf<ChainOutcome.Lost>()
                .to
                ?.entryId shouldBe "b"
            store.row(StoredTables.progress, "j") shouldBe null
        }
    })
