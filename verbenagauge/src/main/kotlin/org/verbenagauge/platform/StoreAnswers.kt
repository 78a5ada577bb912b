package org.verbenagauge.platform

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.longOrNull
import org.verbenagauge.entry.jobs.ports.ReadResult
import org.verbenagauge.entry.jobs.ports.StoredRow
import org.verbenagauge.entry.jobs.ports.TransactionOutcome
import org.verbenagauge.http.HttpOutcome
import java.util.Base64

private const val OK = 200
private const val GONE = 410
private const val CONDITION_FAILED = 412

// Statuses that say that nothing was done, and that the same call is refused again.
private val rejections = setOf(400, 403, 413)

// Statuses that say that nothing was done for now.
private val refusals = setOf(429, 503, 507)

private const val MAX_QUOTED_CHARACTERS = 200

/** Reads the answer of the store to a transaction; one that is not clear tells no more than none. */
internal fun readTransactionAnswer(answer: HttpOutcome.Answered): TransactionOutcome {
    val unclear = TransactionOutcome.Unknown("unclear answer, status ${answer.status}")
    return when (answer.status) {
        OK ->
            decode(WireApplied.serializer(), answer.body)
                ?.let { TransactionOutcome.Applied(it.rowVersion, storeMillis(it.currentTimeMs)) }
                ?: unclear
        CONDITION_FAILED -> conflict(answer.body) ?: unclear
        in rejections -> TransactionOutcome.Rejected("status ${answer.status}: ${quote(answer.body)}")
        in refusals -> TransactionOutcome.Unavailable("status ${answer.status}")
        else -> unclear
    }
}

private fun storeMillis(value: JsonElement?): Long? =
    (value as? JsonPrimitive)?.longOrNull?.takeIf(exactNumbers::contains)

private fun quote(body: ByteArray): String = body.decodeToString().take(MAX_QUOTED_CHARACTERS)

private fun conflict(body: ByteArray): TransactionOutcome.Conflict? {
    val rows = decode(WireConflict.serializer(), body)?.rows ?: return null
    if (rows.any { it.rowVersion == null }) return null
    return TransactionOutcome.Conflict(rows.map(::stored))
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

// A row without its version would look as if it did not exist.
private fun rows(body: ByteArray): WireRows? =
    decode(WireRows.serializer(), body)?.takeIf { page -> page.rows.all { it.rowVersion != null } }

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
