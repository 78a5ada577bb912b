package org.verbenagauge.standin

import io.ktor.http.HttpStatusCode
import io.ktor.server.cio.CIO
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.request.receive
import io.ktor.server.response.respondBytes
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.routing
import kotlinx.coroutines.delay
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/**
 * Stand-in for an endpoint: answers a job with its own body after a run time.
 *
 * @param instanceId instance that it stands for.
 * @param runMillis run time of a job.
 */
public class EndpointStandIn(
    private val instanceId: String,
    private val runMillis: Long,
) {
    private val running = AtomicInteger()
    private val maxRunningSeen = AtomicInteger()
    private val served = AtomicLong()

    /** Jobs that ended here. */
    public val servedCount: Long get() = served.get()

    /** Most jobs that ran here at once. */
    public val maxRunning: Int get() = maxRunningSeen.get()

    /** Creates the HTTP server; port 0 takes a free port. */
    public fun server(
        host: String,
        port: Int,
    ): EmbeddedServer<*, *> =
        embeddedServer(CIO, port = port, host = host) {
            routing {
                post("/v1/queues/{queue}/jobs") {
                    val body = call.receive<ByteArray>()
                    run()
                    call.response.headers.append("Endpoint-Instance", instanceId)
                    call.respondBytes(body, status = HttpStatusCode.OK)
                }
                get("/health") { call.respondText("ok\n") }
                get("/stats") { call.respondText("served=$servedCount maxRunning=$maxRunning\n") }
            }
        }

    private suspend fun run() {
        val now = running.incrementAndGet()
        maxRunningSeen.accumulateAndGet(now, ::maxOf)
        try {
            if (runMillis > 0) delay(runMillis)
        } finally {
            running.decrementAndGet()
            served.incrementAndGet()
        }
    }
}
