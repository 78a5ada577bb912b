package org.verbenagauge.fake

import org.verbenagauge.entry.state.store.ReadOutcome
import org.verbenagauge.entry.state.store.Row
import org.verbenagauge.entry.state.store.TableService
import org.verbenagauge.entry.state.store.Transaction
import org.verbenagauge.entry.state.store.WriteOutcome

/** What happens to one write of [FakeTableService]. */
enum class WriteFault {
    /** The write works. */
    NONE,

    /** The request does not reach the service. */
    REFUSED,

    /** The write takes effect, and its answer is lost. */
    ANSWER_LOST,

    /** The answer is lost, and the write takes effect when [FakeTableService.landDelayed] is called. */
    DELAYED,

    /** The request is lost and never takes effect, which the client cannot know. */
    REQUEST_LOST,
}

/** Table service in memory with faults; several clients of one [rows] share its content. */
class FakeTableService(
    val rows: FakeRows = FakeRows(),
) : TableService {
    /** While true, no request reaches the service. */
    var down = false

    /** Plain reads answer with the state of so many transactions ago. */
    var readsWritesAgo = 0

    /** Faults of the next writes, in order; later writes work. Transactions without writes take no fault. */
    val writeFaults = ArrayDeque<WriteFault>()

    /** Called before each transaction, so that a test can let another client come first. */
    var beforeWrite: () -> Unit = {}

    private val delayed = ArrayDeque<Transaction>()

    /** Lets the delayed writes take effect where their conditions hold. */
    fun landDelayed() {
        while (delayed.isNotEmpty()) rows.transact(delayed.removeFirst())
    }

    override suspend fun read(keys: List<String>): ReadOutcome<List<Row>> =
        if (down) unavailable else ReadOutcome.Found(rows.read(keys, readsWritesAgo))

    override suspend fun scan(
        prefix: String,
        afterKey: String,
        limit: Int,
    ): ReadOutcome<List<Row>> =
        if (down) unavailable else ReadOutcome.Found(rows.scan(prefix, afterKey, limit, readsWritesAgo))

    override suspend fun transact(transaction: Transaction): WriteOutcome {
        if (transaction.writes.isNotEmpty()) beforeWrite()
        val fault =
            if (transaction.writes.isEmpty()) {
                WriteFault.NONE
            } else {
                writeFaults.removeFirstOrNull()
                    ?: WriteFault.NONE
            }
        if (down || fault == WriteFault.REFUSED) return WriteOutcome.Unavailable("the fake is down")
        return when (fault) {
            WriteFault.ANSWER_LOST -> {
                rows.transact(transaction)
                lost
            }
            WriteFault.DELAYED -> {
                delayed += transaction
                lost
            }
            WriteFault.REQUEST_LOST -> lost
            else -> rows.transact(transaction)
        }
    }

    private companion object {
        val unavailable = ReadOutcome.Unavailable("the fake is down")
        val lost = WriteOutcome.Unknown("the answer was lost")
    }
}
