package org.verbenagauge.entry.jobs.front

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runTest
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.jobs.engine.QUEUE
import org.verbenagauge.entry.jobs.records.OwnerRecord
import org.verbenagauge.entry.logging.EventLog

private const val LOST = "lost"
private const val NEXT = "next"

// Row of an owner that has counted while its reading of accepted jobs works.
private fun counted(
    entryId: String,
    epoch: Long,
    sequence: Long = 1,
    pending: Map<String, Int> = mapOf(QUEUE to 16),
    ageMillis: Long? = 200,
) = OwnerRecord(entryId, epoch, sequence, pending, pendingAgeMillis = ageMillis)

private data class CountCase(
    val name: String,
    val expected: Int?,
    val act: suspend TestScope.(FollowedStore) -> Unit,
)

@OptIn(ExperimentalCoroutinesApi::class)
private suspend fun TestScope.countAfter(act: suspend TestScope.(FollowedStore) -> Unit): Int? {
    val clock =
        object : Clock {
            override fun monotonicMillis() = testScheduler.currentTime + 10_000

            override fun wallMillis() = testScheduler.currentTime + 10_000
        }
    val store = FollowedStore()
    val catalogue = StateCatalogue(store, clock, EventLog("a"))
    val counts = PendingCounts(catalogue, clock)
    backgroundScope.launch { catalogue.run() }
    act(store)
    return counts.of(QUEUE).count
}

// A count that no owner has made lately is not a count of none.
@OptIn(ExperimentalCoroutinesApi::class)
class UnknownCountToldAsNoneTest :
    FunSpec({
        context("a count of waiting jobs is told only while an owner has made it") {
            withData(
                nameFn = { it.name },
                CountCase("the table has not been read", null) { it.isUnavailable = true },
                CountCase("there has never been an owner", null) { advanceTimeBy(500) },
                CountCase("the owner's row cannot be read", null) {
                    it.storeOwnerBytes(byteArrayOf(1, 2, 3))
                    advanceTimeBy(500)
                },
                CountCase("the owner has just counted", 16) {
                    it.storeOwner(counted(LOST, epoch = 1))
                    advanceTimeBy(500)
                },
                CountCase("the owner has just counted no job of the queue", 0) {
                    it.storeOwner(counted(LOST, epoch = 1, pending = mapOf("other" to 3)))
                    advanceTimeBy(500)
                },
                CountCase("the owner is of a release that does not tell whether it has counted", null) {
                    it.storeOwner(counted(LOST, epoch = 1, ageMillis = null))
                    advanceTimeBy(500)
                },
                CountCase("the owner is lost and has been replaced by none", null) {
                    it.storeOwner(counted(LOST, epoch = 1, pending = emptyMap()))
                    advanceTimeBy(2_300)
                },
                CountCase("the store has been silent for two seconds", null) {
                    it.storeOwner(counted(LOST, epoch = 1))
                    advanceTimeBy(300)
                    it.isUnavailable = true
                    advanceTimeBy(2_000)
                },
                CountCase("the next owner is reading the stored jobs and was told none by the lost one", null) {
                    it.storeOwner(counted(LOST, epoch = 1, pending = emptyMap()))
                    advanceTimeBy(2_000)
                    it.storeOwner(counted(NEXT, epoch = 2, pending = emptyMap(), ageMillis = null))
                    advanceTimeBy(500)
                },
                CountCase("a chain of owners was lost before any had counted", null) {
                    it.storeOwner(counted(LOST, epoch = 1, pending = emptyMap()))
                    (2L..6L).forEach { epoch ->
                        advanceTimeBy(1_000)
                        it.storeOwner(counted(NEXT, epoch, pending = emptyMap(), ageMillis = null))
                    }
                    advanceTimeBy(500)
                },
                CountCase("the next owner has just taken over, a moment after the last count", 16) {
                    it.storeOwner(counted(LOST, epoch = 1))
                    advanceTimeBy(300)
                    it.storeOwner(counted(NEXT, epoch = 2, ageMillis = null))
                    advanceTimeBy(300)
                },
                CountCase("the next owner has counted", 16) {
                    it.storeOwner(counted(LOST, epoch = 1, pending = emptyMap()))
                    advanceTimeBy(2_000)
                    it.storeOwner(counted(NEXT, epoch = 2))
                    advanceTimeBy(300)
                },
                CountCase("the row names the queue and leaves out others", 16) {
                    it.storeOwner(counted(LOST, epoch = 1).copy(omitsPending = true))
                    advanceTimeBy(300)
                },
                CountCase("the row leaves out queues, perhaps this one", null) {
                    it.storeOwner(counted(LOST, epoch = 1, pending = mapOf("other" to 3)).copy(omitsPending = true))
                    advanceTimeBy(300)
                },
                CountCase("the owner renews its row but has not read accepted jobs for three seconds", null) {
                    it.storeOwner(counted(LOST, epoch = 1, pending = emptyMap(), ageMillis = 3_000))
                    advanceTimeBy(300)
                },
            ) { case -> runTest { countAfter(case.act) shouldBe case.expected } }
        }
    })
