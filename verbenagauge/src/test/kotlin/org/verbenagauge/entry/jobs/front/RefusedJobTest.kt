package org.verbenagauge.entry.jobs.front

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.jobs.MemoryRowStore
import org.verbenagauge.entry.jobs.StoreFault
import org.verbenagauge.entry.jobs.engine.job
import org.verbenagauge.entry.jobs.engine.step
import org.verbenagauge.entry.jobs.owner.StoredTables
import org.verbenagauge.entry.jobs.ports.RowChange
import org.verbenagauge.entry.jobs.ports.RowExpectation
import org.verbenagauge.entry.jobs.ports.RowStore
import org.verbenagauge.entry.jobs.ports.TransactionOutcome
import org.verbenagauge.entry.jobs.records.JobRecord
import org.verbenagauge.entry.jobs.records.RecordCodec
import org.verbenagauge.entry.load.AdmissionDecision
import org.verbenagauge.entry.logging.EventLog

private const val JOB = "00000000000000aa"
private val refusal = AdmissionDecision.Refuse(true, 9_000, 8_000, 300, 2_000)
private val refuse: (Int) -> AdmissionDecision = { refusal }
private val accept: (Int) -> AdmissionDecision = { AdmissionDecision.Accept }
private val place = StoredTables.work(JOB)
private val key = StoredTables.jobKey(JOB)
private val specification = job(step(1))

private class SteppedClock : Clock {
    var now = 10_000L

    override fun monotonicMillis(): Long {
        now += 10
        return now
    }

    override fun wallMillis(): Long = 0
}

/** Delays the next transaction if [delaysNext]: its outcome is unknown to the caller, and [deliver] carries it out. */
private class DelayingStore(
    private val inner: MemoryRowStore,
) : RowStore by inner {
    var delaysNext = false
    private var delayed: (suspend () -> Unit)? = null

    override suspend fun transact(
        expectations: List<RowExpectation>,
        changes: List<RowChange>,
        timeoutMillis: Long,
    ): TransactionOutcome {
        if (!delaysNext) return inner.transact(expectations, changes, timeoutMillis)
        delaysNext = false
        delayed = { inner.transact(expectations, changes, timeoutMillis) }
        return TransactionOutcome.Unknown("delayed")
    }

    suspend fun deliver() {
        delayed?.invoke()
        delayed = null
    }
}

private class Entry(
    store: RowStore,
) {
    val clock = SteppedClock()
    val catalogue = StateCatalogue(store, clock, EventLog("a"))
    private val front = JobFront(store, catalogue, clock)

    suspend fun submit(
        waitMillis: Long = 1_000,
        decide: (Int) -> AdmissionDecision,
    ) = front.submit(JOB, specification, clock.now + waitMillis, decide)

    suspend fun lookup() = front.lookup(JOB, clock.now + 1_000)

    fun recordSettledVersion(version: Long) {
        catalogue.recordVersion(version)
        clock.now += 1_000
    }
}

private fun MemoryRowStore.containsJob() =
    row(place, key)?.value?.let { RecordCodec.decode(JobRecord.serializer(), it) } != null

private data class RefusalCase(
    val name: String,
    val faults: List<StoreFault>,
    val outcome: Class<out SubmitOutcome>,
)

class RefusedJobTest :
    FunSpec({
        context("a refusal is reported only after the refusal record is stored") {
            withData(
                nameFn = { it.name },
                RefusalCase("stored at once", emptyList(), SubmitOutcome.TurnedAway::class.java),
                RefusalCase(
                    "the answer was lost",
                    listOf(StoreFault.ANSWER_LOST),
                    SubmitOutcome.TurnedAway::class.java,
                ),
                RefusalCase("the call was lost", listOf(StoreFault.CALL_LOST), SubmitOutcome.TurnedAway::class.java),
                RefusalCase("the store refuses", List(100) { StoreFault.REFUSED }, SubmitOutcome.Unsettled::class.java),
                RefusalCase(
                    "the store never answers",
                    List(100) { StoreFault.CALL_LOST },
                    SubmitOutcome.Unsettled::class.java,
                ),
            ) { case ->
                val store = MemoryRowStore()
                store.faults += case.faults
                Entry(store).submit(decide = refuse)::class.java shouldBe case.outcome
                store.containsJob() shouldBe false
            }
        }

        test("a retry of an attempt that was stored, but whose answer was lost, is accepted and not refused") {
            val store = MemoryRowStore()
            Entry(store).submit(decide = accept)
            Entry(store).submit(decide = refuse) shouldBe SubmitOutcome.Accepted
            store.containsJob() shouldBe true
        }

        test("a first attempt that reaches the store after the second one was refused is never stored") {
            val memory = MemoryRowStore()
            val slow = DelayingStore(memory).apply { delaysNext = true }
            Entry(slow).submit(waitMillis = 40, decide = accept)::class shouldBe SubmitOutcome.Unsettled::class
            Entry(memory).submit(decide = refuse) shouldBe SubmitOutcome.TurnedAway(refusal)
            slow.deliver()
            memory.containsJob() shouldBe false
        }

        test(
            "after a pause, an entry does not replace a refusal record newer than a call that waited in its sockets",
        ) {
            val store = MemoryRowStore()
            val paused = Entry(store)
            Entry(store).submit(decide = refuse)
            // The entry reads the newer store version just before it handles the waiting call.
            paused.catalogue.recordVersion(checkNotNull(store.row(place, key)).version)
            paused.submit(decide = accept)::class shouldBe SubmitOutcome.TurnedAway::class
            store.containsJob() shouldBe false
        }

        test("a retry after a refusal is decided with the number of earlier refusals, and its job is stored") {
            val store = MemoryRowStore()
            Entry(store).submit(decide = refuse)
            val other = Entry(store)
            other.recordSettledVersion(checkNotNull(store.row(place, key)).version)
            other.submit { refusals -> if (refusals == 0) refusal else AdmissionDecision.Accept } shouldBe
                SubmitOutcome.Accepted
            store.containsJob() shouldBe true
        }

        test("a second refusal prevents a retry that came before it from being stored later") {
            val memory = MemoryRowStore()
            val slow = DelayingStore(memory)
            Entry(memory).submit(decide = refuse)
            val version = checkNotNull(memory.row(place, key)).version
            // The first transaction finds the refusal record, the second one is delayed.
            val retrying = Entry(slow).apply { recordSettledVersion(version) }
            var calls = 0
            retrying.submit(waitMillis = 60) {
                slow.delaysNext = ++calls == 2
                AdmissionDecision.Accept
            }
            val refusing = Entry(memory).apply { recordSettledVersion(version) }
            refusing.submit(decide = refuse)::class shouldBe SubmitOutcome.TurnedAway::class
            slow.deliver()
            memory.containsJob() shouldBe false
        }

        test("looking up a refused job reports it as unknown") {
            val store = MemoryRowStore()
            val entry = Entry(store)
            entry.submit(decide = refuse)
            entry.lookup() shouldBe JobLookup.Unknown
        }
    })
