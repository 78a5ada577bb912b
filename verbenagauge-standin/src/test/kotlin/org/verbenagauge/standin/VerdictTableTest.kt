package org.verbenagauge.standin

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.verbenagauge.entry.Job
import org.verbenagauge.entry.JobAnswer
import org.verbenagauge.entry.Reason
import org.verbenagauge.entry.Verdict
import org.verbenagauge.entry.placement.EndpointAddress
import org.verbenagauge.entry.placement.EndpointClientLimits
import org.verbenagauge.entry.placement.httpEndpointClient

private const val NEVER_MILLIS = 600_000L
private const val SHORT_MILLIS = 300L

private data class VerdictRow(
    val fault: EndpointFault,
    val reason: Reason,
    val maxRunMillis: Long = NEVER_MILLIS,
)

/** Each way in which the path to an endpoint fails, and the verdict that it leads to. */
class VerdictTableTest :
    FunSpec({
        val client = httpEndpointClient(EndpointClientLimits(NEVER_MILLIS, maxAnswerBytes = 64, 8))

        suspend fun send(
            endpoint: FaultyEndpoint,
            body: String,
            idempotent: Boolean,
            maxRunMillis: Long = NEVER_MILLIS,
        ): JobAnswer {
            val job = Job("request-1", "tallies", null, null, null, "text/plain", body.encodeToByteArray())
            return client.send(job, EndpointAddress("worker-0", "127.0.0.1", endpoint.port), idempotent, maxRunMillis)
        }

        for (idempotent in listOf(false, true)) {
            context("given an endpoint with a fault, when a request with idempotent=$idempotent is sent, then") {
                withData(
                    nameFn = { "${it.fault} leads to ${it.reason.code}" },
                    VerdictRow(EndpointFault.NONE, Reason.SERVED),
                    VerdictRow(EndpointFault.REFUSE, Reason.CONNECT_FAILED),
                    VerdictRow(EndpointFault.RESET_BEFORE_READING, Reason.CONNECTION_LOST),
                    VerdictRow(EndpointFault.RESET_AFTER_READING, Reason.CONNECTION_LOST),
                    VerdictRow(EndpointFault.CLOSE_AFTER_READING, Reason.CONNECTION_LOST),
                    VerdictRow(EndpointFault.SILENT, Reason.ANSWER_TIMEOUT, SHORT_MILLIS),
                    VerdictRow(EndpointFault.LATE, Reason.ANSWER_TIMEOUT, SHORT_MILLIS),
                    VerdictRow(EndpointFault.HALF_HEADERS, Reason.ANSWER_INVALID),
                    VerdictRow(EndpointFault.HALF_BODY, Reason.CONNECTION_LOST),
                    VerdictRow(EndpointFault.HALF_CHUNKED_BODY, Reason.CONNECTION_LOST),
                    VerdictRow(EndpointFault.STALL_IN_BODY, Reason.ANSWER_TIMEOUT, SHORT_MILLIS),
                    VerdictRow(EndpointFault.BODY_UNTIL_CLOSE, Reason.ANSWER_INVALID),
                    VerdictRow(EndpointFault.GARBAGE, Reason.ANSWER_INVALID),
                    VerdictRow(EndpointFault.SURPLUS, Reason.SERVED),
                    VerdictRow(EndpointFault.DRAINING, Reason.ENDPOINT_DRAINING),
                ) { row ->
                    FaultyEndpoint(row.fault).use { endpoint ->
                        val answer = send(endpoint, "lot 7", idempotent, row.maxRunMillis)
                        answer.reason shouldBe row.reason
                        answer.endpointAnswer?.body?.decodeToString() shouldBe
                            "lot 7".takeIf { row.reason == Reason.SERVED }
                        if (answer.verdict == Verdict.NOT_RUN && row.fault != EndpointFault.DRAINING) {
                            endpoint.readBodies shouldBe emptyList()
                        }
                        endpoint.readBodies.size shouldBeLessThanOrEqualTo 1
                    }
                }
            }
        }

        test("given an answer above the limit, when it is read, then the verdict is ran and no part is passed on") {
            FaultyEndpoint(EndpointFault.NONE).use { endpoint ->
                val answer = send(endpoint, "x".repeat(65), idempotent = false)
                answer.reason shouldBe Reason.ANSWER_TOO_LARGE
                answer.endpointAnswer shouldBe null
            }
        }

        test("given a connection that goes silent after its first answer, when more follow, then each has a new one") {
            FaultyEndpoint(EndpointFault.SILENT_AFTER_FIRST).use { endpoint ->
                repeat(5) { send(endpoint, "lot $it", idempotent = false).reason shouldBe Reason.SERVED }
                endpoint.acceptedCount shouldBe 5
                endpoint.readBodies shouldBe List(5) { "lot $it" }
            }
        }

        test("given a kept connection that has gone silent, when non-idempotent work follows, then it is not touched") {
            FaultyEndpoint(EndpointFault.SILENT_AFTER_FIRST).use { endpoint ->
                send(endpoint, "tally 1", idempotent = true).reason shouldBe Reason.SERVED
                send(endpoint, "lot 1", idempotent = false).reason shouldBe Reason.SERVED
                // Reused only when less than 100 ms have passed, else a new connection serves it.
                send(endpoint, "tally 2", idempotent = true, SHORT_MILLIS).verdict shouldNotBe Verdict.NOT_RUN
                send(endpoint, "lot 2", idempotent = false).reason shouldBe Reason.SERVED
                endpoint.readBodies shouldBe listOf("tally 1", "lot 1", "tally 2", "lot 2")
            }
        }

        test("given an answer that comes after it was given up on, when others ask, then they get their own answers") {
            FaultyEndpoint(EndpointFault.LATE).use { endpoint ->
                send(endpoint, "given up", idempotent = true, SHORT_MILLIS).reason shouldBe Reason.ANSWER_TIMEOUT
                endpoint.release()
                coroutineScope {
                    List(20) { index -> async { send(endpoint, "lot $index", idempotent = index % 2 == 0) } }
                        .map {
                            it
                                .await()
                                .endpointAnswer
                                ?.body
                                ?.decodeToString()
                        } shouldBe List(20) { "lot $it" }
                }
            }
        }

        test("given a request on its way, when its caller is cancelled, then the cancellation is passed on") {
            FaultyEndpoint(EndpointFault.SILENT).use { endpoint ->
                val ended = CompletableDeferred<Throwable?>()
                coroutineScope {
                    val request = launch { send(endpoint, "lot 7", idempotent = false) }
                    request.invokeOnCompletion { ended.complete(it) }
                    while (endpoint.readBodies.isEmpty()) delay(1)
                    request.cancel()
                }
                (ended.await() is kotlin.coroutines.cancellation.CancellationException) shouldBe true
            }
        }
    })
