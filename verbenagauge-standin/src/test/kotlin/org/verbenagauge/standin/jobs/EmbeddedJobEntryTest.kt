package org.verbenagauge.standin.jobs

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse

private const val KEY = "key-of-the-test"
private const val VERDICT = "Verbenagauge-Verdict"
private const val REASON = "Verbenagauge-Reason"
private const val MOST_LOOKS = 20_000
private const val ONE_TASK = """{"payload":"sleep 20","steps":[{"taskCount":1,"amount":{"cpuMillis":500}}]}"""
private const val TWO_STEPS =
    """{"payload":"sleep 20","steps":[{"taskCount":3,"amount":{"cpuMillis":500}},
    {"taskCount":2,"amount":{"cpuMillis":500},"dependsOn":[0]}]}"""
private const val FAILING = """{"payload":"fail 10","steps":[{"taskCount":1,"amount":{"cpuMillis":500}}]}"""
private const val LASTING =
    """{"payload":"forever","steps":[{"taskCount":2,"amount":{"cpuMillis":500},"isLasting":true}]}"""

private class Caller(
    private val port: Int,
) {
    private val client = HttpClient.newHttpClient()

    fun send(
        method: String,
        path: String,
        body: String = "",
        key: String? = KEY,
        waitMillis: String? = null,
    ): HttpResponse<String> {
        val request = HttpRequest.newBuilder(URI("http://127.0.0.1:$port/v1/jobs/$path"))
        key?.let { request.header("Authorization", "Bearer $it") }
        waitMillis?.let { request.header("Verbenagauge-Deadline-Millis", it) }
        request.method(method, HttpRequest.BodyPublishers.ofString(body))
        return client.send(request.build(), HttpResponse.BodyHandlers.ofString())
    }

    // Each look is an exchange with the entry; their number is the bound.
    fun lookUntil(
        path: String,
        state: String,
    ): String {
        repeat(MOST_LOOKS) {
            val body = send("GET", path).body()
            if ("\"$state\"" in body) return state
            java.util.concurrent.locks.LockSupport
                .parkNanos(20_000_000)
        }
        return send("GET", path).body()
    }
}

private data class RefusedCase(
    val name: String,
    val reason: String,
    val status: Int,
    val method: String = "PUT",
    val path: String = "tallies/lot-1",
    val body: String = ONE_TASK,
    val key: String? = KEY,
    val waitMillis: String? = null,
)

class EmbeddedJobEntryTest :
    FunSpec({
        val entry = embeddedJobEntry(workerCount = 2, key = KEY)
        val caller = Caller(entry.start("127.0.0.1", 0))
        afterSpec { entry.stop() }

        test("a job of two steps is accepted, run and shown as completed") {
            val accepted = caller.send("PUT", "tallies/lot-two-steps", TWO_STEPS)
            accepted.statusCode() shouldBe 200
            accepted.headers().firstValue(VERDICT).get() shouldBe "ran"
            caller.lookUntil("tallies/lot-two-steps", "completed") shouldBe "completed"
        }

        test("the same id is one job, however often it is handed in") {
            repeat(3) { caller.send("PUT", "tallies/lot-again", ONE_TASK).statusCode() shouldBe 200 }
            caller.lookUntil("tallies/lot-again", "completed") shouldBe "completed"
        }

        test("a job whose task fails as often as its queue allows is shown as failed") {
            caller.send("PUT", "tallies/lot-failing", FAILING).statusCode() shouldBe 200
            caller.lookUntil("tallies/lot-failing", "failed") shouldBe "failed"
        }

        test("a lasting job runs until it is cancelled") {
            caller.send("PUT", "reports/lasting", LASTING).statusCode() shouldBe 200
            caller.lookUntil("reports/lasting", "active") shouldBe "active"
            caller.send("DELETE", "reports/lasting").statusCode() shouldBe 200
            caller.lookUntil("reports/lasting", "cancelled") shouldBe "cancelled"
        }

        test("the number of waiting jobs of a queue is told") {
            val answer = caller.send("GET", "reports")
            answer.statusCode() shouldBe 200
            answer.body() shouldContain "\"pending\":"
        }

        context("a call that cannot be taken is answered with a reason, and has not run") {
            withData(
                nameFn = { it.name },
                RefusedCase("no such queue", "unknown-queue", 404, path = "nothing/lot-1"),
                RefusedCase("no key", "key-missing", 401, key = null),
                RefusedCase("a wrong key", "key-unknown", 401, key = "wrong"),
                RefusedCase("an id with a dot", "job-id-malformed", 400, path = "tallies/lot.1"),
                RefusedCase("no JSON", "job-malformed", 400, body = "tally"),
                RefusedCase("an unknown field", "job-malformed", 400, body = """{"payload":"","steps":[],"speed":1}"""),
                RefusedCase("no step", "job-malformed", 400, body = """{"payload":"","steps":[]}"""),
                RefusedCase(
                    "a step that depends on itself",
                    "job-malformed",
                    400,
                    body = """{"payload":"","steps":[{"taskCount":1,"amount":{},"dependsOn":[0]}]}""",
                ),
                RefusedCase("a deadline in words", "deadline-malformed", 400, waitMillis = "soon"),
                RefusedCase("a body that is too large", "body-too-large", 413, body = "x".repeat(70_000)),
                RefusedCase("a job that nobody handed in", "job-unknown", 404, method = "GET", path = "tallies/none"),
                RefusedCase("a cancel of no job", "job-unknown", 404, method = "DELETE", path = "tallies/none"),
            ) { case ->
                val answer = caller.send(case.method, case.path, case.body, case.key, case.waitMillis)
                answer.headers().firstValue(REASON).get() shouldBe case.reason
                answer.headers().firstValue(VERDICT).get() shouldBe "not-run"
                answer.statusCode() shouldBe case.status
            }
        }
    })
