package org.verbenagauge.entry.operator

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.header
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.server.testing.ApplicationTestBuilder
import io.ktor.server.testing.testApplication
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.verbenagauge.entry.account.AccountStatus
import org.verbenagauge.entry.logging.EventLog
import org.verbenagauge.entry.model.sha256Hex
import org.verbenagauge.entry.settings.AdministrationSettings
import org.verbenagauge.entry.state.FleetView
import org.verbenagauge.entry.state.log.ChangeLog
import org.verbenagauge.entry.state.log.InForceLog
import org.verbenagauge.entry.state.log.changeLog
import org.verbenagauge.fake.FakeClock
import kotlin.random.Random

private const val FUZZ_REQUESTS = 1_000

/** Administration over a table in memory, with the bootstrap key `boot`. */
internal class AdminFixture(
    val table: ScriptedTable = ScriptedTable(),
    var fresh: Boolean = true,
) {
    val clock = FakeClock()
    val log: ChangeLog = changeLog(table, clock)
    private var drawn = 0
    val routes =
        administrationRoutes(
            AdministrationParts(
                changes = log,
                table = table,
                inForceLog = InForceLog(table, { log.state.value.version }, "entry-0", clock),
                freshness = { fresh },
                accountStatus = { AccountStatus(null, 0, 0, 0, 0, 0) },
                statusSource = {
                    statusView("entry-0", FleetView(log.state.value, emptyList()), log.state.value.version, emptyMap())
                },
                clock = clock,
                reporter = ChangeReporter(EventLog("entry-0"), PrometheusRegistry()),
            ),
            AdministrationSettings(sha256Hex("boot"), "0123456789abcdef0123456789abcdef"),
            keyMint = { "drawn-${drawn++}" },
        )

    fun use(body: suspend ApplicationTestBuilder.() -> Unit) =
        testApplication {
            application { routes.install(this) }
            body()
        }
}

internal suspend fun ApplicationTestBuilder.send(
    method: HttpMethod,
    path: String,
    body: String = "",
    key: String? = "boot",
    ifMatch: String? = null,
    more: HttpRequestBuilder.() -> Unit = {},
): HttpResponse =
    client.request("/v1/admin/$path") {
        this.method = method
        key?.let { header(HttpHeaders.Authorization, "Bearer $it") }
        ifMatch?.let { header(HttpHeaders.IfMatch, it) }
        setBody(body)
        more()
    }

private data class ApiCase(
    val name: String,
    val method: HttpMethod,
    val path: String,
    val body: String = "",
    val key: String? = "boot",
    val ifMatch: String? = "\"1\"",
    val status: Int,
    val problem: String,
)

private val put = HttpMethod.Put
private const val POOL = """{"id":"p","service":"s"}"""

