package org.verbenagauge.platform

import io.ktor.network.selector.SelectorManager
import kotlinx.serialization.json.jsonPrimitive
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

    override suspend fun ticketsFor(
        step: String,
        workerIds: List<String>,
    ): Map<String, String>? {
        val wire = WireAdviseCall(step, workerIds)
        val body = wireJson.encodeToString(WireAdviseCall.serializer(), wire).encodeToByteArray()
        val outcome = pool.exchange(HttpCall("POST", "/v1/advise", body = body), TIMEOUT_MILLIS)
        if (outcome !is HttpOutcome.Answered || outcome.status != OK) return null
        val answer = decode(WireAdviseAnswer.serializer(), outcome.body) ?: return null
        // A row holds the id of a worker and its ticket.
        return answer.allowed
            .filter { it.size >= 2 }
            .associate { it[0].jsonPrimitive.content to it[1].jsonPrimitive.content }
    }

    private companion object {
        const val OK = 200

        // Calls of one entry are answered in turn.
        const val TIMEOUT_MILLIS = 2_000L
    }
}
