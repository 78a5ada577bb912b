package org.verbenagauge.platform

import io.ktor.network.selector.SelectorManager
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.doubleOrNull
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.longOrNull
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.jobs.JobMetrics
import org.verbenagauge.entry.jobs.model.TaskId
import org.verbenagauge.entry.jobs.model.parseTaskId
import org.verbenagauge.entry.jobs.ports.EndKind
import org.verbenagauge.entry.jobs.ports.ListedEnd
import org.verbenagauge.entry.jobs.ports.ListedRun
import org.verbenagauge.entry.jobs.ports.ListingOutcome
import org.verbenagauge.entry.jobs.ports.OrderOutcome
import org.verbenagauge.entry.jobs.ports.Renewal
import org.verbenagauge.entry.jobs.ports.StartOrder
import org.verbenagauge.entry.jobs.ports.StartRefusal
import org.verbenagauge.entry.jobs.ports.WorkerAddress
import org.verbenagauge.entry.jobs.ports.WorkerGateway
import org.verbenagauge.entry.jobs.ports.WorkerListing
import org.verbenagauge.entry.jobs.ports.WorkerListings
import org.verbenagauge.http.HttpCall
import org.verbenagauge.http.HttpConnection
import org.verbenagauge.http.HttpOutcome
import org.verbenagauge.http.HttpPool
import org.verbenagauge.http.label

private const val OK = 200
private const val MALFORMED = 400
private const val CONFLICT = 409
private const val OTHER_LIFE = 421
private const val LIFE_HEADER = "X-Verbenagauge-Expected-Instance"

/** Orders to workers over HTTP. */
internal class PlatformWorkers(
    private val selector: SelectorManager,
    private val clock: Clock,
    private val metrics: JobMetrics,
) : WorkerGateway {
    private val pools = HashMap<WorkerAddress, HttpPool>()

    override fun listings(address: WorkerAddress): WorkerListings = Listings(selector, address)

    override suspend fun start(
        address: WorkerAddress,
        order: StartOrder,
    ): OrderOutcome {
        val wire =
            WireStart(
                task = order.taskId.toString(),
                runId = order.runId,
                specification = order.payload,
                deadlineMs = order.leaseUntilWorkerMillis,
                fencingToken = order.fencingToken,
                checkpoint = order.checkpoint.ifEmpty { null },
                ticket = order.ticket.ifEmpty { null },
            )
        return order(address, "/v1/run-start", WireStart.serializer(), wire)
    }

    override suspend fun stop(
        address: WorkerAddress,
        taskId: TaskId,
        runId: Long,
        fencingToken: Long,
    ): OrderOutcome {
        val wire = WireStop(taskId.toString(), runId, fencingToken)
        return order(address, "/v1/run-stop", WireStop.serializer(), wire)
    }

    override suspend fun pace(
        address: WorkerAddress,
        taskId: TaskId,
        runId: Long,
        percentage: Int,
        fencingToken: Long,
    ): OrderOutcome {
        val wire = WirePace(taskId.toString(), runId, percentage, fencingToken)
        return order(address, "/v1/pace", WirePace.serializer(), wire)
    }

    private suspend fun <T> order(
        address: WorkerAddress,
        path: String,
        serializer: KSerializer<T>,
        wire: T,
    ): OrderOutcome {
        val pool = pools.getOrPut(address) { HttpPool(selector, address.host, address.port, clock) }
        val body = wireJson.encodeToString(serializer, wire).encodeToByteArray()
        val call = HttpCall("POST", path, listOf(LIFE_HEADER to address.workerId), body)
        val startedMillis = clock.monotonicMillis()
        val outcome = pool.exchange(call, ORDER_TIMEOUT_MILLIS)
        metrics.outgoing("worker", outcome.label, clock.monotonicMillis() - startedMillis)
        return when (outcome) {
            is HttpOutcome.Answered -> orderOutcome(outcome)
            is HttpOutcome.NotSent -> OrderOutcome.NotSent(outcome.cause)
            is HttpOutcome.Unanswered -> OrderOutcome.Unanswered(outcome.cause)
        }
    }

    private fun orderOutcome(answer: HttpOutcome.Answered): OrderOutcome {
        if (answer.status == OK) {
            val clockMillis = decode(WireOrderAnswer.serializer(), answer.body)?.clockMs ?: 0
            return OrderOutcome.Done(clockMillis)
        }
        return OrderOutcome.Refused(refusalOf(answer))
    }

    private companion object {
        // Workers answer in some milliseconds; the same order is sent again after this.
        const val ORDER_TIMEOUT_MILLIS = 500L
    }
}

private class Listings(
    selector: SelectorManager,
    private val address: WorkerAddress,
) : WorkerListings {
    private val connection = HttpConnection(selector, address.host, address.port)

    override val isProven: Boolean get() = connection.isProven

    override suspend fun list(renewal: Renewal): ListingOutcome {
        val wire =
            WireHold(
                fencingToken = renewal.fencingToken,
                ackCursor = renewal.acknowledged,
                deadlineMs = renewal.leaseUntilWorkerMillis,
                waitMs = renewal.waitMillis.takeIf { it > 0 },
            )
        val body = wireJson.encodeToString(WireHold.serializer(), wire).encodeToByteArray()
        val call = HttpCall("POST", "/v1/hold", listOf(LIFE_HEADER to address.workerId), body)
        return when (val outcome = connection.exchange(call, renewal.waitMillis + ANSWER_MILLIS)) {
            is HttpOutcome.Answered -> listingOutcome(outcome)
            is HttpOutcome.NotSent -> ListingOutcome.Failed(outcome.cause)
            is HttpOutcome.Unanswered -> ListingOutcome.Failed(outcome.cause)
        }
    }

    private fun listingOutcome(answer: HttpOutcome.Answered): ListingOutcome {
        if (answer.status != OK) return ListingOutcome.Refused(refusalOf(answer))
        val held = decode(WireHeld.serializer(), answer.body) ?: return ListingOutcome.Failed("unreadable answer")
        val listing =
            WorkerListing(
                bornUnixMillis = held.born,
                clockMillis = held.clockMs,
                running = held.running.mapNotNull(::listedRun),
                ended = held.finished.mapNotNull(::listedEnd),
            )
        return ListingOutcome.Listed(listing)
    }

    override fun close() {
        connection.close()
    }

    private companion object {
        const val ANSWER_MILLIS = 600L
    }
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
