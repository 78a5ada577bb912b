package org.verbenagauge.entry.state

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.verbenagauge.entry.clock.Clock

private const val HEAD_KEY = "changes/head"
private const val CHANGE_PREFIX = "changes/at/"
private const val VERSION_DIGITS = 16
private const val SCAN_LIMIT_ROWS = 200
private const val SETTLE_ATTEMPTS = 3

/** Outcome of [ChangeLog.propose]. */
public sealed interface ProposeOutcome {
    /** The change is stored as [version]. */
    public data class Stored(
        val version: Long,
    ) : ProposeOutcome

    /** The document moved on to [currentVersion] since the base version; nothing was stored. */
    public data class Conflict(
        val currentVersion: Long,
    ) : ProposeOutcome

    /** The edit is not valid; nothing was stored. */
    public data class Invalid(
        val problems: List<String>,
    ) : ProposeOutcome

    /** The platform did not answer, for [cause]; nothing was stored. */
    public data class Unavailable(
        val cause: String,
    ) : ProposeOutcome

    /** The outcome could not be settled; look for [operationId] in the audit trail later. */
    public data class Unknown(
        val operationId: String,
    ) : ProposeOutcome
}

/**
 * Follows and extends the sequence of changes in the table service.
 *
 * Every change is one transaction: it moves the head from version n to n + 1 and inserts the change,
 * on condition that the head is still n.
 */
public class ChangeLog internal constructor(
    private val table: TableService,
    private val clock: Clock,
) {
    private val mutex = Mutex()
    private val current = MutableStateFlow(ControlState())

    /** State after the last change that this process has read; its version only rises. */
    public val state: StateFlow<ControlState> = current.asStateFlow()

    /** Reads changes up to the head; [ReadOutcome.Found] with the version when it is the head's. */
    public suspend fun refresh(): ReadOutcome<Long> = mutex.withLock { catchUp() }

    /** Proposes [edit] on top of [baseVersion]. */
    public suspend fun propose(
        baseVersion: Long,
        edit: Edit,
        author: String,
        operationId: String,
    ): ProposeOutcome =
        mutex.withLock {
            val base = current.value
            if (base.version != baseVersion) return ProposeOutcome.Conflict(base.version)
            val change =
                Change(base.version + 1, operationId, author, clock.wallMillis(), base.lastHash, edit)
            val encoded = encodeChange(change)
            when (val applied = base.apply(edit, sha256Hex(encoded))) {
                is ApplyOutcome.Rejected -> ProposeOutcome.Invalid(applied.problems)
                is ApplyOutcome.Applied -> store(change, encoded)
            }
        }

    private suspend fun store(
        change: Change,
        encoded: String,
    ): ProposeOutcome {
        val transaction =
            Transaction(
                operationId = change.operationId,
                conditions =
                    listOf(
                        RowCondition(HEAD_KEY, change.version - 1),
                        RowCondition(changeKey(change.version), 0),
                    ),
                writes =
                    listOf(
                        RowWrite(HEAD_KEY, change.version.toString()),
                        RowWrite(changeKey(change.version), encoded),
                    ),
            )
        repeat(SETTLE_ATTEMPTS) { attempt ->
            when (val outcome = table.transact(transaction)) {
                is WriteOutcome.Applied -> return stored(change)
                is WriteOutcome.Conflict -> return settle(change)
                is WriteOutcome.Unavailable ->
                    if (attempt == 0) return ProposeOutcome.Unavailable(outcome.cause)
                is WriteOutcome.Unknown -> Unit
            }
        }
        return ProposeOutcome.Unknown(change.operationId)
    }

    private suspend fun stored(change: Change): ProposeOutcome {
        catchUp()
        return ProposeOutcome.Stored(change.version)
    }

    // The head has moved: the change stands at its version, or it never will.
    private suspend fun settle(change: Change): ProposeOutcome =
        when (val read = table.read(listOf(changeKey(change.version)))) {
            is ReadOutcome.Unavailable -> ProposeOutcome.Unknown(change.operationId)
            is ReadOutcome.Found -> {
                val row = read.value.single()
                catchUp()
                when {
                    row.version == 0L -> ProposeOutcome.Conflict(current.value.version)
                    decodeChange(row.value).operationId == change.operationId -> ProposeOutcome.Stored(change.version)
                    else -> ProposeOutcome.Conflict(current.value.version)
                }
            }
        }

    private suspend fun catchUp(): ReadOutcome<Long> {
        val head =
            when (val read = table.read(listOf(HEAD_KEY))) {
                is ReadOutcome.Unavailable -> return read
                is ReadOutcome.Found -> read.value.single()
            }
        while (current.value.version < head.version) {
            val after = changeKey(current.value.version)
            val rows =
                when (val read = table.scan(CHANGE_PREFIX, after, SCAN_LIMIT_ROWS)) {
                    is ReadOutcome.Unavailable -> return read
                    is ReadOutcome.Found -> read.value
                }
            if (rows.isEmpty()) return ReadOutcome.Unavailable("changes after version ${current.value.version} missing")
            rows.forEach { row ->
                val problem = follow(row)
                if (problem != null) return ReadOutcome.Unavailable(problem)
            }
        }
        return ReadOutcome.Found(current.value.version)
    }

    private fun follow(row: Row): String? {
        val change = decodeChange(row.value)
        val state = current.value
        if (change.version != state.version + 1) return "row '${row.key}' does not follow version ${state.version}"
        if (change.previousHash != state.lastHash) return "row '${row.key}' breaks the hash chain of changes"
        return when (val applied = state.apply(change.edit, sha256Hex(row.value))) {
            is ApplyOutcome.Rejected -> "row '${row.key}' cannot be applied: ${applied.problems.first()}"
            is ApplyOutcome.Applied -> {
                current.value = applied.state
                null
            }
        }
    }

    private fun changeKey(version: Long): String = CHANGE_PREFIX + version.toString().padStart(VERSION_DIGITS, '0')
}

/** Creates a change log that has read nothing yet. */
public fun changeLog(
    table: TableService,
    clock: Clock,
): ChangeLog = ChangeLog(table, clock)
