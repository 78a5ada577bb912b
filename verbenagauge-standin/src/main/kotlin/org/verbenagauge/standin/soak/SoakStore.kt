package org.verbenagauge.standin.soak

import kotlinx.serialization.SerializationException
import org.verbenagauge.entry.jobs.records.OwnerRecord
import org.verbenagauge.entry.jobs.records.RecordCodec
import org.verbenagauge.platform.WireRow
import org.verbenagauge.platform.WireRows
import org.verbenagauge.platform.WireTransaction
import org.verbenagauge.platform.wireJson
import java.util.Base64
import java.util.TreeMap
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

private const val SERVERS = "servers"

/**
 * Stand-in for the platform's store. Linearizable: every call takes effect at one moment under one lock.
 *
 * @param onOwner is told the owner that a write names; only faults are aimed by it.
 */
internal class SoakStore(
    private val onOwner: (entryId: String, epoch: Long) -> Unit,
) {
    private val lock = ReentrantLock()
    private val changed = lock.newCondition()
    private val rows = TreeMap<String, WireRow>()
    private val history = ArrayDeque<WireRow>()
    private var version = 0L
    private var oldestVersion = 0L
    private var ownerEpoch = -1L

    /** Writes the row of [key] in [table] as the platform or the operator does; null removes it. */
    fun put(
        table: String,
        key: String,
        json: String?,
    ) = lock.withLock {
        val row = WireRow(table, "", key)
        val value = json?.let { Base64.getEncoder().encodeToString(it.encodeToByteArray()) }
        if (rows[place(row)]?.value != value) apply(listOf(row.copy(value = value)))
    }

    /** Drops the history, so that feeds have to read whole tables again. */
    fun dropHistory() =
        lock.withLock {
            history.clear()
            oldestVersion = version
        }

    /** Carries [ask] out. */
    fun handle(ask: Ask): Reply =
        when (ask.path) {
            "/v1/rows-tx" -> transact(ask.body)
            "/v1/rows-get" -> get(ask.query)
            "/v1/rows-feed" -> feed(ask.query)
            else -> Reply(BAD_REQUEST)
        }

    private fun transact(body: String): Reply {
        val transaction =
            try {
                wireJson.decodeFromString(WireTransaction.serializer(), body)
            } catch (_: SerializationException) {
                return Reply(BAD_REQUEST)
            }
        val changes = transaction.write + transaction.remove.map { it.copy(value = null) }
        if (changes.any { it.table == SERVERS || it.table == "op" }) return Reply(FORBIDDEN)
        if (changes.size + transaction.expected.size > MOST_ENTRIES) return Reply(BAD_REQUEST)
        return lock.withLock {
            val isMet = transaction.expected.all { (rows[place(it)]?.rowVersion ?: 0) == (it.rowVersion ?: 0) }
            if (isMet) {
                apply(changes)
                reply(OK, emptyList())
            } else {
                reply(CONDITION_FAILED, transaction.expected.mapNotNull { rows[place(it)] })
            }
        }
    }

    private fun apply(changes: List<WireRow>) {
        version++
        changes.forEach { change ->
            val row = change.copy(rowVersion = version, deleted = change.value == null)
            if (row.deleted) rows.remove(place(row)) else rows[place(row)] = row
            history += row
            noteOwner(row)
        }
        while (history.size > MOST_HISTORY) oldestVersion = history.removeFirst().rowVersion ?: 0
        changed.signalAll()
    }

    private fun noteOwner(row: WireRow) {
        if (row.table != "states" || row.key != "owner") return
        val bytes = Base64.getDecoder().decode(row.value.orEmpty())
        val record = RecordCodec.decode(OwnerRecord.serializer(), bytes) ?: return
        if (record.epoch != ownerEpoch || record.entryId.isEmpty()) onOwner(record.entryId, record.epoch)
        ownerEpoch = record.epoch
    }

    private fun get(query: Map<String, String>): Reply =
        lock.withLock {
            val prefix = "${query["Table"]}\u0000${query["part"].orEmpty()}\u0000"
            val limit = query["Limit"]?.toInt() ?: MOST_ROWS
            val found =
                rows
                    .tailMap(prefix + query["From"].orEmpty(), true)
                    .entries
                    .asSequence()
                    .takeWhile { it.key.startsWith(prefix) }
                    .map { it.value }
                    .take(limit + 1)
                    .toList()
            reply(OK, found.take(limit), hasMore = found.size > limit)
        }

    private fun feed(query: Map<String, String>): Reply =
        lock.withLock {
            val since = query["Dependencies"]?.toLong() ?: 0
            var leftNanos = TimeUnit.MILLISECONDS.toNanos(query["WaitMs"]?.toLong() ?: 0)
            while (since >= oldestVersion) {
                val news = after(since).filter { it.table == query["Table"] }
                if (news.isNotEmpty() || leftNanos <= 0) return reply(OK, news)
                leftNanos = changed.awaitNanos(leftNanos)
            }
            Reply(GONE)
        }

    private fun after(since: Long): List<WireRow> =
        history
            .asReversed()
            .asSequence()
            .takeWhile { (it.rowVersion ?: 0) > since }
            .toList()
            .asReversed()

    private fun reply(
        status: Int,
        found: List<WireRow>,
        hasMore: Boolean = false,
    ): Reply {
        val answer = WireRows(found, hasMore, version, currentTimeMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime()))
        return Reply(status, wireJson.encodeToString(WireRows.serializer(), answer))
    }

    private fun place(row: WireRow) = "${row.table}\u0000${row.part}\u0000${row.key}"

    private companion object {
        const val OK = 200
        const val BAD_REQUEST = 400
        const val FORBIDDEN = 403
        const val GONE = 410
        const val CONDITION_FAILED = 412

        // Entries of one transaction and rows of one answer (PROTOCOL, The platform's metadata store).
        const val MOST_ENTRIES = 100
        const val MOST_ROWS = 500
        const val MOST_HISTORY = 20_000
    }
}
