package org.verbenagauge.entry.jobs.front

import kotlinx.coroutines.delay
import org.verbenagauge.entry.jobs.MemoryRowStore
import org.verbenagauge.entry.jobs.owner.OwnerLease
import org.verbenagauge.entry.jobs.owner.StoredTables
import org.verbenagauge.entry.jobs.ports.ReadResult
import org.verbenagauge.entry.jobs.ports.RowBatch
import org.verbenagauge.entry.jobs.ports.RowChange
import org.verbenagauge.entry.jobs.ports.RowFeed
import org.verbenagauge.entry.jobs.ports.RowPlace
import org.verbenagauge.entry.jobs.ports.RowStore
import org.verbenagauge.entry.jobs.records.OwnerRecord

/** A store whose feed answers every 100 ms with the changes of the states, unless the store is unavailable. */
internal class FollowedStore(
    val rows: MemoryRowStore = MemoryRowStore(),
) : RowStore by rows {
    var isUnavailable = false

    override fun feed(table: String): RowFeed =
        object : RowFeed {
            override suspend fun changesAfter(
                version: Long,
                waitMillis: Long,
            ): ReadResult<RowBatch> {
                delay(100)
                if (isUnavailable) return ReadResult.Failed("unavailable")
                val all = rows.readAll(listOf(StoredTables.states)) as ReadResult.Read
                return ReadResult.Read(RowBatch(all.value.rows.filter { it.version > version }, all.value.version))
            }

            override fun close() = Unit
        }

    override suspend fun readAll(places: List<RowPlace>): ReadResult<RowBatch> =
        if (isUnavailable) ReadResult.Failed("unavailable") else rows.readAll(places)

    /** Stores [record] as the owner's row. */
    suspend fun storeOwner(record: OwnerRecord) {
        storeOwnerBytes(OwnerLease.encode(record))
    }

    /** Stores [bytes] as the owner's row; null removes it. */
    suspend fun storeOwnerBytes(bytes: ByteArray?) {
        val row = RowChange(StoredTables.states, StoredTables.OWNER_KEY, bytes)
        rows.transact(emptyList(), listOf(row), 100)
    }
}
