package org.verbenagauge.entry.fleet

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.get
import io.ktor.http.isSuccess
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException

private const val PROBE_TIMEOUT_MILLIS = 1_000L

/** Asks an endpoint for its health. */
public fun interface HealthProbe {
    /** Whether the endpoint at [host] and [port] answers that it is healthy. */
    public suspend fun isHealthy(
        host: String,
        port: Int,
    ): Boolean
}

/** Creates a probe that asks `GET /health` and takes a 2xx answer for healthy. */
public fun httpHealthProbe(): HealthProbe {
    val client = HttpClient(CIO) { expectSuccess = false }
    return HealthProbe { host, port ->
        try {
            withTimeoutOrNull(PROBE_TIMEOUT_MILLIS) {
                client.get("http://$host:$port/health").status.isSuccess()
            } ?: false
        } catch (e: IOException) {
            false
        }
    }
}
