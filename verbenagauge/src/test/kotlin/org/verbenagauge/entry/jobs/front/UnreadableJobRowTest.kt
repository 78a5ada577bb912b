package org.verbenagauge.entry.jobs.front

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.jobs.MemoryRowStore
import org.verbenagauge.entry.jobs.engine.job
import org.verbenagauge.entry.jobs.engine.step
import org.verbenagauge.entry.jobs.model.JobState
import org.verbenagauge.entry.jobs.owner.StoredTables
import org.verbenagauge.entry.jobs.ports.RowChange
import org.verbenagauge.entry.jobs.ports.RowExpectation
import org.verbenagauge.entry.jobs.ports.RowStore
import org.verbenagauge.entry.jobs.ports.StoredRow
import org.verbenagauge.entry.jobs.ports.TransactionOutcome
import org.verbenagauge.entry.jobs.records.JobRecord
import org.verbenagauge.entry.jobs.records.RecordCodec
import org.verbenagauge.entry.jobs.records.RefusalRecord
import org.verbenagauge.entry.jobs.records.StateRecord
import org.verbenagauge.entry.logging.EventLog

private const val JOB = "00000000000000aa"
private val place = StoredTables.work(JOB)
private val key = StoredTables.jobKey(JOB)
private val jobRow = RecordCodec.encode(JobRecord.serializer(), job(step(1)))
private val refusalRow = RecordCodec.encode(RefusalRecord.serializer(), RefusalRecord(1))
private val unreadable = "?".encodeToByteArray()
private val completed = RecordCodec.encode(StateRecord.serializer(), StateRecord("q", JobState.COMPLETED, 0))

// Advances with each reading, so that a deadline passes without waiting for it.
private class LeapingClock : Clock {
    private var now = 0L

    override fun monotonicMillis(): Long {
        now += 40
        return now
    }

    override fun wallMillis(): Long = 0
}

private fun front(store: RowStore): JobFront {
    val clock = LeapingClock()
    return JobFront(store, StateCatalogue(store, clock, EventLog("a")), clock)
}

// Answers each conditional write with a conflict that shows [rows].
private class ConflictingStore(
    private val rows: List<StoredRow>,
) : RowStore by MemoryRowStore() {
    override suspend fun transact(
        expectations: List<RowExpectation>,
        changes: List<RowChange>,
        timeoutMillis: Long,
    ): TransactionOutcome = TransactionOutcome.Conflict(rows)
}

private class ConflictCase(
    val name: String,
    val rows: List<StoredRow>,
    val isAccepted: Boolean,
)

private fun conflict(
    name: String,
    value: ByteArray?,
    isAccepted: Boolean,
) = ConflictCase(name, listOf(StoredRow(place.table, key, value, 5)), isAccepted)

private class LookupCase(
    val name: String,
    val job: ByteArray?,
    val state: ByteArray?,
    val lookup: JobLookup?,
)

// Guards against the fault that a row that cannot be read, or that the store does not show, was taken for an accepted job or
// for no job.
class UnreadableJobRowTest :
    FunSpec({
        context("a write that finds another row in place of the job") {
            withData(
                nameFn = { it.name },
                conflict("is accepted if the row is the job", jobRow, true),
                conflict("is accepted if the job has ended", StoredTables.endedTombstone, true),
                conflict("is not settled if the row cannot be read", unreadable, false),
                conflict("is not settled if the row is empty", ByteArray(0), false),
                conflict("is not settled if the answer lacks the value", null, false),
                ConflictCase("is not settled if the answer lacks the row", emptyList(), false),
            ) { case ->
                val outcome = front(ConflictingStore(case.rows)).submit(JOB, job(step(1)), deadlineMillis = 400)
                val expected = if (case.isAccepted) SubmitOutcome.Accepted::class else SubmitOutcome.Unsettled::class
                outcome::class shouldBe expected
            }
        }

        context("a job whose rows are") {
            withData(
                nameFn = { it.name },
                LookupCase("none is unknown", null, null, JobLookup.Unknown),
                LookupCase("a refusal is unknown", refusalRow, null, JobLookup.Unknown),
                LookupCase("the job is queued", jobRow, null, JobLookup.Found(JobState.QUEUED)),
                LookupCase(
                    "the job and a state has that state",
                    jobRow,
                    completed,
                    JobLookup.Found(JobState.COMPLETED),
                ),
                LookupCase("a state has that state", null, completed, JobLookup.Found(JobState.COMPLETED)),
                LookupCase(
                    "an unreadable job and a state has it",
                    unreadable,
                    completed,
                    JobLookup.Found(JobState.COMPLETED),
                ),
                LookupCase("an unreadable job cannot be told", unreadable, null, null),
                LookupCase("the job and an unreadable state cannot be told", jobRow, unreadable, null),
                LookupCase("an ended job without its state cannot be told", StoredTables.endedTombstone, null, null),
                LookupCase("an unreadable state alone cannot be told", null, unreadable, null),
            ) { case ->
                val store = MemoryRowStore()
                val changes =
                    listOfNotNull(
                        case.job?.let { RowChange(place, key, it) },
                        case.state?.let { RowChange(StoredTables.states, StoredTables.stateKey(JOB), it) },
                    )
                store.transact(emptyList(), changes, 1)
                val lookup = front(store).lookup(JOB, 400)
                if (case.lookup == null) {
                    lookup::class shouldBe JobLookup.Unavailable::class
                    front(store).cancel(JOB, 400)::class shouldBe CancelOutcome.Unsettled::class
                } else {
                    lookup shouldBe case.lookup
                }
            }
        }
    })
