package org.verbenagauge.platform

import kotlinx.serialization.SerializationException
import org.verbenagauge.entry.jobs.ports.ReadResult
import org.verbenagauge.entry.jobs.ports.StoredRow
import org.verbenagauge.entry.jobs.ports.TransactionOutcome
import org.verbenagauge.http.HttpOutcome
import java.util.Base64

private const val OK = 200
private const val GONE = 410
private const val CONDITION_FAILED = 412

/** Reads the answer of the store to a transaction. */
internal fun readTransactionAnswer(answer: HttpOutcome.Answered): TransactionOutcome =
    when (answer.status) {
        OK -> TransactionOutcome.Applied(rows(answer.body)?.rowVersion ?: 0)
        CONDITION_FAILED -> TransactionOutcome.Conflict(rows(answer.body)?.rows.orEmpty().map(::stored))
        else -> TransactionOutcome.Unavailable("status ${answer.status}")
    }

/** Reads the answer of the store to a reading of rows. */
internal fun readRowsAnswer(outcome: HttpOutcome): ReadResult<WireRows> =
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

/** Returns [row] as the rest of the system knows it. */
internal fun stored(row: WireRow): StoredRow {
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
