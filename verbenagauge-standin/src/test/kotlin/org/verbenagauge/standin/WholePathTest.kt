package org.verbenagauge.standin

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import org.verbenagauge.entry.Entry
import org.verbenagauge.entry.caller.CallerHeaders
import org.verbenagauge.entry.clock.systemClock
import org.verbenagauge.entry.entry
import org.verbenagauge.entry.settings.EntrySettings
import org.verbenagauge.entry.settings.IdentitySettings
import org.verbenagauge.entry.settings.LimitSettings
import org.verbenagauge.entry.settings.ListenerSettings
import org.verbenagauge.entry.settings.PlatformSettings
import org.verbenagauge.entry.state.changeLog
import org.verbenagauge.entry.state.httpPlatform

private data class PathCase(
    val name: String,
    val queueId: String,
    val authorization: String?,
    val method: HttpMethod = HttpMethod.Post,
    val deadline: String? = null,
    val body: String = "lot 7",
    val status: Int,
    val verdict: String,
    val reason: String,
)

class WholePathTest :
    FunSpec({
        val growers = "Bearer ${demoKey("growers")}"
        val buyers = "Bearer ${demoKey("buyers")}"
        val client = HttpClient(CIO)
        lateinit var path: LoopbackPath

        beforeSpec { path = loopbackPath() }
        afterSpec {
            path.entry.stop()
            client.close()
        }

        context("given a started entry, when a request arrives, then the answer carries the verdict") {
            withData(
                nameFn = { it.name },
                PathCase("served", "inspections", growers, status = 200, verdict = "ran", reason = "served"),
                PathCase("no key", "inspections", null, status = 401, verdict = "not-run", reason = "key-missing"),
                PathCase(
                    "bad scheme",
                    "inspections",
                    "Basic x",
                    status = 401,
                    verdict = "not-run",
                    reason = "key-malformed",
                ),
                PathCase(
                    "unknown key",
                    "inspections",
                    "Bearer x",
                    status = 401,
                    verdict = "not-run",
                    reason = "key-unknown",
                ),
                PathCase("other team", "ledger", buyers, status = 403, verdict = "not-run", reason = "queue-forbidden"),
                PathCase(
                    "unknown queue",
                    "nothing",
                    growers,
                    status = 404,
                    verdict = "not-run",
                    reason = "unknown-queue",
                ),
                PathCase(
                    "bad deadline",
                    "ledger",
                    growers,
                    deadline = "soon",
                    status = 400,
                    verdict = "not-run",
                    reason = "deadline-malformed",
                ),
                PathCase(
                    "wrong method",
                    "ledger",
                    growers,
                    method = HttpMethod.Put,
                    status = 405,
                    verdict = "not-run",
                    reason = "method-not-allowed",
                ),
                PathCase(
                    "large body",
                    "ledger",
                    growers,
                    body = "x".repeat(2_000),
                    status = 413,
                    verdict = "not-run",
                    reason = "body-too-large",
                ),
            ) { case ->
                val response =
                    client.request("${path.base}/v1/queues/${case.queueId}/jobs") {
                        method = case.method
                        case.authorization?.let { header(HttpHeaders.Authorization, it) }
                        case.deadline?.let { header(CallerHeaders.DEADLINE_MILLIS, it) }
                        setBody(case.body)
                    }
                response.status.value shouldBe case.status
                response.headers[CallerHeaders.VERDICT] shouldBe case.verdict
                response.headers[CallerHeaders.REASON] shouldBe case.reason
                if (case.verdict == "ran") response.bodyAsText() shouldBe case.body
            }
        }

        test("given a started entry, when health is asked for, then it is ready") {
            client.get("${path.operatorBase}/health").bodyAsText() shouldBe "ready\n"
        }
    })

private class LoopbackPath(
    val entry: Entry,
    val base: String,
    val operatorBase: String,
)

private suspend fun loopbackPath(): LoopbackPath {
    val host = "127.0.0.1"
    val endpoint = EndpointStandIn("worker-0", runMillis = 0).server(host, 0).start(wait = false)
    val platform = PlatformStandIn()
    platform.put(
        demoInstance(
            0,
            endpoint.engine
                .resolvedConnectors()
                .first()
                .port,
        ),
    )
    val platformServer = platform.server(host, 0).start(wait = false)
    val platformBase = "http://$host:${platformServer.engine.resolvedConnectors().first().port}"
    seed(changeLog(httpPlatform(platformBase, timeoutMillis = 5_000).table, systemClock()), endpoints = 1)
    val settings =
        EntrySettings(
            entry = IdentitySettings("entry-0", "zone-0", "region-0"),
            caller = ListenerSettings(host, 0),
            operator = ListenerSettings(host, 0),
            platform = PlatformSettings(platformBase),
            limits = LimitSettings(maxBodyBytes = 1_000, staleAfterMillis = 60_000),
        )
    val entry = entry(settings)
    entry.start()
    entry.awaitReady()
    return LoopbackPath(entry, "http://$host:${entry.callerPort()}", "http://$host:${entry.operatorPort()}")
}
