package org.verbenagauge.standin.jobs

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.verbenagauge.entry.jobs.ports.ReadResult
import org.verbenagauge.entry.jobs.ports.RowBatch
import org.verbenagauge.entry.jobs.ports.RowChange
import org.verbenagauge.entry.jobs.ports.RowExpectation
import org.verbenagauge.entry.jobs.ports.RowPlace
import org.verbenagauge.entry.jobs.ports.TransactionOutcome

private val place = RowPlace("jobs")

private fun change(
    key: String,
    value: String?,
) = RowChange(place, key, value?.toByteArray())

class EmbeddedRowStoreTest :
    FunSpec({
        test("a condition on a version holds once") {
            val store = EmbeddedRowStore()
            val absent = listOf(RowExpectation(place, "a", 0))
            store.transact(absent, listOf(change("a", "1")), 100) shouldBe TransactionOutcome.Applied(1)
            store.transact(absent, listOf(change("a", "2")), 100).shouldBeInstanceOf<TransactionOutcome.Conflict>()
        }

        test("a feed tells changes and removals after a version, of its table only") {
            val store = EmbeddedRowStore()
            store.transact(emptyList(), listOf(change("a", "1")), 100)
            store.transact(emptyList(), listOf(change("a", null), RowChange(RowPlace("other"), "x", ByteArray(1))), 100)
            val read = store.feed("jobs").changesAfter(1, 0)
            val batch = read.shouldBeInstanceOf<ReadResult.Read<RowBatch>>().value
            batch.rows.map { it.key to it.value } shouldBe listOf("a" to null)
            batch.version shouldBe 2
        }

        test("a feed that is too far behind has to read everything anew") {
            val store = EmbeddedRowStore()
            repeat(20_001) { store.transact(emptyList(), listOf(change("a", "$it")), 100) }
            store.feed("jobs").changesAfter(0, 0) shouldBe ReadResult.HistoryGone
        }
    })
