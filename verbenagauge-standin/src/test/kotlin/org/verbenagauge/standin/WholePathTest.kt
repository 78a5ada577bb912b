package org.verbenagauge.standin

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.header
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import org.verbenagauge.entry.caller.CallerHeaders
import org.verbenagauge.entry.settings.LimitSettings

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
        lateinit var path: LoopbackEntry

        beforeSpec { path = loopback() }
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
                    client.request("http://127.0.0.1:${path.callerPort}/v1/queues/${case.queueId}/jobs") {
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
            path.health() shouldBe "ready"
        }
    })

private suspend fun loopback(): LoopbackEntry {
    val endpoint = EndpointStandIn("worker-0", runMillis = 0).server("127.0.0.1", 0).start(wait = false)
    val port =
        endpoint.engine
            .resolvedConnectors()
            .first()
            .port
    return LoopbackEntry.start(listOf(port), LimitSettings(maxBodyBytes = 1_000, staleAfterMillis = 60_000))
}
