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
import org.verbenagauge.entry.jobs.engine.EngineLimits
import org.verbenagauge.entry.jobs.engine.configuration
import org.verbenagauge.entry.jobs.engine.job
import org.verbenagauge.entry.jobs.engine.step
import org.verbenagauge.entry.jobs.front.StateCatalogue
import org.verbenagauge.entry.jobs.ports.ReadResult
import org.verbenagauge.entry.jobs.ports.RowBatch
import org.verbenagauge.entry.jobs.ports.RowChange
import org.verbenagauge.entry.jobs.ports.RowFeed
import org.verbenagauge.entry.jobs.ports.RowPlace
import org.verbenagauge.entry.jobs.ports.RowStore
import org.verbenagauge.entry.jobs.records.JobRecord
import org.verbenagauge.entry.jobs.records.OwnerRecord
import org.verbenagauge.entry.jobs.records.RecordCodec
import org.verbenagauge.entry.logging.EventLog

private const val JOB = "0000000000000001"

/**
 * A store without change history, so that tables are always read in full; the first [failures] reads of the roster
 * fail.
 */
private class StoreWithoutHistory(
    val rows: MemoryRowStore,
    private var failures: Int,
) : RowStore by rows {
    override suspend fun readAll(places: List<RowPlace>): ReadResult<RowBatch> {
        if (places == listOf(StoredTables.roster) && failures-- > 0) return ReadResult.Failed("down")
        return rows.readAll(places)
    }

    override fun feed(table: String): RowFeed =
        object : RowFeed {
            override suspend fun changesAfter(
                version: Long,
                waitMillis: Long,
            ): ReadResult<RowBatch> {
                delay(100)
                return ReadResult.HistoryGone
            }

            override fun close() = Unit
        }
}

private data class RosterCase(
    val name: String,
    val keepsRoster: Boolean,
    val failures: Int,
    val starts: Int,
    val evacuated: Set<String> = emptySet(),
)

@OptIn(ExperimentalCoroutinesApi::class)
private suspend fun TestScope.runTakeover(
    case: RosterCase,
    ownerBytes: ByteArray? = null,
    store: StoreWithoutHistory = StoreWithoutHistory(MemoryRowStore(), case.failures),
): Int {
    val clock =
        object : Clock {
            override fun monotonicMillis() = testScheduler.currentTime + 10_000

            override fun wallMillis() = testScheduler.currentTime + 10_000
        }
    val owner = OwnerRecord("", epoch = 1, sequence = 5, writtenUnixMillis = 9_000, keepsRoster = case.keepsRoster)
    val place = StoredTables.work(JOB)
    val bytes = RecordCodec.encode(JobRecord.serializer(), job(step(1, isLasting = true)))
    store.transact(emptyList(), listOf(RowChange(place, StoredTables.jobKey(JOB), bytes)), 100)
    val row = RowChange(StoredTables.states, StoredTables.OWNER_KEY, ownerBytes ?: OwnerLease.encode(owner))
    store.transact(emptyList(), listOf(row), 100)
    val catalogue = StateCatalogue(store, clock, EventLog("a"))
    val workers = SingleWorker()
    val ports = OwnerPorts(store, workers, advisor = null, workers, waves = null)
    val ownership =
        Ownership("a", ports, catalogue, clock, OwnerSettings(), { EngineLimits() }, EventLog("a"), { 0 })
    ownership.evacuate(case.evacuated)
    ownership.configure(configuration())
    val tasks =
        backgroundScope.launch {
            launch { catalogue.run() }
            launch { ownership.run() }
        }
    advanceTimeBy(5_000)
    tasks.cancel()
    return workers.starts.size
}

// Incident 003: a worker that is not on the platform's list may run a task of an owner that kept no roster.
class TakeoverWithoutRosterTest :
    FunSpec({
        context("an inherited task") {
            withData(
                nameFn = { it.name },
                RosterCase("starts at once after an owner with a roster", keepsRoster = true, failures = 0, starts = 1),
                RosterCase("does not start in a zone that was evacuated before", true, 0, starts = 0, setOf("z")),
                RosterCase(
                    "waits for leases after an owner without a roster",
                    keepsRoster = false,
                    failures = 0,
                    starts = 0,
                ),
                RosterCase(
                    "waits also when a read of the roster failed meanwhile",
                    keepsRoster = false,
                    failures = 1,
                    starts = 0,
                ),
            ) { case ->
                runTest { runTakeover(case) shouldBe case.starts }
            }
        }

        test(
            "after an unreadable owner row, an inherited task waits and the new epoch is above all earlier ones",
        ) {
            runTest {
                val store = StoreWithoutHistory(MemoryRowStore(), failures = 0)
                val case = RosterCase("unreadable", keepsRoster = true, failures = 0, starts = 0)
                runTakeover(case, ownerBytes = byteArrayOf(7), store) shouldBe case.starts
                val row = checkNotNull(store.rows.row(StoredTables.states, StoredTables.OWNER_KEY)?.value)
                val epoch = checkNotNull(RecordCodec.decode(OwnerRecord.serializer(), row)).epoch
                // The unreadable row was the second transaction.
                (epoch > 2) shouldBe true
            }
        }
    })
