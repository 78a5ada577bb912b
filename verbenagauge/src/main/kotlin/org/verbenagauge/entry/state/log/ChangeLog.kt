package org.verbenagauge.entry.state.log

import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.model.sha256Hex
import org.verbenagauge.entry.state.control.ApplyOutcome
import org.verbenagauge.entry.state.control.Change
import org.verbenagauge.entry.state.control.ControlState
import org.verbenagauge.entry.state.control.Edit
import org.verbenagauge.entry.state.control.encodeChange
import org.verbenagauge.entry.state.store.ReadOutcome
import org.verbenagauge.entry.state.store.Row
import org.verbenagauge.entry.state.store.RowCondition
import org.verbenagauge.entry.state.store.RowWrite
import org.verbenagauge.entry.state.store.TableService
import org.verbenagauge.entry.state.store.Transaction
import org.verbenagauge.entry.state.store.WriteOutcome
import kotlin.random.Random

private const val HEAD_KEY = "changes/head"
internal const val CHANGE_PREFIX = "changes/at/"
private const val VERSION_DIGITS = 16
private const val SCAN_LIMIT_ROWS = 200
private const val SETTLE_ATTEMPTS = 5
private const val SETTLE_FIRST_DELAY_MILLIS = 50L
private const val SETTLE_MAX_DELAY_MILLIS = 1_000L

/**
 * Follows and extends the sequence of changes in the table service.
 *
 * Every change is one transaction: it moves the head from version n to n + 1 and inserts the change,
 * on condition that the head is still n. Plain reads may be older than the last write, so that they only
 * ever bring this process forward; [check] is the read that is never older.
 */
