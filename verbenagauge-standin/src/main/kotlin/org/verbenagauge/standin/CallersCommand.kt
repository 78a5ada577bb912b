package org.verbenagauge.standin

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpHeaders
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.required
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.runBlocking
import org.verbenagauge.entry.caller.CallerHeaders
import java.io.IOException
import kotlin.system.exitProcess

/**
 * One kind of request that the demo's callers send.
 *
 * @property queueId queue.
 * @property key key, or null for none.
 */
private data class DemoRequest(
    val queueId: String,
    val key: String?,
)

/** What came back for a request. */
private data class DemoOutcome(
    val request: DemoRequest,
    val verdict: String,
    val reason: String,
    val whole: Boolean,
)

@OptIn(ExperimentalCli::class)
internal class CallersCommand : Subcommand("callers", "Send jobs to entries and print what was served and refused.") {
    private val entries by option(ArgType.String, "entries", description = "Caller addresses, with commas").required()
    private val requests by option(ArgType.Int, "requests", description = "Number of requests").default(300)

    override fun execute() {
        val outcomes = runBlocking { sendAll() }
        outcomes
            .groupingBy { "${it.request.queueId} key=${it.request.key ?: "none"}: ${it.verdict} (${it.reason})" }
            .eachCount()
            .toSortedMap()
            .forEach { (line, count) -> println("%5d  %s".format(count, line)) }
        val crossed = outcomes.count { !it.whole }
        println("answers that were not the caller's own: $crossed")
        if (crossed > 0) exitProcess(1)
    }

    private suspend fun sendAll(): List<DemoOutcome> {
        val bases = entries.split(',')
        val client = HttpClient(CIO) { engine { maxConnectionsCount = MAX_CONNECTIONS } }
        return client.use {
            coroutineScope {
                List(requests) { index ->
                    async { send(client, bases[index % bases.size], kinds[index % kinds.size], "job $index") }
                }.awaitAll()
            }
        }
    }

    private suspend fun send(
        client: HttpClient,
        base: String,
        request: DemoRequest,
        body: String,
    ): DemoOutcome =
        try {
            val response =
                client.post("$base/v1/queues/${request.queueId}/jobs") {
                    request.key?.let { header(HttpHeaders.Authorization, "Bearer $it") }
                    setBody(body)
                }
            val verdict = response.headers[CallerHeaders.VERDICT].orEmpty()
            val whole = verdict != "ran" || response.bodyAsText() == body
            DemoOutcome(request, verdict, response.headers[CallerHeaders.REASON].orEmpty(), whole)
        } catch (e: IOException) {
            DemoOutcome(request, "no answer", e.javaClass.simpleName, whole = true)
        }

    private companion object {
        const val MAX_CONNECTIONS = 1_000
        val kinds =
            listOf(
                DemoRequest("tallies", demoKey("growers")),
                DemoRequest("inspections", demoKey("buyers")),
                DemoRequest("ledger", demoKey("growers")),
                DemoRequest("ledger", demoKey("buyers")),
                DemoRequest("tallies", null),
                DemoRequest("inspections", "withdrawn"),
                DemoRequest("unknown", demoKey("growers")),
            )
    }
}