class AdminApiTest :
    FunSpec({
        context("given a document at version 1, when a bad request arrives, then it is refused and nothing changes") {
            withData(
                nameFn = { it.name },
                ApiCase("no key", put, "pools/q", POOL, key = null, status = 401, problem = "key-refused"),
                ApiCase("wrong key", put, "pools/q", POOL, key = "x", status = 401, problem = "key-refused"),
                ApiCase("no version", put, "pools/p", POOL, ifMatch = null, status = 428, problem = "version-missing"),
                ApiCase("any version", put, "pools/p", POOL, ifMatch = "*", status = 428, problem = "version-missing"),
                ApiCase("bad version", put, "pools/p", POOL, ifMatch = "W/x", status = 400, problem = "malformed"),
                ApiCase(
                    "old version",
                    put,
                    "pools/p",
                    POOL,
                    ifMatch = "\"0\"",
                    status = 412,
                    problem = "version-conflict",
                ),
                ApiCase("not JSON", put, "pools/p", "{", status = 400, problem = "malformed"),
                ApiCase("not UTF-8", put, "pools/p", "\uD800", status = 400, problem = "malformed"),
                ApiCase(
                    "unknown field",
                    put,
                    "pools/p",
                    """{"id":"p","service":"s","x":1}""",
                    status = 400,
                    problem = "malformed",
                ),
                ApiCase(
                    "nested",
                    put,
                    "document",
                    """{"pools":${"[".repeat(200_000)}""",
                    status = 400,
                    problem = "malformed",
                ),
                ApiCase(
                    "nested in an unknown field",
                    put,
                    "document",
                    """{"x":${"[".repeat(200_000)}${"]".repeat(200_000)}}""",
                    status = 400,
                    problem = "malformed",
                ),
                ApiCase(
                    "number past any",
                    put,
                    "pools/p",
                    """{"id":"p","service":"s","slotsPerWorker":1e400}""",
                    status = 400,
                    problem = "malformed",
                ),
                ApiCase(
                    "slots past any worker",
                    put,
                    "pools/p",
                    """{"id":"p","service":"s","slotsPerWorker":2147483647,"connectionsPerWorker":2147483647}""",
                    status = 422,
                    problem = "invalid",
                ),
                ApiCase(
                    "wait past any time",
                    put,
                    "queues/q",
                    """{"id":"q","poolId":"p","maxWaitMillis":9223372036854775807}""",
                    status = 422,
                    problem = "invalid",
                ),
                ApiCase(
                    "run past any time",
                    put,
                    "queues/q",
                    """{"id":"q","poolId":"p","maxRunMillis":9223372036854775807}""",
                    status = 422,
                    problem = "invalid",
                ),
                ApiCase("other name", put, "pools/q", POOL, status = 422, problem = "invalid"),
                ApiCase(
                    "bad value",
                    put,
                    "pools/p",
                    """{"id":"p","service":"s","slotsPerWorker":0}""",
                    status = 422,
                    problem = "invalid",
                ),
                ApiCase("oversized", put, "pools/p", POOL + " ".repeat(70_000), status = 413, problem = "too-large"),
                ApiCase("unknown thing", HttpMethod.Delete, "teams/none", status = 422, problem = "invalid"),
                ApiCase("unknown path", HttpMethod.Get, "nothing", status = 404, problem = "not-found"),
                ApiCase(
                    "unknown team",
                    HttpMethod.Post,
                    "teams/none/keys",
                    """{"id":"k"}""",
                    status = 422,
                    problem = "invalid",
                ),
                ApiCase("bad audit range", HttpMethod.Get, "audit?after=-1", status = 400, problem = "malformed"),
            ) { case ->
                val fixture = AdminFixture()
                fixture.use {
                    send(put, "pools/p", POOL, ifMatch = "\"0\"").status.value shouldBe 200
                    val response = send(case.method, case.path, case.body, case.key, case.ifMatch)
                    response.status.value shouldBe case.status
                    response.bodyAsText() shouldContain "urn:verbenagauge:problem:${case.problem}"
                    fixture.log.state.value.version shouldBe 1
                }
            }
        }

        test("given a key, when it is granted, then it is shown once and withdrawing it removes it") {
            AdminFixture().use {
                send(
                    put,
                    "teams/growers",
                    """{"id":"growers","maxRunning":8}""",
                    ifMatch = "\"0\"",
                ).status.value shouldBe
                    200
                val granted = send(HttpMethod.Post, "teams/growers/keys", """{"id":"first"}""", ifMatch = "*")
                granted.status.value shouldBe 201
                granted.bodyAsText() shouldContain "drawn-0"
                val document = send(HttpMethod.Get, "document").bodyAsText()
                document shouldContain sha256Hex("drawn-0")
                document shouldNotContain "drawn-0"
                send(HttpMethod.Get, "audit").bodyAsText() shouldNotContain "drawn-0"
                send(HttpMethod.Delete, "teams/growers/keys/first", ifMatch = "*").status.value shouldBe 200
                send(HttpMethod.Get, "document").bodyAsText() shouldNotContain sha256Hex("drawn-0")
            }
        }

        test("given a grant whose answer was lost, when it is sent again, then no other key is shown") {
            AdminFixture().use {
                send(put, "teams/growers", """{"id":"growers","maxRunning":8}""", ifMatch = "\"0\"")
                val again: HttpRequestBuilder.() -> Unit = { header(IDEMPOTENCY_KEY_HEADER, "once") }
                val path = "teams/growers/keys"
                send(HttpMethod.Post, path, """{"id":"first"}""", ifMatch = "\"1\"", more = again).status.value shouldBe
                    201
                val second = send(HttpMethod.Post, path, """{"id":"first"}""", ifMatch = "\"1\"", more = again)
                second.status.value shouldBe 409
                second.bodyAsText() shouldNotContain "drawn-"
            }
        }

        test("given an operator without a right, when it changes or gains rights, then it is refused") {
            val fixture = AdminFixture()
            fixture.use {
                val chief = """{"id":"chief","keySha256Hex":"${sha256Hex(
                    "chief",
                )}","rights":["change","keys","waves"]}"""
                val clerk = """{"id":"clerk","keySha256Hex":"${sha256Hex("clerk")}","rights":["change"]}"""
                send(put, "operators/chief", chief, ifMatch = "\"0\"").status.value shouldBe 200
                send(HttpMethod.Get, "document", key = "boot").status.value shouldBe 401
                send(put, "operators/clerk", clerk, "chief", "\"1\"").status.value shouldBe 200
                val more = clerk.replace("[\"change\"]", "[\"change\",\"keys\"]")
                send(put, "operators/clerk", more, "clerk", "\"2\"").status.value shouldBe 403
                send(HttpMethod.Delete, "operators/chief", "", "clerk", "\"2\"").status.value shouldBe 403
                send(put, "teams/t", """{"id":"t","maxRunning":1}""", "clerk", "\"2\"").status.value shouldBe 200
                send(HttpMethod.Post, "teams/t/keys", """{"id":"k"}""", "clerk", "*").status.value shouldBe 403
                send(HttpMethod.Delete, "operators/clerk", "", "chief", "\"3\"").status.value shouldBe 200
                send(put, "teams/t", """{"id":"t","maxRunning":2}""", "clerk", "\"4\"").status.value shouldBe 401
            }
        }

        test("given two operators who read the same version, when both change, then the later sees what changed") {
            AdminFixture().use {
                send(put, "pools/p", POOL, ifMatch = "\"0\"")
                val second = send(put, "pools/q", """{"id":"q","service":"s"}""", ifMatch = "\"0\"")
                second.status.value shouldBe 412
                second.bodyAsText() shouldContain "put-pool"
                second.bodyAsText() shouldContain "\"documentVersion\":1"
            }
        }

        test("given a preview, when it is asked for, then it shows the difference and stores nothing") {
            val fixture = AdminFixture()
            fixture.use {
                send(put, "pools/p?preview=true", POOL, ifMatch = "\"0\"").bodyAsText() shouldContain
                    "pools['p'].service"
                fixture.log.state.value.version shouldBe 0
            }
        }

        test("given an entry that is stale, when an operator asks, then it is refused with 503") {
            AdminFixture(fresh = false).use { send(HttpMethod.Get, "document").status.value shouldBe 503 }
        }

        test("given random requests without a valid change, when they arrive, then each gets a clear error") {
            val fixture = AdminFixture()
            val random = Random(6_001)
            fixture.use {
                send(put, "pools/p", POOL, ifMatch = "\"0\"")
                repeat(FUZZ_REQUESTS) { index ->
                    val response = sendRandom(random)
                    withClue("seed 6001, request $index") {
                        response.status.value shouldBeInRange 400..499
                        response.bodyAsText() shouldContain "urn:verbenagauge:problem:"
                        fixture.log.state.value.version shouldBe 1
                    }
                }
            }
        }
    })

