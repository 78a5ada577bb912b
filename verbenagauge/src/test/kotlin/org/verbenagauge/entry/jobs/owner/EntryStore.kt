package org.verbenagauge.entry.jobs.owner

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withTimeoutOrNull
import org.verbenagauge.entry.jobs.ports.ReadResult
import org.verbenagauge.entry.jobs.ports.RowBatch
import org.verbenagauge.entry.jobs.ports.RowChange
import org.verbenagauge.entry.jobs.ports.RowExpectation
import org.verbenagauge.entry.jobs.ports.RowFeed
import org.verbenagauge.entry.jobs.ports.RowPlace
import org.verbenagauge.entry.jobs.ports.RowStore
import org.verbenagauge.entry.jobs.ports.StoredRow
import org.verbenagauge.entry.jobs.ports.TransactionOutcome
import org.verbenagauge.entry.jobs.records.RecordCodec
import org.verbenagauge.entry.jobs.records.RosterRecord

/** The [store] as seen by the process of one entry, with delays and with the faults of [storeFaults]. */
internal class EntryStore(
    private val entryId: String,
    private val process: VirtualProcess,
    private val time: VirtualTime,
    private val store: VirtualStore,
    private val storeFaults: StoreFaults,
    private val trace: FuzzTrace,
) : RowStore {
    override suspend fun transact(
        expectations: List<RowExpectation>,
        changes: List<RowChange>,
        timeoutMillis: Long,
    ): TransactionOutcome {
        val drawn = storeFaults.writeOutcome(entryId)
        val outcome =
            call(drawn, timeoutMillis, TransactionOutcome.Unavailable("refused")) { store.apply(expectations, changes) }
                ?: TransactionOutcome.Unknown("no answer in $timeoutMillis ms")
        trace.add { "$entryId stores ${changes.joinToString { describe(it) }}: $drawn, ${describe(outcome)}" }
        return outcome
    }

    // The roster says which workers the next owner waits for.
    private fun describe(change: RowChange): String {
        val bytes = change.value?.takeIf { change.place == StoredTables.roster } ?: return change.key
        return "${change.key} ${RecordCodec.decode(RosterRecord.serializer(), bytes)}"
    }

    private fun describe(outcome: TransactionOutcome): String =
        if (outcome is TransactionOutcome.Conflict) "conflict" else "$outcome"

    // Returns null if no answer arrives within the timeout.
    private suspend fun <T> call(
        drawn: CallOutcome,
        timeoutMillis: Long,
        refusal: T,
        action: () -> T,
    ): T? {
        val answer = CompletableDeferred<T>()
        when (drawn) {
            CallOutcome.SERVED -> execute(action) { reply(answer, it) }
            CallOutcome.REFUSED, CallOutcome.NOT_SENT -> reply(answer, refusal)
            CallOutcome.LOST -> Unit
            CallOutcome.ANSWER_LOST -> execute(action) {}
            CallOutcome.LATE -> time.after(storeFaults.lateDelayMillis()) { action() }
            CallOutcome.TWICE -> {
                time.after(storeFaults.lateDelayMillis()) { action() }
                execute(action) { reply(answer, it) }
            }
        }
        return withTimeoutOrNull(timeoutMillis) { answer.await() }
    }

    private fun <T> execute(
        action: () -> T,
        onDone: (T) -> Unit,
    ) {
        time.after(storeFaults.oneWayMillis()) { onDone(action()) }
    }

    private fun <T> reply(
        answer: CompletableDeferred<T>,
        value: T,
    ) {
        time.after(storeFaults.oneWayMillis()) { process.step { answer.complete(value) } }
    }

    override suspend fun read(
        place: RowPlace,
        key: String,
        timeoutMillis: Long,
    ): ReadResult<StoredRow?> =
        call<ReadResult<StoredRow?>>(storeFaults.callOutcome(entryId), timeoutMillis, failed) {
            ReadResult.Read(store.row(place, key))
        } ?: failed

    override suspend fun readAll(places: List<RowPlace>): ReadResult<RowBatch> {
        val reads = coroutineScope { places.map { async { readPlace(it) } }.awaitAll() }
        if (reads.any { it == null }) return failed
        val batches = reads.filterNotNull()
        return ReadResult.Read(RowBatch(batches.flatMap { it.rows }, batches.minOf { it.version }))
    }

    // Reads page by page; each page reflects the store at the time of its read. The version is that of the first page.
    private suspend fun readPlace(place: RowPlace): RowBatch? {
        val rows = ArrayList<StoredRow>()
        var version: Long? = null
        while (true) {
            val after = rows.lastOrNull()?.key
            val page =
                call<RowBatch?>(storeFaults.callOutcome(entryId), READ_TIMEOUT_MILLIS, null) {
                    RowBatch(store.page(place, after, PAGE_ROWS), store.version)
                } ?: return null
            rows += page.rows
            val first = version ?: page.version
            version = first
            if (page.rows.size < PAGE_ROWS) return RowBatch(rows, first)
        }
    }

    override fun feed(table: String): RowFeed = Feed(table)

    private inner class Feed(
        private val table: String,
    ) : RowFeed {
        override suspend fun changesAfter(
            version: Long,
            waitMillis: Long,
        ): ReadResult<RowBatch> {
            val answer = CompletableDeferred<ReadResult<RowBatch>>()
            val drawn = storeFaults.callOutcome(entryId)
            when {
                drawn == CallOutcome.REFUSED || drawn == CallOutcome.NOT_SENT -> reply(answer, failed)
                drawn != CallOutcome.SERVED && drawn != CallOutcome.TWICE -> Unit
                storeFaults.isHistoryGone() -> reply(answer, ReadResult.HistoryGone)
                else ->
                    time.after(storeFaults.oneWayMillis()) {
                        store.await(table, version, waitMillis) { deliver(answer, it) }
                    }
            }
            return withTimeoutOrNull(waitMillis + ANSWER_MARGIN_MILLIS) { answer.await() } ?: failed
        }

        // Feed requests that are waiting when the store goes down are dropped.
        private fun deliver(
            answer: CompletableDeferred<ReadResult<RowBatch>>,
            batch: RowBatch,
        ) {
            if (!storeFaults.isDown) time.after(storeFaults.lagMillis()) { reply(answer, ReadResult.Read(batch)) }
        }

        override fun close() = Unit
    }

    private companion object {
        val failed = ReadResult.Failed("no answer")

        // The same time-outs as those of the production client of the store.
        const val READ_TIMEOUT_MILLIS = 1_500L
        const val ANSWER_MARGIN_MILLIS = 600L

        // Small, so that other writes happen between the reads of two pages.
        const val PAGE_ROWS = 3
    }
}
