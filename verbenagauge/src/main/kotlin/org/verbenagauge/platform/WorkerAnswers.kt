package org.verbenagauge.platform

import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.doubleOrNull
import kotlinx.serialization.json.longOrNull
import org.verbenagauge.entry.jobs.model.parseTaskId
import org.verbenagauge.entry.jobs.ports.EndKind
import org.verbenagauge.entry.jobs.ports.ListedEnd
import org.verbenagauge.entry.jobs.ports.ListedRun
import org.verbenagauge.entry.jobs.ports.ListingOutcome
import org.verbenagauge.entry.jobs.ports.OrderOutcome
import org.verbenagauge.entry.jobs.ports.StartRefusal
import org.verbenagauge.entry.jobs.ports.WorkerListing
import org.verbenagauge.http.HttpOutcome

private const val OK = 200
private const val MALFORMED = 400
private const val CONFLICT = 409
private const val OTHER_LIFE = 421
private const val BUSY = 429
private const val UNAVAILABLE = 503

// Most ends that a worker lists in one answer, by the published protocol.
private const val MOST_ENDS = 500

// Enough of a row for the log; its saved state may be long.
private const val MOST_ROW_CHARS = 160

/**
 * Reads the answer of a worker to an order. Only refusals that the protocol names say that the order was not carried out;
 * every other answer tells no more than none.
 */
internal fun readOrderAnswer(answer: HttpOutcome.Answered): OrderOutcome {
    val unclear = OrderOutcome.Unanswered("unclear answer, status ${answer.status}")
    if (answer.status != OK) return refusalOf(answer)?.let { OrderOutcome.Refused(it) } ?: unclear
    val clockMillis = decode(WireOrderAnswer.serializer(), answer.body)?.clockMs ?: return unclear
    return if (clockMillis in exactNumbers) OrderOutcome.Done(clockMillis) else unclear
}

/** Reads the answer of a worker to a renewal. One that cannot be read as a whole may lack any run. */
internal fun readListing(answer: HttpOutcome.Answered): ListingOutcome {
    if (answer.status != OK) {
        val refusal = refusalOf(answer) ?: return ListingOutcome.Unreadable("status ${answer.status}")
        return ListingOutcome.Refused(refusal)
    }
    val held = decode(WireHeld.serializer(), answer.body) ?: return ListingOutcome.Unreadable("no listing")
    // Ends of leases are reckoned from the clock; one near the highest number would put them into the past.
    if (held.clockMs !in exactNumbers || held.born !in exactNumbers) {
        return ListingOutcome.Unreadable("clock ${held.clockMs}, start ${held.born}")
    }
    val running = held.running.map { listedRun(it) ?: return unreadable("runs", it) }
    val ended = held.finished.map { listedEnd(it) ?: return unreadable("ends", it) }
    return ListingOutcome.Listed(
        WorkerListing(
            bornUnixMillis = held.born,
            clockMillis = held.clockMs,
            running = running,
            ended = ended,
            hasAllEnds = ended.size < MOST_ENDS,
        ),
    )
}

private fun unreadable(
    list: String,
    row: JsonArray,
) = ListingOutcome.Unreadable("a row of the $list: ${row.toString().take(MOST_ROW_CHARS)}")

private const val RUN_FIELDS = 4
private const val END_FIELDS = 5
private const val PERCENT_FIELD = 3
private const val FULL_PERCENT = 100
private const val FIGURE_FIELD = 4
private const val HOW_FIELD = 3
private const val SAVED_FIELD = 4

// A row of runs: task, run, saved state, percent of the work, and a rough figure of the last half second.
private fun listedRun(row: JsonArray): ListedRun? {
    if (row.size < RUN_FIELDS) return null
    val taskId = text(row, 0)?.let(::parseTaskId) ?: return null
    val runId = number(row, 1) ?: return null
    val checkpoint = text(row, 2) ?: return null
    val percent = figure(row, PERCENT_FIELD).toInt().coerceIn(0, FULL_PERCENT)
    val figure = figure(row, FIGURE_FIELD).toLong().coerceIn(amounts)
    return ListedRun(taskId, runId, checkpoint, percent, figure)
}

// A row of ends: number, task, run, how it ended, saved state.
private fun listedEnd(row: JsonArray): ListedEnd? {
    if (row.size < END_FIELDS) return null
    val number = number(row, 0) ?: return null
    val taskId = text(row, 1)?.let(::parseTaskId) ?: return null
    val runId = number(row, 2) ?: return null
    val kind = text(row, HOW_FIELD)?.let(::endKind) ?: return null
    val checkpoint = text(row, SAVED_FIELD) ?: return null
    return ListedEnd(number, taskId, runId, kind, checkpoint)
}

private fun text(
    row: JsonArray,
    index: Int,
): String? = (row[index] as? JsonPrimitive)?.takeIf { it.isString }?.content

private fun number(
    row: JsonArray,
    index: Int,
): Long? = (row[index] as? JsonPrimitive)?.longOrNull

// Figures are rough, and nothing is decided on the presence of a run by them.
private fun figure(
    row: JsonArray,
    index: Int,
): Double = (row.getOrNull(index) as? JsonPrimitive)?.doubleOrNull ?: 0.0

private fun endKind(how: String): EndKind? =
    when (how) {
        "done" -> EndKind.DONE
        "failed" -> EndKind.FAILED
        "stopped" -> EndKind.STOPPED
        "lapsed" -> EndKind.LAPSED
        "broken" -> EndKind.BROKEN
        "alone" -> EndKind.ALONE
        else -> null
    }

// Null when the answer does not say why, or is none of the protocol.
private fun refusalOf(answer: HttpOutcome.Answered): StartRefusal? =
    when (answer.status) {
        CONFLICT -> reasonOf(decode(WireOrderAnswer.serializer(), answer.body)?.reason)
        MALFORMED -> StartRefusal.MALFORMED
        OTHER_LIFE -> StartRefusal.OTHER_LIFE
        BUSY, UNAVAILABLE -> StartRefusal.UNHEALTHY
        else -> null
    }

private fun reasonOf(reason: String?): StartRefusal? =
    when (reason) {
        "fence" -> StartRefusal.FENCED
        "old" -> StartRefusal.OLD_RUN
        "late" -> StartRefusal.LEASE_PASSED
        "room" -> StartRefusal.NO_ROOM
        "ticket" -> StartRefusal.TICKET
        else -> null
    }

/** Decodes the body of an answer; null when it has another shape, or nests more deeply than any of the platform. */
internal fun <T> decode(
    serializer: KSerializer<T>,
    body: ByteArray,
): T? {
    // The reader of values of any shape calls itself for each level, which would end the thread.
    if (isNestedTooDeeply(body)) return null
    return try {
        wireJson.decodeFromString(serializer, body.decodeToString())
    } catch (_: SerializationException) {
        null
    } catch (_: IllegalArgumentException) {
        null
    }
}
