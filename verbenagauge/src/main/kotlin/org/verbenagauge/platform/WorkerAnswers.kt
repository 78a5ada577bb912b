package org.verbenagauge.platform

import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.doubleOrNull
import kotlinx.serialization.json.jsonPrimitive
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

// Most ends that a worker lists in one answer, by the published protocol.
private const val MOST_ENDS = 500

/** Reads the answer of a worker to an order. */
internal fun readOrderAnswer(answer: HttpOutcome.Answered): OrderOutcome {
    if (answer.status == OK) {
        val clockMillis = decode(WireOrderAnswer.serializer(), answer.body)?.clockMs ?: 0
        return OrderOutcome.Done(clockMillis)
    }
    return OrderOutcome.Refused(refusalOf(answer))
}

/** Reads the answer of a worker to a renewal. */
internal fun readListing(answer: HttpOutcome.Answered): ListingOutcome {
    if (answer.status != OK) return ListingOutcome.Refused(refusalOf(answer))
    val held = decode(WireHeld.serializer(), answer.body) ?: return ListingOutcome.Failed("unreadable answer")
    val listing =
        WorkerListing(
            bornUnixMillis = held.born,
            clockMillis = held.clockMs,
            running = held.running.mapNotNull(::listedRun),
            ended = held.finished.mapNotNull(::listedEnd),
            hasAllEnds = held.finished.size < MOST_ENDS,
        )
    return ListingOutcome.Listed(listing)
}

private const val RUN_FIELDS = 4
private const val END_FIELDS = 5
private const val PERCENT_FIELD = 3
private const val FIGURE_FIELD = 4
private const val HOW_FIELD = 3
private const val SAVED_FIELD = 4

// A row of runs: task, run, saved state, percent of the work, and a rough figure of the last half second.
private fun listedRun(row: JsonArray): ListedRun? {
    if (row.size < RUN_FIELDS) return null
    val taskId = parseTaskId(text(row, 0)) ?: return null
    val runId = row[1].jsonPrimitive.longOrNull ?: return null
    val percent = row[PERCENT_FIELD].jsonPrimitive.doubleOrNull?.toInt() ?: 0
    val figure =
        row
            .getOrNull(FIGURE_FIELD)
            ?.jsonPrimitive
            ?.doubleOrNull
            ?.toLong() ?: 0
    return ListedRun(taskId, runId, text(row, 2), percent, figure)
}

// A row of ends: number, task, run, how it ended, saved state.
private fun listedEnd(row: JsonArray): ListedEnd? {
    if (row.size < END_FIELDS) return null
    val number = row[0].jsonPrimitive.longOrNull ?: return null
    val runId = row[2].jsonPrimitive.longOrNull ?: return null
    return ListedEnd(number, parseTaskId(text(row, 1)), runId, endKind(text(row, HOW_FIELD)), text(row, SAVED_FIELD))
}

private fun text(
    row: JsonArray,
    index: Int,
): String = row[index].jsonPrimitive.content

private fun endKind(how: String): EndKind =
    when (how) {
        "done" -> EndKind.DONE
        "failed" -> EndKind.FAILED
        "stopped" -> EndKind.STOPPED
        "lapsed" -> EndKind.LAPSED
        "broken" -> EndKind.BROKEN
        "alone" -> EndKind.ALONE
        else -> EndKind.UNKNOWN
    }

private fun refusalOf(answer: HttpOutcome.Answered): StartRefusal =
    when (answer.status) {
        CONFLICT -> reasonOf(decode(WireOrderAnswer.serializer(), answer.body)?.reason)
        MALFORMED -> StartRefusal.MALFORMED
        OTHER_LIFE -> StartRefusal.OTHER_LIFE
        else -> StartRefusal.UNHEALTHY
    }

private fun reasonOf(reason: String?): StartRefusal =
    when (reason) {
        "fence" -> StartRefusal.FENCED
        "old" -> StartRefusal.OLD_RUN
        "late" -> StartRefusal.LEASE_PASSED
        "room" -> StartRefusal.NO_ROOM
        "ticket" -> StartRefusal.TICKET
        else -> StartRefusal.MALFORMED
    }

/** Decodes the body of an answer; null when it has another shape. */
internal fun <T> decode(
    serializer: KSerializer<T>,
    body: ByteArray,
): T? =
    try {
        wireJson.decodeFromString(serializer, body.decodeToString())
    } catch (_: SerializationException) {
        null
    } catch (_: IllegalArgumentException) {
        null
    }
