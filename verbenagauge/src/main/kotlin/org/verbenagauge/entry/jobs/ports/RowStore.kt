package org.verbenagauge.entry.jobs.ports

/**
 * A row of the platform's store.
 *
 * @property value content; null for a row that was deleted.
 * @property version version of the row, from one counter for all rows.
 */
public class StoredRow(
    public val table: String,
    public val key: String,
    public val value: ByteArray?,
    public val version: Long,
)

/**
 * Location of a row. Rows of one partition are written one after another; a transaction is limited to one partition.
 */
public data class RowPlace(
    val table: String,
    val partition: String = "",
)

/** Condition that the row [key] at [place] has [version]; version 0 means that the row must not exist. */
public data class RowExpectation(
    val place: RowPlace,
    val key: String,
    val version: Long,
)

/** Write of [value] to the row [key] at [place]; null deletes the row. */
public class RowChange(
    public val place: RowPlace,
    public val key: String,
    public val value: ByteArray?,
)

/** Outcome of a transaction. */
public sealed interface TransactionOutcome {
    /**
     * All changes took effect.
     *
     * @property version version of the changed rows.
     * @property storeMillis time on the store's steady clock, after the changes took effect; null when not reported.
     */
    public data class Applied(
        val version: Long,
        val storeMillis: Long? = null,
    ) : TransactionOutcome

    /** A condition did not hold; nothing took effect. [rows] are the current rows of the conditions. */
    public class Conflict(
        public val rows: List<StoredRow>,
    ) : TransactionOutcome

    /** The store temporarily refused, because of [cause]; nothing took effect. */
    public data class Unavailable(
        val cause: String,
    ) : TransactionOutcome

    /** The store never accepts these changes, because of [cause]; nothing took effect. */
    public data class Rejected(
        val cause: String,
    ) : TransactionOutcome

    /** No answer, because of [cause]: the changes may take effect, now or later. */
    public data class Unknown(
        val cause: String,
    ) : TransactionOutcome
}

/** Outcome of a read. */
public sealed interface ReadResult<out T> {
    /** The store answered with [value]. */
    public data class Read<T>(
        val value: T,
    ) : ReadResult<T>

    /** The store did not answer, because of [cause]. */
    public data class Failed(
        val cause: String,
    ) : ReadResult<Nothing>

    /** The store no longer has the requested part of the change history. */
    public data object HistoryGone : ReadResult<Nothing>
}

/**
 * Rows as of one version, or changes since a version.
 *
 * @property rows rows, or changes in their order.
 * @property version newest version of the store that the answer covers.
 */
public data class RowBatch(
    val rows: List<StoredRow>,
    val version: Long,
)

/** Transactional rows of the platform's store. */
public interface RowStore {
    /** Applies [changes] when all [expectations] hold, waiting up to [timeoutMillis]. */
    public suspend fun transact(
        expectations: List<RowExpectation>,
        changes: List<RowChange>,
        timeoutMillis: Long,
    ): TransactionOutcome

    /** Reads the row [key] at [place]; null when it does not exist. */
    public suspend fun read(
        place: RowPlace,
        key: String,
        timeoutMillis: Long,
    ): ReadResult<StoredRow?>

    /** Reads all rows at [places] page by page; the version of the result is that of the first page. */
    public suspend fun readAll(places: List<RowPlace>): ReadResult<RowBatch>

    /** Opens the change feed of [table]. */
    public fun feed(table: String): RowFeed
}

/** Change feed of one table over a dedicated connection. */
public interface RowFeed {
    /** Waits up to [waitMillis] for changes after [version]. */
    public suspend fun changesAfter(
        version: Long,
        waitMillis: Long,
    ): ReadResult<RowBatch>

    /** Closes the connection. */
    public fun close()
}
