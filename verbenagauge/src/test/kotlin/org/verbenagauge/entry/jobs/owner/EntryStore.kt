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

/** The store as the process of one entry reaches it. */
internal class EntryStore(
    private val entryId: String,
    private val process: VirtualProcess,
    private val time: VirtualTime,
    private val store: VirtualStore,
    private val trouble: StoreTrouble,
    private val trace: FuzzTrace,
) : RowStore {
    override suspend fun transact(
        expectations: List<RowExpectation>,
        changes: List<RowChange>,
        timeoutMillis: Long,
    ): TransactionOutcome {
        val fate = trouble.fateOfWrite(entryId)
        val outcome =
            call(fate, timeoutMillis, TransactionOutcome.Unavailable("refused")) { store.apply(expectations, changes) }
                ?: TransactionOutcome.Unknown("no answer in $timeoutMillis ms")
        trace.add { "$entryId stores ${changes.joinToString { it.key }}: $fate, ${describe(outcome)}" }
        return outcome
    }

    private fun describe(outcome: TransactionOutcome): String =
        if (outcome is TransactionOutcome.Conflict) "conflict" else "$outcome"

    // Null when there is no answer in time.
    private suspend fun <T> call(
        fate: CallFate,
        timeoutMillis: Long,
        refusal: T,
        action: () -> T,
    ): T? {
        val answer = CompletableDeferred<T>()
        when (fate) {
            CallFate.SERVED -> carryOut(action) { reply(answer, it) }
            CallFate.REFUSED, CallFate.NOT_SENT -> reply(answer, refusal)
            CallFate.LOST -> Unit
            CallFate.ANSWER_LOST -> carryOut(action) {}
            CallFate.LATE -> time.after(trouble.lateMillis()) { action() }
            CallFate.TWICE -> {
                time.after(trouble.lateMillis()) { action() }
                carryOut(action) { reply(answer, it) }
            }
        }
        return withTimeoutOrNull(timeoutMillis) { answer.await() }
    }

    private fun <T> carryOut(
        action: () -> T,
        onDone: (T) -> Unit,
    ) {
        time.after(trouble.wayMillis()) { onDone(action()) }
    }

    private fun <T> reply(
        answer: CompletableDeferred<T>,
        value: T,
    ) {
        time.after(trouble.wayMillis()) { process.step { answer.complete(value) } }
    }

    override suspend fun read(
        place: RowPlace,
        key: String,
        timeoutMillis: Long,
    ): ReadResult<StoredRow?> =
        call<ReadResult<StoredRow?>>(trouble.fate(entryId), timeoutMillis, failed) {
            ReadResult.Read(store.row(place, key))
        } ?: failed

    override suspend fun readAll(places: List<RowPlace>): ReadResult<RowBatch> {
        val reads = coroutineScope { places.map { async { readPlace(it) } }.awaitAll() }
        if (reads.any { it == null }) return failed
        val batches = reads.filterNotNull()
        return ReadResult.Read(RowBatch(batches.flatMap { it.rows }, batches.minOf { it.version }))
    }

    // Page by page, each as of its own moment; the version is that of the first.
    private suspend fun readPlace(place: RowPlace): RowBatch? {
        val rows = ArrayList<StoredRow>()
        var version: Long? = null
        while (true) {
            val after = rows.lastOrNull()?.key
            val page =
                call<RowBatch?>(trouble.fate(entryId), READ_TIMEOUT_MILLIS, null) {
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
            val fate = trouble.fate(entryId)
            when {
                fate == CallFate.REFUSED || fate == CallFate.NOT_SENT -> reply(answer, failed)
                fate != CallFate.SERVED && fate != CallFate.TWICE -> Unit
                trouble.isHistoryGone() -> reply(answer, ReadResult.HistoryGone)
                else ->
                    time.after(trouble.wayMillis()) {
                        store.await(table, version, waitMillis) { deliver(answer, it) }
                    }
            }
            return withTimeoutOrNull(waitMillis + ANSWER_MILLIS) { answer.await() } ?: failed
        }

        // While the store is down, what waits there is cut off.
        private fun deliver(
            answer: CompletableDeferred<ReadResult<RowBatch>>,
            batch: RowBatch,
        ) {
            if (!trouble.isDown) time.after(trouble.lagMillis()) { reply(answer, ReadResult.Read(batch)) }
        }

        override fun close() = Unit
    }

    private companion object {
        val failed = ReadResult.Failed("no answer")

        // As the real link to the store waits.
        const val READ_TIMEOUT_MILLIS = 1_500L
        const val ANSWER_MILLIS = 600L

        // Small, so that other writes come between pages.
        const val PAGE_ROWS = 3
    }
}
