package org.verbenagauge.platform

import io.ktor.http.encodeURLParameter
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.serialization.SerializationException
import org.verbenagauge.entry.jobs.ports.ReadResult
import org.verbenagauge.entry.jobs.ports.RowBatch
import org.verbenagauge.entry.jobs.ports.RowChange
import org.verbenagauge.entry.jobs.ports.RowExpectation
import org.verbenagauge.entry.jobs.ports.RowFeed
import org.verbenagauge.entry.jobs.ports.RowPlace
import org.verbenagauge.entry.jobs.ports.RowStore
import org.verbenagauge.entry.jobs.ports.StoredRow
import org.verbenagauge.entry.jobs.ports.TransactionOutcome
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
            is HttpOutcome.Answered -> transactionOutcome(outcome)
            is HttpOutcome.NotSent -> TransactionOutcome.Unavailable(outcome.cause)
            is HttpOutcome.Unanswered -> TransactionOutcome.Unknown(outcome.cause)
        }
    }

    private fun transactionOutcome(answer: HttpOutcome.Answered): TransactionOutcome =
        when (answer.status) {
            OK -> TransactionOutcome.Applied(rows(answer.body)?.rowVersion ?: 0)
            CONDITION_FAILED -> TransactionOutcome.Conflict(rows(answer.body)?.rows.orEmpty().map(::stored))
            else -> TransactionOutcome.Unavailable("status ${answer.status}")
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
                when (val read = page(query(place, from), READ_TIMEOUT_MILLIS)) {
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
    ): ReadResult<WireRows> = readResult(link.exchange(HttpCall("GET", query), timeoutMillis))

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
            return when (val read = readResult(outcome)) {
                is ReadResult.Read -> ReadResult.Read(RowBatch(read.value.rows.map(::stored), read.value.rowVersion))
                is ReadResult.Failed -> read
                is ReadResult.HistoryGone -> read
            }
        }

        override fun close() {
            connection.close()
        }
    }

    private fun readResult(outcome: HttpOutcome): ReadResult<WireRows> =
        when (outcome) {
            is HttpOutcome.Answered ->
                when (outcome.status) {
                    OK -> rows(outcome.body)?.let { ReadResult.Read(it) } ?: ReadResult.Failed("unreadable answer")
                    GONE -> ReadResult.HistoryGone
                    else -> ReadResult.Failed("status ${outcome.status}")
                }

            is HttpOutcome.NotSent -> ReadResult.Failed(outcome.cause)
            is HttpOutcome.Unanswered -> ReadResult.Failed(outcome.cause)
        }

    private fun rows(body: ByteArray): WireRows? =
        try {
            wireJson.decodeFromString(WireRows.serializer(), body.decodeToString())
        } catch (_: SerializationException) {
            null
        }

    private fun encode(change: RowChange): String? = change.value?.let { Base64.getEncoder().encodeToString(it) }

    private fun stored(row: WireRow): StoredRow {
        val value = row.value?.takeIf { !row.deleted }?.let(::decodeValue)
        return StoredRow(row.table, row.key, value, row.rowVersion ?: 0)
    }

    // Another writer may have left bytes that are no base64; they read as an empty value.
    private fun decodeValue(text: String): ByteArray =
        try {
            Base64.getDecoder().decode(text)
        } catch (_: IllegalArgumentException) {
            ByteArray(0)
        }

    private companion object {
        const val OK = 200
        const val GONE = 410
        const val CONDITION_FAILED = 412
        const val READ_TIMEOUT_MILLIS = 1_500L

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

/** Reads an address written as host:port; null when [text] has another form. */
internal fun parseHostPort(text: String): HostPort? {
    val port = text.substringAfterLast(':', "").toIntOrNull() ?: return null
    val host = text.substringBeforeLast(':')
    return HostPort(host, port).takeIf { host.isNotEmpty() }
}
