package org.verbenagauge.platform

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.ktor.server.cio.CIO
import io.ktor.server.engine.embeddedServer
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.asCoroutineDispatcher
import org.verbenagauge.entry.clock.systemClock
import org.verbenagauge.entry.jobs.JobMetrics
import org.verbenagauge.entry.jobs.MemoryRowStore
import org.verbenagauge.entry.jobs.front.JobAdmission
import org.verbenagauge.entry.jobs.front.JobCalls
import org.verbenagauge.entry.jobs.front.JobFront
import org.verbenagauge.entry.jobs.front.PendingCounts
import org.verbenagauge.entry.jobs.front.StateCatalogue
import org.verbenagauge.entry.jobs.model.JobsConfiguration
import org.verbenagauge.entry.jobs.model.QueueConfiguration
import org.verbenagauge.entry.logging.EventLog
import java.io.IOException
import java.net.Socket
import java.util.concurrent.Executors

private const val HOST = "127.0.0.1"
private const val CRLF = "\r\n"
private const val ANSWER_MILLIS = 20_000
private const val DEPTH = 20_000

// As -Xss in deploy/system.toml.
private const val STACK_BYTES = 256L * 1_024
private const val JOB_ID = "00000000000000aa"
private const val GOOD_STEP = """"Count":1,"Cpu":500"""

private data class BodyCase(
    val name: String,
    val body: ByteArray,
    val status: Int = 400,
    val problem: String = "",
)

private data class IdCase(
    val name: String,
    val method: String,
    val id: String,
    val status: Int,
)

private data class RawCase(
    val name: String,
    val bytes: ByteArray,
)

private fun nested(
    open: String,
    close: String,
) = open.repeat(DEPTH) + close.repeat(DEPTH)

private fun jobBody(
    step: String,
    more: String = "",
) = """{"Specification":"x","Steps":[{$step}]$more}""".encodeToByteArray()

private fun step(
    name: String,
    field: String,
    problem: String,
) = BodyCase(name, jobBody("$GOOD_STEP,$field"), problem = problem)

private fun job(
    name: String,
    fields: String,
    problem: String,
) = BodyCase(name, jobBody(GOOD_STEP, ",$fields"), problem = problem)

private fun accepted(
    name: String,
    step: String,
    more: String = "",
) = BodyCase(name, jobBody(step, more), status = 200)

private fun request(
    method: String,
    path: String,
    body: ByteArray,
    vararg headers: String,
): ByteArray {
    val lines = listOf("$method $path HTTP/1.1", "Host: h.example", "Content-Length: ${body.size}") + headers
    return lines.joinToString(CRLF, postfix = CRLF + CRLF).encodeToByteArray() + body
}

private fun goodRequest() = request("POST", "/p/$JOB_ID", jobBody(GOOD_STEP), "Connection: close")

private fun raw(
    name: String,
    head: String,
    body: String = "",
) = RawCase(name, (head.replace("\n", CRLF) + CRLF + CRLF + body).encodeToByteArray())

/** Statuses of all answers to [bytes], after which the caller sends no more. */
private fun statuses(
    port: Int,
    bytes: ByteArray,
): List<Int> = Regex("HTTP/1\\.1 (\\d{3})").findAll(exchange(port, bytes)).map { it.groupValues[1].toInt() }.toList()

private fun exchange(
    port: Int,
    bytes: ByteArray,
): String =
    Socket(HOST, port).use { socket ->
        socket.soTimeout = ANSWER_MILLIS
        try {
            socket.outputStream.write(bytes)
            socket.shutdownOutput()
            socket.inputStream.readBytes().decodeToString()
        } catch (e: IOException) {
            "closed: ${e.message}"
        }
    }

