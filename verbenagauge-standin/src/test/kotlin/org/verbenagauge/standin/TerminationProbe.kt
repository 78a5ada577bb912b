package org.verbenagauge.standin

import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import org.verbenagauge.entry.listener.ListenerAddress
import org.verbenagauge.entry.listener.httpListener
import org.verbenagauge.entry.stopOnTermination

private const val LONGEST_MILLIS = 60_000L

/**
 * Process that holds a running request and then gets SIGTERM from [TerminationTest]. Prints `held`, and the reason of
 * the answer to the request, which its endpoint gives only after the stop has begun.
 */
internal fun main() {
    // The stand-ins start servers before the entry; a process of the product starts none but such listeners.
    httpListener(ListenerAddress("127.0.0.1", 0)) {}
    runBlocking {
        val endpoint = FaultyEndpoint(EndpointFault.LATE)
        val loopback = LoopbackEntry.start(listOf(endpoint.port))
        stopOnTermination(loopback.entry, LONGEST_MILLIS)
        val held = async { loopback.send("inspections", "lot 7") }
        eventually { endpoint.readBodies.isNotEmpty() }
        println("held")
        eventually { loopback.health() == "stopping" }
        println(loopback.send("inspections", "new").reason)
        endpoint.release()
        println(held.await().reason)
    }
    Thread.currentThread().join()
}
