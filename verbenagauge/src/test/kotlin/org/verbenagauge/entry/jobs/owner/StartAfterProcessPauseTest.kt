package org.verbenagauge.entry.jobs.owner

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runTest
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.jobs.MemoryRowStore
import org.verbenagauge.entry.jobs.StoreFault
import org.verbenagauge.entry.jobs.engine.EngineLimits
import org.verbenagauge.entry.jobs.engine.JobEngine
import org.verbenagauge.entry.jobs.engine.configuration
import org.verbenagauge.entry.jobs.engine.job
import org.verbenagauge.entry.jobs.engine.step
import org.verbenagauge.entry.jobs.ports.ReadResult
import org.verbenagauge.entry.jobs.ports.RowBatch
import org.verbenagauge.entry.jobs.ports.RowChange
import org.verbenagauge.entry.jobs.ports.RowFeed
import org.verbenagauge.entry.jobs.ports.RowStore
import org.verbenagauge.entry.jobs.records.OwnerRecord
import org.verbenagauge.entry.logging.Event
import org.verbenagauge.entry.logging.EventLog

private const val JOB = "0000000000000001"

/** Clock of a process that can be paused; the monotonic clock then either goes on or omits the pause. */
private class PausingClock(
    private val nowMillis: () -> Long,
) : Clock {
    var steadyOffsetMillis = 1_000L
    var wallOffsetMillis = 1_000L

    override fun monotonicMillis(): Long = nowMillis() + steadyOffsetMillis

    override fun wallMillis(): Long = nowMillis() + wallOffsetMillis
}

/** A store whose feeds return no changes. */
private class StoreWithoutChanges(
    val rows: MemoryRowStore,
) : RowStore by rows {
    override fun feed(table: String): RowFeed =
        object : RowFeed {
            override suspend fun changesAfter(
                version: Long,
                waitMillis: Long,
            ): ReadResult<RowBatch> {
                delay(waitMillis)
                return ReadResult.Read(RowBatch(emptyList(), version))
            }

            override fun close() = Unit
        }
}

private data class PauseCase(
    val name: String,
    val steadyMillis: Long,
    val wallMillis: Long,
    val starts: Int,
    val evacuated: Set<String> = emptySet(),
)

/** Runs one owner's term whose process is paused, as [case] says, right after it has decided on a start. */
@OptIn(ExperimentalCoroutinesApi::class)
private suspend fun TestScope.runTerm(case: PauseCase): SingleWorker {
    val clock = PausingClock { testScheduler.currentTime }
    val store = StoreWithoutChanges(MemoryRowStore())
    val record = OwnerRecord("a", epoch = 1, sequence = 0)
    val row = RowChange(StoredTables.states, StoredTables.OWNER_KEY, OwnerLease.encode(record))
    store.transact(emptyList(), listOf(row), 100)
    val lease = OwnerLease(store, clock, record, version = 1, clock.monotonicMillis())
    val engine = JobEngine(epoch = 1, EngineLimits(), clock.monotonicMillis())
    engine.configure(configuration())
    engine.inherit(JOB, job(step(1)), progress = null, acceptedAtMillis = 0, now = clock.monotonicMillis())
    val log =
        EventLog("a") { event ->
            if (event == Event.RUN_ORDERED) {
                clock.steadyOffsetMillis += case.steadyMillis
                clock.wallOffsetMillis += case.wallMillis
                engine.evacuate(case.evacuated, clock.monotonicMillis())
                repeat(REFUSED_WRITES) { store.rows.faults += StoreFault.REFUSED }
            }
        }
    val workers = SingleWorker()
    val ports = OwnerPorts(store, workers, advisor = null, workers, waves = null)
    val cleaner = EndedJobCleaner(store, clock)
    val term =
        OwnerTerm(
            ports,
            lease,
            engine,
            cleaner,
            ProgressRows(),
            workVersion = 1,
            clock,
            OwnerSettings(),
            log,
            broadcast = null,
        )
    val running = backgroundScope.launch { term.run() }
    advanceTimeBy(1_000)
    running.cancel()
    return workers
}

// More than the writes of one run.
private const val REFUSED_WRITES = 1_000

// Incident 003: the lease was checked when a start was decided on, not when it was sent.
class StartAfterProcessPauseTest :
    FunSpec({
        context("a start that was decided on before the process was paused") {
            withData(
                nameFn = { it.name },
                PauseCase("for an instant is sent", steadyMillis = 10, wallMillis = 10, starts = 1),
                PauseCase("for longer than the owner's lease is not sent", 2_000, 2_000, starts = 0),
                PauseCase("while its monotonic clock stopped as well is not sent", 0, 3_000, starts = 0),
                PauseCase("while its zone was evacuated is not sent", 10, 10, starts = 0, evacuated = setOf("z")),
                PauseCase("while another zone was evacuated is sent", 10, 10, starts = 1, evacuated = setOf("y")),
            ) { case ->
                runTest {
                    runTerm(case).starts.size shouldBe case.starts
                }
            }
        }
    })
