package org.verbenagauge.platform

import io.ktor.network.selector.SelectorManager
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.jobs.ports.PlacementAdvisor
import org.verbenagauge.http.HttpCall
import org.verbenagauge.http.HttpOutcome
import org.verbenagauge.http.HttpPool

/** Advice on placement over HTTP. */
internal class PlatformAdvisor(
    selector: SelectorManager,
    address: HostPort,
    clock: Clock,
) : PlacementAdvisor {
    private val pool = HttpPool(selector, address.host, address.port, clock)

    /** Closes connections that have been idle for a while. */
    fun closeIdleConnections() = pool.closeIdle()

    override suspend fun ticketsFor(
        step: String,
        workerIds: List<String>,
    ): Map<String, String>? {
        val wire = WireAdviseCall(step, workerIds)
        val body = wireJson.encodeToString(WireAdviseCall.serializer(), wire).encodeToByteArray()
        val outcome = pool.exchange(HttpCall("POST", "/v1/advise", body = body), TIMEOUT_MILLIS)
        return (outcome as? HttpOutcome.Answered)?.let(::readAdvice)
    }

    private companion object {
        // Calls of one entry are answered in turn.
        const val TIMEOUT_MILLIS = 2_000L
    }
}

private const val OK = 200

/** Reads tickets by id of the worker; null when [answer] is no advice. */
internal fun readAdvice(answer: HttpOutcome.Answered): Map<String, String>? {
    if (answer.status != OK) return null
    val advice = decode(WireAdviseAnswer.serializer(), answer.body) ?: return null
    return advice.allowed.mapNotNull(::ticket).toMap()
}

// A row holds the id of a worker and its ticket.
private fun ticket(row: JsonArray): Pair<String, String>? {
    val workerId = (row.getOrNull(0) as? JsonPrimitive)?.contentOrNull ?: return null
    val ticket = (row.getOrNull(1) as? JsonPrimitive)?.contentOrNull ?: return null
    return workerId to ticket
}