public class ChangeLog internal constructor(
    private val table: TableService,
    private val clock: Clock,
    private val random: Random,
    private val pause: suspend (Long) -> Unit,
) {
    private val proposing = Mutex()

    internal val history = ChangeHistory()

    /** State after the last change that this process has followed; its version only rises. */
    public val state: StateFlow<ControlState> = history.state

    @Volatile private var storedListener: (Long) -> Unit = {}

    /** Calls [listener] with the version of every change that this process has stored. */
    internal fun onStored(listener: (version: Long) -> Unit) {
        storedListener = listener
    }

    /** Reads changes up to the head that a plain read shows; [ReadOutcome.Found] with the version reached. */
    public suspend fun refresh(): ReadOutcome<Long> =
        when (val read = table.read(listOf(HEAD_KEY))) {
            is ReadOutcome.Unavailable -> read
            is ReadOutcome.Found -> catchUp(read.value.single().version)
        }

    /**
     * Asks the table service for the head by a transaction that only holds conditions, whose answer, unlike
     * that of a plain read, is never older than the question; follows the changes up to the head.
     * [ReadOutcome.Found] means that the state included every change that was stored when the question was sent.
     */
    public suspend fun check(): ReadOutcome<Long> {
        val version = state.value.version
        val question = Transaction("check", listOf(RowCondition(HEAD_KEY, version)), writes = emptyList())
        return when (val outcome = table.transact(question)) {
            is WriteOutcome.Applied -> ReadOutcome.Found(version)
            is WriteOutcome.Conflict -> catchUp(outcome.rows.maxOfOrNull { it.version } ?: version)
            is WriteOutcome.Unavailable -> ReadOutcome.Unavailable(outcome.cause)
            is WriteOutcome.Unknown -> ReadOutcome.Unavailable(outcome.cause)
        }
    }

    /** Proposes [edit] on top of [baseVersion]; [operationId] is unique to this edit and kept when it is tried again. */
    public suspend fun propose(
        baseVersion: Long,
        edit: Edit,
        author: String,
        operationId: String,
    ): ProposeOutcome =
        proposing.withLock {
            if (state.value.version < baseVersion) catchUp(baseVersion)
            history.versionOf(operationId)?.let { return ProposeOutcome.Stored(it) }
            val base = state.value
            if (base.version != baseVersion) return ProposeOutcome.Conflict(base.version)
            val change = Change(base.version + 1, operationId, author, clock.wallMillis(), base.lastHash, edit)
            val encoded = encodeChange(change)
            when (val applied = base.apply(edit, sha256Hex(encoded))) {
                is ApplyOutcome.Rejected -> ProposeOutcome.Invalid(applied.problems)
                is ApplyOutcome.Applied -> store(change, encoded)
            }
        }

    // Sent again unchanged, the transaction either takes effect once or meets a head that has moved.
    private suspend fun store(
        change: Change,
        encoded: String,
    ): ProposeOutcome {
        val transaction = transactionOf(change, encoded)
        var mayBeStored = false
        repeat(SETTLE_ATTEMPTS) { attempt ->
            if (attempt > 0) pause(fullJitterMillis(attempt))
            when (val outcome = table.transact(transaction)) {
                is WriteOutcome.Applied -> return stored(change, encoded)
                is WriteOutcome.Conflict -> return settle(change, encoded, outcome.rows)
                is WriteOutcome.Unavailable -> if (!mayBeStored) return ProposeOutcome.Unavailable(outcome.cause)
                is WriteOutcome.Unknown -> mayBeStored = true
            }
        }
        return ProposeOutcome.Unknown(change.operationId)
    }

    private fun transactionOf(
        change: Change,
        encoded: String,
    ) = Transaction(
        operationId = change.operationId,
        conditions = listOf(RowCondition(HEAD_KEY, change.version - 1), RowCondition(changeKey(change.version), 0)),
        writes =
            listOf(
                RowWrite(HEAD_KEY, change.version.toString()),
                RowWrite(changeKey(change.version), encoded),
            ),
    )

    private fun stored(
        change: Change,
        encoded: String,
    ): ProposeOutcome {
        history.follow(encoded)
        storedListener(change.version)
        return ProposeOutcome.Stored(change.version)
    }

    // The head has moved: the change stands at its version already, or it never will.
    private suspend fun settle(
        change: Change,
        encoded: String,
        conflicting: List<Row>,
    ): ProposeOutcome {
        val headVersion = conflicting.firstOrNull { it.key == HEAD_KEY }?.version ?: change.version
        if (headVersion < change.version) return ProposeOutcome.Conflict(headVersion)
        val standing =
            conflicting.firstOrNull { it.key == changeKey(change.version) && it.version > 0 }?.value
                ?: readChange(change.version)
                ?: return ProposeOutcome.Unknown(change.operationId)
        if (standing == encoded) return stored(change, encoded)
        catchUp(headVersion)
        val version = history.versionOf(change.operationId) ?: return ProposeOutcome.Conflict(headVersion)
        return ProposeOutcome.Stored(version)
    }

    // A plain read may not show the row yet.
    private suspend fun readChange(version: Long): String? {
        repeat(SETTLE_ATTEMPTS) { attempt ->
            if (attempt > 0) pause(fullJitterMillis(attempt))
            val read = table.read(listOf(changeKey(version)))
            val row = (read as? ReadOutcome.Found)?.value?.single()
            if (row != null && row.version > 0) return row.value
        }
        return null
    }

    private suspend fun catchUp(headVersion: Long): ReadOutcome<Long> {
        while (state.value.version < headVersion) {
            val version = state.value.version
            val rows =
                when (val read = table.scan(CHANGE_PREFIX, changeKey(version), SCAN_LIMIT_ROWS)) {
                    is ReadOutcome.Unavailable -> return read
                    is ReadOutcome.Found -> read.value
                }
            val problem = rows.firstNotNullOfOrNull { problemOf(history.follow(it.value), it.key) }
            if (problem != null) return ReadOutcome.Unavailable(problem)
            if (state.value.version == version) return ReadOutcome.Unavailable("no change after version $version yet")
        }
        return ReadOutcome.Found(state.value.version)
    }

    private fun problemOf(
        outcome: FollowOutcome,
        key: String,
    ): String? =
        when (outcome) {
            is FollowOutcome.Followed -> null
            is FollowOutcome.Gap -> "row '$key' does not follow version ${state.value.version}"
            is FollowOutcome.Broken -> "row '$key': ${outcome.problem}"
        }

    private fun fullJitterMillis(attempt: Int): Long =
        random.nextLong(minOf(SETTLE_MAX_DELAY_MILLIS, SETTLE_FIRST_DELAY_MILLIS shl attempt) + 1)
}

/** Returns the key of the row that holds the change [version]. */
internal fun changeKey(version: Long): String = CHANGE_PREFIX + version.toString().padStart(VERSION_DIGITS, '0')

/** Creates a change log that has read nothing yet; [random] spreads its retries, and [pause] waits for them. */
public fun changeLog(
    table: TableService,
    clock: Clock,
    random: Random = Random.Default,
    pause: suspend (millis: Long) -> Unit = { delay(it) },
): ChangeLog = ChangeLog(table, clock, random, pause)
