package org.verbenagauge.platform

import io.ktor.http.encodeURLParameter
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import org.verbenagauge.entry.jobs.ports.ReadResult
import org.verbenagauge.entry.jobs.ports.RowBatch
import org.verbenagauge.entry.jobs.ports.RowChange
import org.verbenagauge.entry.jobs.ports.RowExpectation
import org.verbenagauge.entry.jobs.ports.RowFeed
import org.verbenagauge.entry.jobs.ports.RowPlace
import org.verbenagauge.entry.jobs.ports.RowStore
import org.verbenagauge.entry.jobs.ports.StoredRow
import org.verbenagauge.entry.jobs.ports.TransactionOutcome
import org.verbenagauge.entry.logging.Event
import org.verbenagauge.http.HttpCall
import org.verbenagauge.http.HttpOutcome
import java.util.Base64

/** The platform's store over HTTP. */
internal class PlatformStore(
    private val link: StoreLink,
) : RowStore {
    override suspend fun transact(
        expectations: List<RowExpectation>,
        changes: List<RowChange>,
        timeoutMillis: Long,
    ): TransactionOutcome {
        val transaction =
            WireTransaction(
                expected =
                    expectations.map {
                        WireRow(
                            it.place.table,
                            it.place.partition,
                            it.key,
                            rowVersion = it.version,
                        )
                    },
                write =
                    changes.filter { it.value != null }.map {
                        WireRow(
                            it.place.table,
                            it.place.partition,
                            it.key,
                            encode(it),
                        )
                    },
                remove =
                    changes.filter { it.value == null }.map {
                        WireRow(
                            it.place.table,
                            it.place.partition,
                            it.key,
                        )
                    },
            )
        val body = wireJson.encodeToString(WireTransaction.serializer(), transaction).encodeToByteArray()
        return when (val outcome = link.exchange(HttpCall("POST", "/v1/rows-tx", body = body), timeoutMillis)) {
            is HttpOutcome.Answered -> readTransactionAnswer(outcome).also { logRejection(it, changes, body.size) }
            is HttpOutcome.NotSent -> TransactionOutcome.Unavailable(outcome.cause)
            is HttpOutcome.Unanswered -> TransactionOutcome.Unknown(outcome.cause)
        }
    }

    private fun logRejection(
        outcome: TransactionOutcome,
        changes: List<RowChange>,
        callBytes: Int,
    ) {
        if (outcome !is TransactionOutcome.Rejected) return
        val largest = changes.maxByOrNull { it.value?.size ?: 0 }
        val row = largest?.let { ", the largest '${it.place.table}/${it.key}' with ${it.value?.size ?: 0} bytes" }
        link.log.write(
            Event.STORE_WRITE_REJECTED,
            "${outcome.cause}; ${changes.size} rows in $callBytes bytes${row.orEmpty()}",
        )
    }

    override suspend fun read(
        place: RowPlace,
        key: String,
        timeoutMillis: Long,
    ): ReadResult<StoredRow?> =
        when (val page = page("${query(place, key)}&Limit=1", timeoutMillis)) {
            is ReadResult.Read ->
                ReadResult.Read(
                    page.value.rows
                        .firstOrNull { it.key == key }
                        ?.let(::stored),
                )
            is ReadResult.Failed -> page
            is ReadResult.HistoryGone -> page
        }

    override suspend fun readAll(places: List<RowPlace>): ReadResult<RowBatch> {
        val reads = coroutineScope { places.map { async { readPlace(it) } }.awaitAll() }
        val batches =
            reads.map { read ->
                when (read) {
                    is ReadResult.Read -> read.value
                    is ReadResult.Failed -> return read
                    is ReadResult.HistoryGone -> return read
                }
            }
        return ReadResult.Read(RowBatch(batches.flatMap { it.rows }, batches.minOf { it.version }))
    }

    // The version is that of the first page: changes after it are read again with the feed.
    private suspend fun readPlace(place: RowPlace): ReadResult<RowBatch> {
        val rows = ArrayList<StoredRow>()
        var from = ""
        var version: Long? = null
        while (true) {
            val page =
                when (val read = page("${query(place, from)}&Limit=$PAGE_ROWS", READ_TIMEOUT_MILLIS)) {
                    is ReadResult.Read -> read.value
                    is ReadResult.Failed -> return read
                    is ReadResult.HistoryGone -> return read
                }
            if (version == null) version = page.rowVersion
            page.rows.mapTo(rows, ::stored)
            if (!page.hasMore || page.rows.isEmpty()) return ReadResult.Read(RowBatch(rows, version))
            from = page.rows.last().key + KEY_SUCCESSOR
        }
    }

    private fun query(
        place: RowPlace,
        from: String,
    ): String {
        val table = place.table.encodeURLParameter()
        val part = place.partition.encodeURLParameter()
        return "/v1/rows-get?Table=$table&part=$part&From=${from.encodeURLParameter()}"
    }

    private suspend fun page(
        query: String,
        timeoutMillis: Long,
    ): ReadResult<WireRows> = readRowsAnswer(link.exchange(HttpCall("GET", query), timeoutMillis))

    override fun feed(table: String): RowFeed = Feed(table)

    private inner class Feed(
        private val table: String,
    ) : RowFeed {
        private val connection = link.connection()

        override suspend fun changesAfter(
            version: Long,
            waitMillis: Long,
        ): ReadResult<RowBatch> {
            val query = "/v1/rows-feed?Table=${table.encodeURLParameter()}&Dependencies=$version&WaitMs=$waitMillis"
            val outcome = link.exchange(HttpCall("GET", query), waitMillis + ANSWER_MILLIS, connection)
            return when (val read = readRowsAnswer(outcome)) {
                is ReadResult.Read -> ReadResult.Read(RowBatch(read.value.rows.map(::stored), read.value.rowVersion))
                is ReadResult.Failed -> read
                is ReadResult.HistoryGone -> read
            }
        }

        override fun close() {
            connection.close()
        }
    }

    private fun encode(change: RowChange): String? = change.value?.let { Base64.getEncoder().encodeToString(it) }

    private companion object {
        const val READ_TIMEOUT_MILLIS = 1_500L

        // Decoded in some milliseconds, so that renewals are not held up between two pages.
        const val PAGE_ROWS = 200

        // Beyond the wait that the call itself asks for.
        const val ANSWER_MILLIS = 600L
        const val KEY_SUCCESSOR = '\u0000'
    }
}

/**
 * Address of a service.
 *
 * @property host IP number.
 * @property port TCP port.
 */
internal data class HostPort(
    val host: String,
    val port: Int,
)

// Port 0 stands for a free one, where an address is listened at.
private val ports = 0..65_535

/** Reads an address written as host:port; null when [text] has another form, or no TCP port. */
internal fun parseHostPort(text: String): HostPort? {
    val port = text.substringAfterLast(':', "").toIntOrNull() ?: return null
    val host = text.substringBeforeLast(':')
    return HostPort(host, port).takeIf { host.isNotEmpty() && port in ports }
}