private val paths =
    listOf("document", "pools/p", "teams/t", "queues/q", "operators/o", "teams/t/keys", "teams/t/keys/k")
private val bodies =
    listOf(POOL, """{"id":"t","maxRunning":1}""", """{"id":"q","poolId":"p"}""", """{"id":"k"}""", "[]")

private suspend fun ApplicationTestBuilder.sendRandom(random: Random): HttpResponse {
    val body = mutated(bodies.random(random), random)
    val badKey = random.nextBoolean()
    val key = if (badKey) listOf(null, "", "boo", "x".repeat(5_000)).random(random) else "boot"
    val versions =
        if (badKey) {
            listOf(
                null,
                "\"1\"",
                "*",
            )
        } else {
            listOf(null, "\"0\"", "1", "\"99999999999999999999\"", "\"\"")
        }
    val method = listOf(HttpMethod.Put, HttpMethod.Post, HttpMethod.Delete, HttpMethod.Patch).random(random)
    return send(method, paths.random(random), body, key, versions.random(random))
}

private fun mutated(
    body: String,
    random: Random,
): String =
    when (random.nextInt(4)) {
        0 -> body.take(random.nextInt(body.length))
        1 -> body + "x".repeat(random.nextInt(100))
        2 -> body.replace('"', Char(random.nextInt(32, 127)))
        else -> body
    }
