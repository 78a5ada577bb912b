package org.verbenagauge.entry.jobs

import org.verbenagauge.entry.jobs.ports.ReadResult
import org.verbenagauge.entry.jobs.ports.RowBatch
import org.verbenagauge.entry.jobs.ports.RowChange
import org.verbenagauge.entry.jobs.ports.RowExpectation
import org.verbenagauge.entry.jobs.ports.RowFeed
import org.verbenagauge.entry.jobs.ports.RowPlace
import org.verbenagauge.entry.jobs.ports.RowStore
import org.verbenagauge.entry.jobs.ports.StoredRow
import org.verbenagauge.entry.jobs.ports.TransactionOutcome

/** Outcome of one transaction. */
internal enum class StoreFault {
    /** Carried out and answered. */
    NONE,

    /** Refused; nothing is changed. */
    REFUSED,

    /** Carried out, but the answer is lost. */
    ANSWER_LOST,

    /** The call is lost and nothing is changed, which the caller cannot tell from [ANSWER_LOST]. */
    CALL_LOST,
}

/**
 * Row store in memory; each transaction takes its outcome from [faults], or [StoreFault.NONE] when that is empty.
 * Transactions with a row above [maxRowBytes] are rejected.
 */
internal class MemoryRowStore(
    private val maxRowBytes: Int = Int.MAX_VALUE,
) : RowStore {
    /** Keys of the rows in each rejected transaction. */
    val rejectedKeys = ArrayList<List<String>>()

    /** Key of a row that is rejected in any size; null for none. */
    var rejectedKey: String? = null
    val faults = ArrayDeque<StoreFault>()
    private val rows = LinkedHashMap<Pair<RowPlace, String>, StoredRow>()
    private var version = 0L
    var isReadable = true

    override suspend fun transact(
        expectations: List<RowExpectation>,
        changes: List<RowChange>,
        timeoutMillis: Long,
    ): TransactionOutcome =
        when (faults.removeFirstOrNull() ?: StoreFault.NONE) {
            StoreFault.NONE -> apply(expectations, changes)
            StoreFault.REFUSED -> TransactionOutcome.Unavailable("refused")
            StoreFault.CALL_LOST -> TransactionOutcome.Unknown("lost")
            StoreFault.ANSWER_LOST -> {
                apply(expectations, changes)
                TransactionOutcome.Unknown("lost")
            }
        }

    private fun apply(
        expectations: List<RowExpectation>,
        changes: List<RowChange>,
    ): TransactionOutcome {
        if (changes.any { (it.value?.size ?: 0) > maxRowBytes || it.key == rejectedKey }) {
            rejectedKeys += changes.map { it.key }
            return TransactionOutcome.Rejected("value too long")
        }
        val isMet = expectations.all { (rows[it.place to it.key]?.version ?: 0) == it.version }
        if (!isMet) return TransactionOutcome.Conflict(expectations.mapNotNull { rows[it.place to it.key] })
        version++
        changes.forEach { change ->
            val key = change.place to change.key
            val value = change.value
            if (value ==
                null
            ) {
                rows.remove(key)
            } else {
                rows[key] = StoredRow(change.place.table, change.key, value, version)
            }
        }
        return TransactionOutcome.Applied(version)
    }

    override suspend fun read(
        place: RowPlace,
        key: String,
        timeoutMillis: Long,
    ): ReadResult<StoredRow?> = if (isReadable) ReadResult.Read(row(place, key)) else ReadResult.Failed("down")

    fun row(
        place: RowPlace,
        key: String,
    ): StoredRow? = rows[place to key]

    /** Number of rows at [place]. */
    fun rowCount(place: RowPlace): Int = rows.keys.count { it.first == place }

    /** Stores [value] as another writer does. */
    fun put(
        place: RowPlace,
        key: String,
        value: ByteArray,
    ) {
        rows[place to key] = StoredRow(place.table, key, value, ++version)
    }

    override suspend fun readAll(places: List<RowPlace>): ReadResult<RowBatch> =
        ReadResult.Read(RowBatch(rows.filterKeys { it.first in places }.values.toList(), version))

    override fun feed(table: String): RowFeed = error("MemoryRowStore has no change feed")
}
