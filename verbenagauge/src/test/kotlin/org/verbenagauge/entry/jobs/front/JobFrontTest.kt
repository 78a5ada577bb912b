package org.verbenagauge.entry.jobs.front

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.clock.systemClock
import org.verbenagauge.entry.jobs.MemoryRowStore
import org.verbenagauge.entry.jobs.StoreFault
import org.verbenagauge.entry.jobs.engine.configuration
import org.verbenagauge.entry.jobs.engine.job
import org.verbenagauge.entry.jobs.engine.step
import org.verbenagauge.entry.jobs.model.JobState
import org.verbenagauge.entry.jobs.owner.StoredTables
import org.verbenagauge.entry.jobs.ports.RowChange
import org.verbenagauge.entry.jobs.records.JobRecord
import org.verbenagauge.entry.jobs.records.RecordCodec
import org.verbenagauge.entry.jobs.records.StateRecord
import org.verbenagauge.entry.jobs.records.acceptedQueue
import org.verbenagauge.entry.logging.EventLog

private const val JOB = "00000000000000aa"

// Advances by 40 ms with each reading, so that a deadline passes without waiting for it.
private class AdvancingClock : Clock {
    private var now = 0L

    override fun monotonicMillis(): Long {
        now += 40
        return now
    }

    override fun wallMillis(): Long = 0
}

private fun front(store: MemoryRowStore): JobFront {
    val clock = AdvancingClock()
    return JobFront(store, StateCatalogue(store, clock, EventLog("a")), clock)
}

private data class SubmitCase(
    val name: String,
    val faults: List<StoreFault>,
    val outcome: Class<out SubmitOutcome>,
    val isStored: Boolean,
)

private val forever = List(1_000) { StoreFault.CALL_LOST }

class JobFrontTest :
    FunSpec({
        context("submitting a job") {
            withData(
                nameFn = { it.name },
                SubmitCase("stored", emptyList(), SubmitOutcome.Accepted::class.java, isStored = true),
                SubmitCase(
                    "the answer was lost",
                    listOf(StoreFault.ANSWER_LOST),
                    SubmitOutcome.Accepted::class.java,
                    isStored = true,
                ),
                SubmitCase(
                    "the store refused twice, so the job is certainly not stored",
                    listOf(StoreFault.REFUSED, StoreFault.REFUSED),
                    SubmitOutcome.Refused::class.java,
                    isStored = false,
                ),
                SubmitCase(
                    "the store refused after a lost call, so the job may still be stored",
                    listOf(StoreFault.CALL_LOST) + List(1_000) { StoreFault.REFUSED },
                    SubmitOutcome.Unsettled::class.java,
                    isStored = false,
                ),
                SubmitCase("the store never answered", forever, SubmitOutcome.Unsettled::class.java, isStored = false),
            ) { case ->
                val store = MemoryRowStore()
                store.faults += case.faults
                val outcome = front(store).submit(JOB, job(step(1)), deadlineMillis = 200)
                outcome.javaClass shouldBe case.outcome
                (store.row(StoredTables.work(JOB), StoredTables.jobKey(JOB)) != null) shouldBe case.isStored
            }
        }

        test("an id denotes the same job after the job has ended and a tombstone has replaced its row") {
            val store = MemoryRowStore()
            val ended = RecordCodec.encode(StateRecord.serializer(), StateRecord("q", JobState.COMPLETED, 0))
            store.transact(emptyList(), listOf(RowChange(StoredTables.states, StoredTables.stateKey(JOB), ended)), 1)
            val tombstone = RowChange(StoredTables.work(JOB), StoredTables.jobKey(JOB), StoredTables.endedTombstone)
            store.transact(emptyList(), listOf(tombstone), 1)
            front(store).submit(JOB, job(step(1)), deadlineMillis = 200) shouldBe SubmitOutcome.Accepted
            store.row(StoredTables.work(JOB), StoredTables.jobKey(JOB))?.value shouldBe StoredTables.endedTombstone
            front(store).lookup(JOB, 200) shouldBe JobLookup.Found(JobState.COMPLETED)
        }

        // Guards against the refusal of jobs that earlier releases accepted.
        test("a job that exceeds the longest row only with the settings of its queue is stored without them") {
            val record = job(step(1))
            val bytes = RecordCodec.encode(JobRecord.serializer(), record).size
            val store = MemoryRowStore(maxRowBytes = bytes)
            val queue = acceptedQueue(configuration().queues.single(), configurationVersion = 1)
            front(store).submit(JOB, record.copy(acceptedQueue = queue), deadlineMillis = 1_000) shouldBe
                SubmitOutcome.Accepted
            val row = store.row(StoredTables.work(JOB), StoredTables.jobKey(JOB))?.value
            RecordCodec.decode(JobRecord.serializer(), checkNotNull(row)) shouldBe record
        }

        test("a job that was never submitted is unknown, but only if the store has answered") {
            val store = MemoryRowStore()
            front(store).lookup(JOB, 200) shouldBe JobLookup.Unknown
            front(store).cancel(JOB, 200) shouldBe CancelOutcome.Unknown
            store.isReadable = false
            front(store).lookup(JOB, 200)::class shouldBe JobLookup.Unavailable::class
            front(store).cancel(JOB, 200)::class shouldBe CancelOutcome.Unsettled::class
        }

        test("a cancellation is confirmed only after it is stored") {
            val store = MemoryRowStore()
            val front = JobFront(store, StateCatalogue(store, systemClock(), EventLog("a")), AdvancingClock())
            front.submit(JOB, job(step(1)), 200)
            store.faults += List(1_000) { StoreFault.REFUSED }
            front.cancel(JOB, 400)::class shouldBe CancelOutcome.Unsettled::class
            store.faults.clear()
            front.cancel(JOB, 10_000) shouldBe CancelOutcome.Cancelled
            (store.row(StoredTables.work(JOB), StoredTables.cancelKey(JOB)) != null) shouldBe true
        }
    })
