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
import org.verbenagauge.entry.jobs.engine.QUEUE
import org.verbenagauge.entry.jobs.engine.configuration
import org.verbenagauge.entry.jobs.front.StateCatalogue
import org.verbenagauge.entry.jobs.ports.ReadResult
import org.verbenagauge.entry.jobs.ports.RowBatch
import org.verbenagauge.entry.jobs.ports.RowChange
import org.verbenagauge.entry.jobs.ports.RowExpectation
import org.verbenagauge.entry.jobs.ports.RowFeed
import org.verbenagauge.entry.jobs.ports.RowPlace
import org.verbenagauge.entry.jobs.ports.RowStore
import org.verbenagauge.entry.jobs.ports.TransactionOutcome
import org.verbenagauge.entry.jobs.records.OwnerRecord
import org.verbenagauge.entry.jobs.records.RecordCodec
import org.verbenagauge.entry.logging.Event
import org.verbenagauge.entry.logging.EventLog

/**
 * A store in which each read of whole tables takes [readMillis] and each write [writeMillis], and which loses the
 * answers to the first [lostReads] reads of tables other than the states.
 */
private class SlowStore(
    val rows: MemoryRowStore,
    private val readMillis: Long,
    private val writeMillis: Long,
    private var lostReads: Int,
) : RowStore by rows {
    override suspend fun transact(
        expectations: List<RowExpectation>,
        changes: List<RowChange>,
        timeoutMillis: Long,
    ): TransactionOutcome {
        delay(writeMillis / 2)
        val outcome = rows.transact(expectations, changes, timeoutMillis)
        delay(writeMillis / 2)
        return outcome
    }

    override suspend fun readAll(places: List<RowPlace>): ReadResult<RowBatch> {
        delay(readMillis)
        if (places != listOf(StoredTables.states) && lostReads-- > 0) return ReadResult.Failed("no answer")
        return rows.readAll(places)
    }

    override fun feed(table: String): RowFeed =
        object : RowFeed {
            override suspend fun changesAfter(
                version: Long,
                waitMillis: Long,
            ): ReadResult<RowBatch> {
                delay(FEED_MILLIS)
                val places = if (table == StoredTables.states.table) listOf(StoredTables.states) else StoredTables.work
                val all = rows.readAll(places) as ReadResult.Read
                return ReadResult.Read(RowBatch(all.value.rows.filter { it.version > version }, all.value.version))
            }

            override fun close() = Unit
        }
}

private data class SlowReadCase(
    val name: String,
    val readMillis: Long,
)

private class TakeoverResult(
    val lost: List<String>,
    val row: OwnerRecord,
)

@OptIn(ExperimentalCoroutinesApi::class)
private suspend fun TestScope.runTakeovers(
    readMillis: Long,
    runMillis: Long = RUN_MILLIS,
    lostReads: Int = 0,
): TakeoverResult {
    val clock =
        object : Clock {
            override fun monotonicMillis() = testScheduler.currentTime + 10_000

            override fun wallMillis() = testScheduler.currentTime + 10_000
        }
    val store = SlowStore(MemoryRowStore(), readMillis, writeMillis = 300, lostReads)
    val owner = OwnerRecord("", epoch = 1, sequence = 5, pendingByQueue = mapOf(QUEUE to 7), keepsRoster = true)
    val row = RowChange(StoredTables.states, StoredTables.OWNER_KEY, OwnerLease.encode(owner))
    store.rows.transact(emptyList(), listOf(row), 100)
    val workers = SingleWorker()
    val ports = OwnerPorts(store, workers, advisor = null, workers, waves = null)
    val lost = ArrayList<String>()
    val tasks =
        backgroundScope.launch {
            listOf("a", "b").forEachIndexed { rank, id ->
                val catalogue = StateCatalogue(store, clock, EventLog("a"))
                val log =
                    EventLog(id) { event ->
                        if (event == Event.OWNERSHIP_LOST) lost += "$id at ${testScheduler.currentTime}"
                    }
                val ownership =
                    Ownership(id, ports, catalogue, clock, OwnerSettings(), { EngineLimits() }, log, { rank })
                ownership.configure(configuration())
                launch { catalogue.run() }
                launch { ownership.run() }
            }
        }
    advanceTimeBy(runMillis)
    tasks.cancel()
    val read = store.rows.read(StoredTables.states, StoredTables.OWNER_KEY, 100) as ReadResult.Read
    val held = checkNotNull(read.value?.value?.let { RecordCodec.decode(OwnerRecord.serializer(), it) })
    return TakeoverResult(lost, held)
}

private const val FEED_MILLIS = 100L
private const val RUN_MILLIS = 20_000L

class TakeoverWithSlowStoreTest :
    FunSpec({
        context("ownership changes exactly once while a read of the store takes") {
            withData(
                nameFn = { it.name },
                SlowReadCase("a tenth of a second", readMillis = 100),
                SlowReadCase("four tenths of a second", readMillis = 400),
                SlowReadCase("six tenths of a second", readMillis = 600),
                SlowReadCase("longer than others wait for a renewal", readMillis = 2_500),
                SlowReadCase("far longer than others wait for a renewal", readMillis = 6_000),
            ) { case ->
                runTest {
                    val result = runTakeovers(case.readMillis)
                    result.lost shouldBe emptyList()
                    result.row.epoch shouldBe 2
                }
            }
        }

        test("lost answers delay a takeover and do not restart it") {
            runTest {
                val result = runTakeovers(readMillis = 100, lostReads = 30)
                result.lost shouldBe emptyList()
                result.row.epoch shouldBe 2
            }
        }

        test("pending counts stay as before while a new owner loads stored state") {
            runTest {
                val result = runTakeovers(readMillis = 4_000, runMillis = 7_000)
                result.row.epoch shouldBe 2
                result.row.pendingByQueue shouldBe mapOf(QUEUE to 7)
                result.row.pendingAgeMillis shouldBe null
            }
        }
    })
