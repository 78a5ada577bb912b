package org.verbenagauge.entry.jobs.owner

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runTest
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.jobs.MemoryRowStore
import org.verbenagauge.entry.jobs.StoreFault
import org.verbenagauge.entry.jobs.engine.JobEngine
import org.verbenagauge.entry.jobs.engine.job
import org.verbenagauge.entry.jobs.engine.readyEngine
import org.verbenagauge.entry.jobs.engine.starts
import org.verbenagauge.entry.jobs.engine.step
import org.verbenagauge.entry.jobs.front.CancelOutcome
import org.verbenagauge.entry.jobs.front.JobFront
import org.verbenagauge.entry.jobs.front.StateCatalogue
import org.verbenagauge.entry.jobs.model.JobState
import org.verbenagauge.entry.jobs.records.JobRecord
import org.verbenagauge.entry.jobs.records.RecordCodec
import org.verbenagauge.entry.jobs.records.RefusalRecord
import org.verbenagauge.entry.logging.EventLog

private const val JOB = "00000000000000aa"
private val place = StoredTables.work(JOB)
private val jobRow = RecordCodec.encode(JobRecord.serializer(), job(step(2)))
private val refusalRow = RecordCodec.encode(RefusalRecord.serializer(), RefusalRecord(1))

private fun TestScope.clock() =
    object : Clock {
        // Advances with each reading, so that a deadline passes without waiting for it.
        private var readings = 0L

        override fun monotonicMillis() = testScheduler.currentTime + 10_000 + readings++

        override fun wallMillis() = testScheduler.currentTime + 10_000
    }

private class Rig(
    scope: TestScope,
) {
    val clock = scope.clock()
    val store = MemoryRowStore()
    val front = JobFront(store, StateCatalogue(store, clock, EventLog("a") {}), clock)
    val cleaner = EndedJobCleaner(store, clock)
    val engine = readyEngine("w1")

    init {
        cleaner.onCancellationRemoved = engine.state::forgetEarlyCancellation
    }

    suspend fun cancel(jobId: String = JOB) = front.cancel(jobId, clock.monotonicMillis() + 300)

    /** Loads what is stored into [engine], as a new owner does. */
    suspend fun load() {
        StoredStateLoader(store, clock, EventLog("a") {}).read(engine, cleaner, ProgressRows())
    }

    fun hasCancellation() = store.row(place, StoredTables.cancelKey(JOB)) != null
}

private data class LateCase(
    val name: String,
    val deliver: suspend (Rig) -> Unit,
)

private data class AnswerCase(
    val name: String,
    val faults: List<StoreFault>,
    val row: ByteArray?,
    val outcome: Class<out CancelOutcome>,
)

private fun JobEngine.finalState() = state.takeChanges(10).single { it.jobId == JOB }.state

@OptIn(ExperimentalCoroutinesApi::class)
class CancelledBeforeStoredTest :
    FunSpec({
        // Guards against jobs that run after their cancel was answered, since the store carried out their write late.
        context("a job that is stored after its cancel was answered starts nothing and is shown as cancelled") {
            withData(
                nameFn = { it.name },
                LateCase("a new owner loads both") { rig ->
                    rig.store.put(place, StoredTables.jobKey(JOB), jobRow)
                    rig.load()
                },
                LateCase("an owner loads the cancel, and the job is stored then") { rig ->
                    rig.load()
                    rig.engine.accept(JOB, job(step(2)), now = 9_000)
                },
                LateCase("the owner reads the cancel from its feed, and the job is stored then") { rig ->
                    rig.engine.cancel(JOB, now = 10)
                    rig.engine.accept(JOB, job(step(2)), now = 9_000)
                },
                LateCase("the owner changes between the cancel and the job") { rig ->
                    readyEngine("w1").cancel(JOB, now = 10)
                    rig.load()
                    rig.engine.accept(JOB, job(step(2)), now = 9_000)
                },
            ) { case ->
                runTest {
                    val rig = Rig(this)
                    rig.cancel() shouldBe CancelOutcome.Unknown
                    case.deliver(rig)
                    rig.engine.decide(20_000, 0).starts() shouldBe emptyList()
                    rig.engine.finalState() shouldBe JobState.CANCELLED
                }
            }
        }

        context("the cancel of a job that is not stored is answered only after it is stored") {
            withData(
                nameFn = { it.name },
                AnswerCase("stored at once", emptyList(), null, CancelOutcome.Unknown::class.java),
                AnswerCase("the job was refused", emptyList(), refusalRow, CancelOutcome.Unknown::class.java),
                AnswerCase("an answer is lost", listOf(StoreFault.CALL_LOST), null, CancelOutcome.Unknown::class.java),
                AnswerCase(
                    "the store refuses",
                    List(100) { StoreFault.REFUSED },
                    null,
                    CancelOutcome.Unsettled::class.java,
                ),
                AnswerCase("no answer", List(100) { StoreFault.CALL_LOST }, null, CancelOutcome.Unsettled::class.java),
            ) { case ->
                runTest {
                    val rig = Rig(this)
                    case.row?.let { rig.store.put(place, StoredTables.jobKey(JOB), it) }
                    rig.store.faults += case.faults
                    rig.cancel()::class.java shouldBe case.outcome
                    rig.hasCancellation() shouldBe (case.outcome == CancelOutcome.Unknown::class.java)
                }
            }
        }

        context("a cancel without a job is removed when no write of the job can be in flight any more") {
            withData(nameFn = { "read by ${if (it) "a new owner" else "the owner"}" }, true, false) { isLoaded ->
                runTest {
                    val rig = Rig(this)
                    rig.cancel()
                    val version = checkNotNull(rig.store.row(place, StoredTables.cancelKey(JOB))).version
                    if (isLoaded) rig.load() else rig.cleaner.recordUnusedCancellation(JOB, version)
                    backgroundScope.launch { rig.cleaner.run() }
                    advanceTimeBy(170_000)
                    rig.hasCancellation() shouldBe true
                    advanceTimeBy(20_000)
                    rig.hasCancellation() shouldBe false
                    rig.engine.state.earlyCancellations shouldBe emptySet()
                }
            }
        }

        test("a cancel that was stored again meanwhile is not removed") {
            runTest {
                val rig = Rig(this)
                rig.cancel()
                rig.load()
                rig.store.put(place, StoredTables.cancelKey(JOB), byteArrayOf(1))
                backgroundScope.launch { rig.cleaner.run() }
                advanceTimeBy(190_000)
                rig.hasCancellation() shouldBe true
            }
        }

        test("cancels of jobs that are not stored are bounded, and one too many is not answered as done") {
            runTest {
                val rig = Rig(this)
                repeat(1_000) { rig.cancel("job-$it") shouldBe CancelOutcome.Unknown }
                rig.cancel()::class shouldBe CancelOutcome.Unsettled::class
                rig.hasCancellation() shouldBe false
                rig.store.put(place, StoredTables.jobKey(JOB), jobRow)
                rig.cancel() shouldBe CancelOutcome.Cancelled
                advanceTimeBy(180_000)
                rig.cancel("other") shouldBe CancelOutcome.Unknown
            }
        }
    })
