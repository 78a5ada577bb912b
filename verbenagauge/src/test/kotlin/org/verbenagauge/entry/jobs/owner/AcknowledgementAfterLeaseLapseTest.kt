package org.verbenagauge.entry.jobs.owner

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runTest
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.jobs.MemoryRowStore
import org.verbenagauge.entry.jobs.engine.end
import org.verbenagauge.entry.jobs.engine.listing
import org.verbenagauge.entry.jobs.engine.readyEngine
import org.verbenagauge.entry.jobs.engine.worker
import org.verbenagauge.entry.jobs.model.TaskId
import org.verbenagauge.entry.jobs.ports.EndKind
import org.verbenagauge.entry.jobs.ports.ListingOutcome
import org.verbenagauge.entry.jobs.ports.Renewal
import org.verbenagauge.entry.jobs.ports.RowChange
import org.verbenagauge.entry.jobs.ports.WorkerListings
import org.verbenagauge.entry.jobs.records.OwnerFigures
import org.verbenagauge.entry.jobs.records.OwnerRecord

private class AcknowledgedListings : WorkerListings {
    val acknowledged = ArrayList<Long>()

    override val isProven = true

    override suspend fun list(renewal: Renewal): ListingOutcome {
        acknowledged += renewal.acknowledged
        delay(renewal.waitMillis + 1)
        return listing()
    }

    override fun close() = Unit
}

// Guards against a renewal that counts as sent although it was skipped because the owner's lease was not valid: the
// worker was not asked again, so that its ends stayed unacknowledged.
@OptIn(ExperimentalCoroutinesApi::class)
class AcknowledgementAfterLeaseLapseTest :
    FunSpec({
        test("a stored end is acknowledged to an idle worker once the owner's lease is valid again") {
            runTest {
                val clock =
                    object : Clock {
                        override fun monotonicMillis() = testScheduler.currentTime + 10_000

                        override fun wallMillis() = testScheduler.currentTime + 10_000
                    }
                val engine = readyEngine("w1")
                engine.state.rememberEnd("0000000000000001")
                val ended = end(1, TaskId("0000000000000001", 0, 0, 0), 7, EndKind.DONE)
                val now = clock.monotonicMillis()
                engine.handleListing("w1", listing(ended = listOf(ended)), now, now)
                engine.markEndsStored(engine.acknowledgeableEnds())

                val store = MemoryRowStore()
                val record = OwnerRecord("a", epoch = 1, sequence = 0)
                val row = RowChange(StoredTables.states, StoredTables.OWNER_KEY, OwnerLease.encode(record))
                store.transact(emptyList(), listOf(row), 100)
                val lease = OwnerLease(store, clock, record, version = 1, confirmedSentAtMillis = now - 5_000)
                val settings = OwnerSettings()
                val writer = OwnerWriter(lease, engine, clock, settings, EndedJobCleaner(store, clock))
                val listings = AcknowledgedListings()
                val driver = WorkerDriver(worker("w1").address, listings, engine, clock, settings)
                val running = backgroundScope.launch { driver.run(writer) { } }
                advanceTimeBy(100)
                lease.begin(emptyList(), OwnerFigures())
                lease.settle()
                advanceTimeBy(1_000)
                driver.wake()
                advanceTimeBy(500)
                running.cancel()
                listings.acknowledged shouldContain 1L
            }
        }
    })
