package org.verbenagauge.standin.fleet

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.http.HttpHeaders
import io.ktor.server.engine.EmbeddedServer
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.verbenagauge.entry.Reason
import org.verbenagauge.entry.caller.CallerHeaders
import org.verbenagauge.entry.clock.systemClock
import org.verbenagauge.entry.entry
import org.verbenagauge.entry.fleet.WaveStage
import org.verbenagauge.entry.settings.EntrySettings
import org.verbenagauge.entry.settings.FleetSettings
import org.verbenagauge.entry.settings.IdentitySettings
import org.verbenagauge.entry.settings.ListenerSettings
import org.verbenagauge.entry.settings.PlatformSettings
import org.verbenagauge.entry.state.control.ConfigurationEdit
import org.verbenagauge.entry.state.control.Edit
import org.verbenagauge.entry.state.control.FleetEdit
import org.verbenagauge.entry.state.document.AvailabilityBudget
import org.verbenagauge.entry.state.document.Configuration
import org.verbenagauge.entry.state.document.Pool
import org.verbenagauge.entry.state.document.Queue
import org.verbenagauge.entry.state.document.Wave
import org.verbenagauge.entry.state.log.changeLog
import org.verbenagauge.entry.state.store.InstancePhase
import org.verbenagauge.entry.state.store.ListedInstance
import org.verbenagauge.entry.state.store.httpPlatform
import org.verbenagauge.standin.EndpointStandIn
import org.verbenagauge.standin.PlatformStandIn
import java.util.Collections

private const val HOST = "127.0.0.1"
private const val WORKERS = 3
private const val RUN_MILLIS = 20L
private const val MAX_RUN_MILLIS = 2_000L

private val document =
    Configuration(
        pools = listOf(Pool("a", "a", AvailabilityBudget(maxAway = 1))),
        queues = listOf(Queue("q", "a", openToAll = true, maxRunMillis = MAX_RUN_MILLIS)),
        waves = listOf(Wave("w")),
    )

class WavePathTest :
    FunSpec({
        test("given callers and a wave, when an entry drives it, then each worker reboots once and no request fails") {
            val client = HttpClient(CIO)
            val platform = PlatformStandIn().apply { rebootMillis = 200 }
            val rebooted = Collections.synchronizedList(ArrayList<String>())
            platform.onReboot = { rebooted += it }
            val workers = (0 until WORKERS).map { startWorker(it, platform) }
            val platformServer = platform.server(HOST, 0).start(wait = false)
            val platformBase = "http://$HOST:${platformServer.port()}"
            storeDocument(platformBase)
            val entry = entry(entrySettings(platformBase))
            entry.start()
            entry.awaitReady()
            val refusals = Collections.synchronizedList(ArrayList<String>())
            coroutineScope {
                val callers = launch { submitForever(client, entry.callerPort(), refusals) }
                while (entry.fleet
                        .progress()
                        .waves
                        .single()
                        .stage != WaveStage.FINISHED
                ) {
                    delay(50)
                }
                callers.cancelAndJoin()
            }
            refusals shouldBe emptyList()
            rebooted shouldContainExactlyInAnyOrder (0 until WORKERS).map { "worker-$it" }
            entry.stop()
            (workers + platformServer).forEach { it.stop(0, 0) }
            client.close()
        }
    })

private suspend fun submitForever(
    client: HttpClient,
    callerPort: Int,
    refusals: MutableList<String>,
) {
    while (true) {
        val response =
            client.post("http://$HOST:$callerPort/v1/queues/q/jobs") {
                header(HttpHeaders.ContentType, "text/plain")
                setBody("lot 7")
            }
        val reason = response.headers[CallerHeaders.REASON].orEmpty()
        // On a loaded machine the entry may not hear from the table service in time.
        if (reason != Reason.SERVED.code && reason != Reason.ENTRY_STALE.code) refusals += reason
    }
}

private suspend fun EmbeddedServer<*, *>.port() =
    engine
        .resolvedConnectors()
        .first()
        .port

private suspend fun startWorker(
    number: Int,
    platform: PlatformStandIn,
): EmbeddedServer<*, *> {
    val server = EndpointStandIn("worker-$number", RUN_MILLIS).server(HOST, 0).start(wait = false)
    platform.put(
        ListedInstance(
            "worker-$number",
            HOST,
            server.port(),
            "zone-$number",
            "rack-$number",
            "region-0",
            InstancePhase.LIVE,
        ),
    )
    return server
}

private suspend fun storeDocument(platformBase: String) {
    val log = changeLog(httpPlatform(platformBase, timeoutMillis = 5_000).table, systemClock())
    log.refresh()
    val edits: List<Edit> =
        listOf(ConfigurationEdit.Replace(document)) +
            (0 until WORKERS).map { FleetEdit.AssignInstance("worker-$it", "a") }
    edits.forEachIndexed { i, edit -> log.propose(log.state.value.version, edit, "test", "test-$i") }
}

private fun entrySettings(platformBase: String) =
    EntrySettings(
        entry = IdentitySettings("entry-0", "zone-0", "region-0"),
        caller = ListenerSettings(HOST, 0),
        operator = ListenerSettings(HOST, 0),
        platform = PlatformSettings(platformBase, timeoutMillis = 5_000, pollMillis = 50),
        fleet = FleetSettings(tickMillis = 20, drainMarginMillis = 20, healthyMillis = 50, maxListAgeMillis = 60_000),
    )
