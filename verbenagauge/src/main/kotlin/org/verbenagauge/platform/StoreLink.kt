package org.verbenagauge.platform

import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.jobs.JobMetrics
import org.verbenagauge.entry.logging.Event
import org.verbenagauge.entry.logging.EventLog
import org.verbenagauge.entry.relay.StoreRelay
import org.verbenagauge.http.HttpCall
import org.verbenagauge.http.HttpConnection
import org.verbenagauge.http.HttpOutcome
import org.verbenagauge.http.HttpPool
import org.verbenagauge.http.label

/**
 * Way to the platform's store: direct, or through a peer while the store turns this entry away. Every call to the store
 * may be made twice, since its effects depend on versions of rows.
 */
internal class StoreLink(
    private val selector: SelectorManager,
    private val address: HostPort,
    private val clock: Clock,
    private val scope: CoroutineScope,
    val log: EventLog,
    private val metrics: JobMetrics,
) {
    private val pool = HttpPool(selector, address.host, address.port, clock)
    private var isDirectDown = false
    private var relayUselessUntilMillis = Long.MIN_VALUE

    /** Reaches peers; null when there are none. */
    var relay: StoreRelay? = null

    /** Makes [call] without any peer, over [connection] where the call must not share one. */
    suspend fun direct(
        call: HttpCall,
        timeoutMillis: Long,
        connection: HttpConnection? = null,
    ): HttpOutcome {
        val startedMillis = clock.monotonicMillis()
        val outcome = connection?.exchange(call, timeoutMillis) ?: pool.exchange(call, timeoutMillis)
        metrics.outgoing("store", outcome.label, clock.monotonicMillis() - startedMillis)
        return outcome
    }

    /** Makes [call], over [connection] where the call must not share one. */
    suspend fun exchange(
        call: HttpCall,
        timeoutMillis: Long,
        connection: HttpConnection? = null,
    ): HttpOutcome {
        val earlier = if (isDirectDown) relayed(call, timeoutMillis) else null
        if (earlier != null && isServed(earlier)) return earlier
        val outcome = direct(call, timeoutMillis, connection)
        if (isServed(outcome)) {
            isDirectDown = false
            return outcome
        }
        val other = relayed(call, timeoutMillis)
        if (other != null && isServed(other)) {
            foundDown(outcome)
            return other
        }
        return listOfNotNull(earlier, other).fold(outcome, ::worse)
    }

    /** Closes connections that have been idle for a while. */
    fun closeIdleConnections() = pool.closeIdle()

    /** Opens a connection of its own. */
    fun connection() = HttpConnection(selector, address.host, address.port)

    private suspend fun relayed(
        call: HttpCall,
        timeoutMillis: Long,
    ): HttpOutcome? {
        if (clock.monotonicMillis() < relayUselessUntilMillis) return null
        val first = relay?.exchange(call, timeoutMillis)
        if (first == null || isServed(first)) return first
        val outcome = relay?.exchange(call, timeoutMillis)?.let { if (isServed(it)) it else worse(first, it) } ?: first
        // Without a peer that reaches the store, asking again at once only doubles the calls.
        if (!isServed(outcome)) relayUselessUntilMillis = clock.monotonicMillis() + USELESS_MILLIS
        return outcome
    }

    private fun isServed(outcome: HttpOutcome): Boolean =
        outcome is HttpOutcome.Answered && outcome.status != BUSY && outcome.status != UNAVAILABLE

    // A call that may have been carried out on one way may be carried out.
    private fun worse(
        first: HttpOutcome,
        second: HttpOutcome,
    ): HttpOutcome = if (second is HttpOutcome.Unanswered) second else first

    private fun foundDown(outcome: HttpOutcome) {
        if (isDirectDown) return
        isDirectDown = true
        log.write(Event.PLATFORM_UNAVAILABLE, "the store is reached through a peer: ${describe(outcome)}")
        scope.launch { probe() }
    }

    private fun describe(outcome: HttpOutcome): String =
        if (outcome is HttpOutcome.Answered) "status ${outcome.status}" else "$outcome"

    private suspend fun probe() {
        while (isDirectDown) {
            delay(PROBE_GAP_MILLIS)
            val outcome = direct(HttpCall("GET", PROBE_PATH), PROBE_TIMEOUT_MILLIS)
            if (isServed(outcome)) isDirectDown = false
        }
        log.write(Event.PLATFORM_AVAILABLE, "the store answers directly again")
    }

    private companion object {
        const val BUSY = 429
        const val UNAVAILABLE = 503
        const val USELESS_MILLIS = 700L
        const val PROBE_GAP_MILLIS = 500L
        const val PROBE_TIMEOUT_MILLIS = 500L
        const val PROBE_PATH = "/v1/rows-get?Table=op&From=config&Limit=1"
    }
}
