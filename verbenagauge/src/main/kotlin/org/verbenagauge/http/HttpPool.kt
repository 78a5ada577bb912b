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
    private var isClosed = false

    /** Sends [call] over a free connection or a new one. */
    suspend fun exchange(
        call: HttpCall,
        timeoutMillis: Long,
    ): HttpOutcome {
        closeIdle()
        val connection = idle.removeLastOrNull()?.connection ?: HttpConnection(selector, host, port, observer)
        val wasProven = connection.isProven
        val outcome = connection.exchange(call, timeoutMillis)
        // A peer may close an idle connection at any time; other idle ones are likely to be dead as well.
        if (outcome !is HttpOutcome.Answered && wasProven) closeAllIdle()
        if (isClosed) connection.close()
        if (connection.isOpen) idle.addLast(IdleConnection(connection, clock.monotonicMillis()))
        return outcome
    }

    /** Closes the connections that have been idle for ten seconds. */
    fun closeIdle() {
        val oldest = clock.monotonicMillis() - MAX_IDLE_MILLIS
        while (idle.isNotEmpty() && idle.first().sinceMillis < oldest) idle.removeFirst().connection.close()
    }

    /** Closes all connections; those that carry a request are closed after it. */
    fun close() {
        isClosed = true
        closeAllIdle()
    }

    private fun closeAllIdle() {
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
