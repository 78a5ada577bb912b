package org.verbenagauge.entry.state.sim

import org.verbenagauge.entry.state.store.ReadOutcome
import org.verbenagauge.entry.state.store.Row
import org.verbenagauge.entry.state.store.TableService
import org.verbenagauge.entry.state.store.Transaction
import org.verbenagauge.entry.state.store.WriteOutcome
import org.verbenagauge.fake.FakeRows
import kotlin.coroutines.resume
import kotlin.coroutines.suspendCoroutine
import kotlin.random.Random

private const val TIMEOUT_MILLIS = 1_000L
private const val MAX_WRITES_AGO = 6

/** Table service as the entry [entryId] reaches it through delays and faults. */
internal class SimTable(
    private val entryId: String,
    private val rows: FakeRows,
    private val scheduler: SimScheduler,
    private val faults: SimFaults,
    private val random: Random,
    private val delayMillis: () -> Long,
    private val resumeAtEntry: (() -> Unit) -> Unit,
) : TableService {
    override suspend fun read(keys: List<String>): ReadOutcome<List<Row>> =
        call(lostRead) { ReadOutcome.Found(rows.read(keys, writesAgo())) }

    override suspend fun scan(
        prefix: String,
        afterKey: String,
        limit: Int,
    ): ReadOutcome<List<Row>> = call(lostRead) { ReadOutcome.Found(rows.scan(prefix, afterKey, limit, writesAgo())) }

    override suspend fun transact(transaction: Transaction): WriteOutcome {
        if (isDown() && random.nextBoolean()) return call(refused) { refused }
        return call(WriteOutcome.Unknown("lost")) { rows.transact(transaction) }
    }

    private fun writesAgo() = if (random.nextInt(100) < faults.staleReadPercent) random.nextInt(MAX_WRITES_AGO) else 0

    private fun isDown() = faults.storeDown || entryId in faults.cutFromStore

    // The request may still take effect after the caller has given up on its answer.
    private suspend fun <T> call(
        lost: T,
        serve: () -> T,
    ): T =
        suspendCoroutine { caller ->
            var open = true
            val answer = { outcome: T ->
                resumeAtEntry {
                    if (open) {
                        open = false
                        caller.resume(outcome)
                    }
                }
            }
            scheduler.after(TIMEOUT_MILLIS) { answer(lost) }
            if (!isDown() && !isLost()) {
                scheduler.after(delayMillis()) {
                    val outcome = serve()
                    if (!isLost()) scheduler.after(delayMillis()) { answer(outcome) }
                }
            }
        }

    private fun isLost() = random.nextInt(100) < faults.lossPercent

    private companion object {
        val lostRead = ReadOutcome.Unavailable("lost")
        val refused: WriteOutcome = WriteOutcome.Unavailable("refused")
    }
}
