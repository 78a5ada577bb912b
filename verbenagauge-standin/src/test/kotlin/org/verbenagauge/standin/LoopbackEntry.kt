package org.verbenagauge.standin

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpHeaders
import kotlinx.coroutines.delay
import org.verbenagauge.entry.Entry
import org.verbenagauge.entry.caller.CallerHeaders
import org.verbenagauge.entry.clock.systemClock
import org.verbenagauge.entry.entry
import org.verbenagauge.entry.settings.EntrySettings
import org.verbenagauge.entry.settings.IdentitySettings
import org.verbenagauge.entry.settings.LimitSettings
import org.verbenagauge.entry.settings.ListenerSettings
import org.verbenagauge.entry.settings.PlatformSettings
import org.verbenagauge.entry.state.log.changeLog
import org.verbenagauge.entry.state.store.httpPlatform

private const val HOST = "127.0.0.1"
private const val POLL_MILLIS = 5L

/** One entry instance of the demo on loopback, whose endpoints the test brings along. */
internal class LoopbackEntry private constructor(
    val entry: Entry,
    val callerPort: Int,
    private val operatorPort: Int,
) : AutoCloseable {
    private val client = HttpClient(CIO) { engine { requestTimeout = 0 } }

    suspend fun send(
        queueId: String,
        body: String,
        teamId: String = "growers",
    ): HttpResponse =
        client.post("http://$HOST:$callerPort/v1/queues/$queueId/jobs") {
            header(HttpHeaders.Authorization, "Bearer ${demoKey(teamId)}")
            setBody(body)
        }

    suspend fun health(): String = client.get("http://$HOST:$operatorPort/health").bodyAsText().trim()

    /** Answers with [reason] so far, from the metrics. */
    suspend fun answers(reason: String): Int {
        val metrics = client.get("http://$HOST:$operatorPort/metrics").bodyAsText()
        val line = metrics.lines().firstOrNull { it.startsWith("verbenagauge_answers_total") && "\"$reason\"" in it }
        return line?.substringAfterLast(' ')?.toDouble()?.toInt() ?: 0
    }

    /** Requests that wait, from the metrics. */
    suspend fun queued(): Int {
        val metrics = client.get("http://$HOST:$operatorPort/metrics").bodyAsText()
        val line = metrics.lines().first { it.startsWith("verbenagauge_queued_requests ") }
        return line.substringAfterLast(' ').toDouble().toInt()
    }

    override fun close() = client.close()

    companion object {
        suspend fun start(
            endpointPorts: List<Int>,
            limits: LimitSettings = LimitSettings(staleAfterMillis = 60_000),
        ): LoopbackEntry {
            val platform = PlatformStandIn()
            endpointPorts.forEachIndexed { index, port -> platform.put(demoInstance(index, port)) }
            val server = platform.server(HOST, 0).start(wait = false)
            val base = "http://$HOST:${server.engine.resolvedConnectors().first().port}"
            seed(changeLog(httpPlatform(base, timeoutMillis = 5_000).table, systemClock()), endpointPorts.size)
            val settings =
                EntrySettings(
                    entry = IdentitySettings("entry-0", "zone-0", "region-0"),
                    caller = ListenerSettings(HOST, 0),
                    operator = ListenerSettings(HOST, 0),
                    platform = PlatformSettings(base),
                    limits = limits,
                )
            val entry = entry(settings)
            entry.start()
            entry.awaitReady()
            return LoopbackEntry(entry, entry.callerPort(), entry.operatorPort())
        }
    }
}

/** Waits until [condition] holds. */
internal suspend fun eventually(condition: suspend () -> Boolean) {
    while (!condition()) delay(POLL_MILLIS)
}

internal val HttpResponse.reason: String? get() = headers[CallerHeaders.REASON]
