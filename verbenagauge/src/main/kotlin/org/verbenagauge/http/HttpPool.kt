package org.verbenagauge.http

import io.ktor.network.selector.SelectorManager
import org.verbenagauge.entry.clock.Clock

/** Connections to one address that carry requests side by side; used from one coroutine dispatcher of one thread. */
internal class HttpPool(
    private val selector: SelectorManager,
    private val host: String,
    private val port: Int,
    private val clock: Clock,
    private val observer: ConnectionObserver = UnobservedConnections,
) {
    private val idle = ArrayDeque<IdleConnection>()

    /** Sends [call] over a free connection or a new one. */
    suspend fun exchange(
        call: HttpCall,
        timeoutMillis: Long,
    ): HttpOutcome {
        val connection = takeIdle() ?: HttpConnection(selector, host, port, observer)
        val wasProven = connection.isProven
        val outcome = connection.exchange(call, timeoutMillis)
        // A peer may close an idle connection at any time; other idle ones are likely to be dead as well.
        if (outcome !is HttpOutcome.Answered && wasProven) close()
        if (connection.isOpen) idle.addLast(IdleConnection(connection, clock.monotonicMillis()))
        return outcome
    }

    private fun takeIdle(): HttpConnection? {
        val oldest = clock.monotonicMillis() - MAX_IDLE_MILLIS
        while (idle.isNotEmpty()) {
            val last = idle.removeLast()
            if (last.sinceMillis >= oldest) return last.connection
            last.connection.close()
        }
        return null
    }

    /** Closes all idle connections. */
    fun close() {
        idle.forEach { it.connection.close() }
        idle.clear()
    }

    private class IdleConnection(
        val connection: HttpConnection,
        val sinceMillis: Long,
    )

    private companion object {
        const val MAX_IDLE_MILLIS = 10_000L
    }
}