class OddCallAtListenerTest :
    FunSpec({
        val executor = Executors.newSingleThreadExecutor { Thread(null, it, "entry", STACK_BYTES) }
        val dispatcher = executor.asCoroutineDispatcher()
        val clock = systemClock()
        val store = MemoryRowStore()
        val log = EventLog("e")
        val catalogue = StateCatalogue(store, clock, log)
        val calls =
            JobCalls(
                JobFront(store, catalogue, clock),
                PendingCounts(catalogue, clock),
                clock,
                log,
                JobMetrics(PrometheusRegistry()),
                JobAdmission(catalogue, clock, isEnabled = { false }),
            )
        val queue = QueueConfiguration("q", "h.example", "/p/", "s", 0, 1, 1.0, 1_000, isOpen = true)
        calls.configure(JobsConfiguration(1, listOf(queue), emptyMap(), emptyMap(), maxBodyBytes = 262_144))
        val server = embeddedServer(CIO, port = 0, host = HOST) { clientRoutes(calls, dispatcher) }.start(wait = false)
        var port = 0
        beforeSpec {
            port =
                server.engine
                    .resolvedConnectors()
                    .first()
                    .port
        }
        afterSpec {
            server.stop(0, 0)
            executor.shutdownNow()
        }

        test("a count that no owner has made is refused with the time to come back") {
            val answer = exchange(port, request("GET", "/p/", ByteArray(0), "Connection: close"))
            answer.substringBefore(CRLF) shouldBe "HTTP/1.1 503 Service Unavailable"
            answer shouldContain "Retry-After: 1$CRLF"
        }

        fun shouldServe() = statuses(port, goodRequest()) shouldBe listOf(200)

        context("a body is answered, and the same connection and others are served on") {
            withData(
                nameFn = { it.name },
                step("a nested label", """"Requirements":${nested("[", "]")}""", ""),
                step(
                    "a label of nested objects",
                    """"Requirements":${nested("""{"a":""", "}").replace(":}", ":1}")}""",
                    "",
                ),
                step("a nested flag", """"FillCount":${nested("[", "]")}""", ""),
                step("a nested list that is never closed", """"Requirements":${"[".repeat(DEPTH)}""", ""),
                step("a nested number", """"Cpu":${nested("[", "]")}""", ""),
                BodyCase("nested lists alone", nested("[", "]").encodeToByteArray()),
                BodyCase("no text", byteArrayOf(-1, -2, 0, 1)),
                BodyCase(
                    "a text that is no UTF-8",
                    """{"Specification":"x""".encodeToByteArray() + byteArrayOf(-1) +
                        """","Steps":[{"Count":1}]}""".encodeToByteArray(),
                ),
                step("more processor than a number holds", """"Cpu":99999999999999999999""", ""),
                step("the largest processor", """"Cpu":9223372036854775807""", "Cpu"),
                step("negative processor", """"Cpu":-5""", "Cpu"),
                step("the largest memory", """"MemMb":9223372036854775807""", "MemMb"),
                step("negative memory", """"MemMb":-1""", "MemMb"),
                step("negative accelerators", """"Gpu":-1""", "Gpu"),
                step("the longest estimate", """"EstimatedMs":9223372036854775807""", "EstimatedMs"),
                step("a negative estimate", """"EstimatedMs":-1""", "EstimatedMs"),
                step("a negative number on one worker", """"AntiAffinity":-1""", "AntiAffinity"),
                step("a negative number that may be missed", """"MissAllowed":-1""", "MissAllowed"),
                step("an infinite target", """"TargetMs":1e400""", ""),
                step("a target past any time", """"TargetMs":1e30""", "TargetMs"),
                step("a negative target", """"TargetMs":-1""", "TargetMs"),
                step("a step that waits for itself", """"Dependencies":[0]""", "Dependencies"),
                step("a step that waits for a later one", """"Dependencies":[1]""", "Dependencies"),
                step("a step that waits for a negative one", """"Dependencies":[-1]""", "Dependencies"),
                job("negative repetitions", """"Repetitions":-1""", "Repetitions"),
                job("too many repetitions", """"Repetitions":2147483647""", "Repetitions"),
                job("a negative interval", """"Repetitions":2,"IntervalMs":-1""", "IntervalMs"),
                job(
                    "an interval past any time",
                    """"Repetitions":9,"IntervalMs":9223372036854775807""",
                    "IntervalMs",
                ),
                job("a first run past any time", """"FirstRunMs":9223372036854775807""", "FirstRunMs"),
                job("a first run before all time", """"FirstRunMs":-9223372036854775808""", "FirstRunMs"),
                accepted("the least that a job needs", """"Count":1"""),
                accepted(
                    "much of all",
                    """"Count":100,"Cpu":512000,"MemMb":4000000,"Gpu":64,"EstimatedMs":864000000,"TargetMs":60000""",
                ),
                accepted("a label in a list", """$GOOD_STEP,"Requirements":["a"]"""),
                accepted("occurrences at one time", GOOD_STEP, ""","Repetitions":3,"FirstRunMs":1800000000000"""),
                accepted(
                    "a year of occurrences",
                    GOOD_STEP,
                    ""","Repetitions":365,"FirstRunMs":1800000000000,"IntervalMs":86400000""",
                ),
            ) { case ->
                val odd = request("POST", "/p/$JOB_ID", case.body)
                val answer = exchange(port, odd + goodRequest())
                Regex("HTTP/1\\.1 (\\d{3})").findAll(answer).map { it.groupValues[1].toInt() }.toList() shouldBe
                    listOf(case.status, 200)
                answer shouldContain case.problem
                shouldServe()
            }
        }

        context("an id that no task id can carry names no job") {
            withData(
                nameFn = { "${it.method}, ${it.name}" },
                listOf(
                    "with dots" to "a.b",
                    "as long as a line may be" to "a".repeat(5_000),
                    "with a slash" to "a/b",
                    "with an escape" to "%00",
                    "with quotes" to "a\"b",
                ).flatMap { (name, id) ->
                    listOf(IdCase(name, "POST", id, 400), IdCase(name, "GET", id, 410), IdCase(name, "DELETE", id, 410))
                },
            ) { case ->
                val body = if (case.method == "POST") jobBody(GOOD_STEP) else ByteArray(0)
                statuses(port, request(case.method, "/p/${case.id}", body) + goodRequest()) shouldBe
                    listOf(case.status, 200)
                shouldServe()
            }
        }

        context("a wait that no caller means is answered") {
            withData(
                "9223372036854775807" to 200,
                "99999999999999999999" to 200,
                "-9223372036854775808" to 503,
                "-1" to 503,
                "soon" to 200,
                "" to 200,
            ) { (wait, status) ->
                val odd =
                    request("POST", "/p/00000000000000ab", jobBody(GOOD_STEP), "X-Verbenagauge-Deadline-Ms: $wait")
                statuses(port, odd + goodRequest()) shouldBe listOf(status, 200)
                shouldServe()
            }
        }

        context("bytes that are no whole request are accepted as no job, and others are served on") {
            val post = "POST /p/$JOB_ID HTTP/1.1\nHost: h.example"
            val whole = jobBody(GOOD_STEP).decodeToString()
            withData(
                nameFn = { it.name },
                RawCase("nothing", ByteArray(0)),
                RawCase("no text", ByteArray(3_000) { (it * 7).toByte() }),
                raw("a length that is no number", "$post\nContent-Length: many", whole),
                raw("a negative length", "$post\nContent-Length: -5", whole),
                raw("a length past any number", "$post\nContent-Length: 99999999999999999999", whole),
                raw("a body that ends early", "$post\nContent-Length: 500", whole),
                raw("chunks that end within one", "$post\nTransfer-Encoding: chunked", "ff$CRLF$whole"),
                raw("a chunk of no length", "$post\nTransfer-Encoding: chunked", "zz$CRLF$whole$CRLF"),
                raw("a negative chunk", "$post\nTransfer-Encoding: chunked", "-5$CRLF$whole$CRLF"),
                raw("a chunk past any number", "$post\nTransfer-Encoding: chunked", "${"f".repeat(40)}$CRLF$whole"),
                raw("an encoding that is none", "$post\nTransfer-Encoding: nothing", whole),
                raw("a header without a colon", "$post\nnothing", whole),
                raw("a header past the bound", "$post\nA: ${"x".repeat(100_000)}", whole),
                raw("a path past the bound", "POST /p/${"a".repeat(10_240)} HTTP/1.1\nHost: h.example", whole),
                raw("a host of one colon", "POST /p/$JOB_ID HTTP/1.1\nHost: :\nContent-Length: ${whole.length}", whole),
                raw("a request line of spaces", "   ", whole),
                raw("a version that is none", "POST /p/$JOB_ID HTTP/x\nHost: h.example", whole),
                raw("a method that is none", "\u0000\u0001 /p/$JOB_ID HTTP/1.1\nHost: h.example", whole),
            ) { case ->
                statuses(port, case.bytes) shouldNotContain 200
                shouldServe()
            }
        }

        context("a host decides on the queue, however it is written") {
            withData(
                nameFn = { "'${it.first}'" },
                "Host: h.example" to 200,
                "Host: h.example:8080" to 200,
                "Host: H.EXAMPLE:99999999999" to 200,
                "Host: [::1]:80" to 404,
                "Host: ${"h".repeat(5_000)}" to 404,
                "X-No-Host: 1" to 404,
            ) { (host, status) ->
                val body = jobBody(GOOD_STEP)
                val head = "POST /p/$JOB_ID HTTP/1.1${CRLF}Content-Length: ${body.size}$CRLF$host$CRLF$CRLF"
                statuses(port, head.encodeToByteArray() + body) shouldBe listOf(status)
                shouldServe()
            }
        }

        test("callers that leave at once, with or without a word, keep nobody else from being served") {
            repeat(100) { round ->
                Socket(HOST, port).use { socket ->
                    socket.setSoLinger(true, 0)
                    if (round % 2 == 0) socket.outputStream.write(goodRequest().copyOf(round))
                }
            }
            shouldServe()
        }
    })
