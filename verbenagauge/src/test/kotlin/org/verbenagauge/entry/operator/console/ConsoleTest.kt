package org.verbenagauge.entry.operator.console

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.ktor.client.HttpClient
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.formUrlEncode
import io.ktor.http.setCookie
import io.ktor.server.testing.ApplicationTestBuilder
import org.verbenagauge.entry.model.sha256Hex
import org.verbenagauge.entry.operator.AdminFixture
import org.verbenagauge.entry.operator.send
import kotlin.random.Random

private const val FUZZ_REQUESTS = 500
private const val CHIEF = """{"id":"chief","keySha256Hex":"%s","rights":["change","keys","waves"]}"""
private val document =
    """
    {"pools":[{"id":"p","service":"s","budget":{"maxAway":2,"maxAwayPerRack":1},"spare":true}],
     "teams":[{"id":"t","maxRunning":7,"shareWeight":3,"keys":[{"id":"k","sha256Hex":"${sha256Hex("k")}"}]}],
     "queues":[{"id":"q","poolId":"p","queueClass":"deferrable","idempotent":true,"teamIds":["t"],"finishByMinuteOfDay":9}],
     "operators":[${CHIEF.format(sha256Hex("chief"))}]}
    """.trimIndent()

/** Browser without script that is signed in as `chief` over a document at version 1. */
private class Browser(
    private val client: HttpClient,
    val cookie: String,
) {
    suspend fun open(path: String): HttpResponse =
        client.get("$CONSOLE_PATH/$path") { header(HttpHeaders.Cookie, "verbenagauge-session=$cookie") }

    suspend fun post(
        path: String,
        values: Map<String, String>,
        origin: String? = null,
    ): HttpResponse =
        client.post("$CONSOLE_PATH/$path") {
            header(HttpHeaders.Cookie, "verbenagauge-session=$cookie")
            origin?.let { header(HttpHeaders.Origin, it) }
            setBody(values.toList().formUrlEncode())
        }

    /** Opens a form and returns what a browser would send back. */
    suspend fun fill(path: String): Map<String, String> = fieldsOf(open("forms/$path").bodyAsText())
}

private val inputPattern = Regex("<input[^>]*name=\"([^\"]*)\"[^>]*>")
private val valuePattern = Regex("value=\"([^\"]*)\"")
private val selectPattern = Regex("<select[^>]*name=\"([^\"]*)\".*?</select>", RegexOption.DOT_MATCHES_ALL)
private val selectedPattern = Regex("<option value=\"([^\"]*)\" selected")

private fun fieldsOf(html: String): Map<String, String> =
    inputPattern.findAll(html).associate {
        it.groupValues[1] to
            valuePattern
                .find(it.value)
                ?.groupValues
                ?.get(1)
                .orEmpty()
    } +
        selectPattern.findAll(html).associate {
            it.groupValues[1] to
                selectedPattern
                    .find(it.value)
                    ?.groupValues
                    ?.get(1)
                    .orEmpty()
        }

private suspend fun ApplicationTestBuilder.signIn(key: String): HttpResponse {
    val noRedirects = createClient { followRedirects = false }
    return noRedirects.post("$CONSOLE_PATH/sign-in") { setBody(listOf("key" to key).formUrlEncode()) }
}

private fun withBrowser(body: suspend ApplicationTestBuilder.(Browser, AdminFixture) -> Unit) {
    val fixture = AdminFixture()
    fixture.use {
        send(HttpMethod.Put, "document", document, ifMatch = "\"0\"").status.value shouldBe 200
        val cookie = signIn("chief").setCookie().single()
        cookie.httpOnly shouldBe true
        cookie.extensions["SameSite"] shouldBe "Strict"
        body(Browser(createClient { followRedirects = false }, cookie.value), fixture)
    }
}

private data class HostileCase(
    val name: String,
    val status: Int,
    val origin: String? = null,
    val change: (Map<String, String>) -> Map<String, String>,
)

class ConsoleTest :
    FunSpec({
        test("given a wrong key, when somebody signs in, then there is no session") {
            AdminFixture().use {
                val response = signIn("wrong")
                response.status.value shouldBe 401
                response.setCookie().size shouldBe 0
                createClient { followRedirects = false }.get("$CONSOLE_PATH/status").status.value shouldBe 302
            }
        }

        test("given a form, when it is confirmed, then the difference is shown first and the change is stored") {
            withBrowser { browser, fixture ->
                val typed = browser.fill("team?id=t") + ("maxRunning" to "9")
                val confirm = browser.post("forms/team", typed)
                confirm.bodyAsText() shouldContain "teams[&#39;t&#39;].maxRunning".replace("&#39;", "'")
                fixture.log.state.value.version shouldBe 1
                browser.post("forms/team", fieldsOf(confirm.bodyAsText())).status.value shouldBe 200
                fixture.log.state.value.configuration.teams
                    .single()
                    .maxRunning shouldBe 9
                fixture.log.state.value.configuration.teams
                    .single()
                    .keys.size shouldBe 1
            }
        }

        context("given a thing, when its form is sent back as it was opened, then nothing changes") {
            withData("team?id=t", "pool?id=p", "queue?id=q") { path ->
                withBrowser { browser, _ ->
                    val confirm = browser.post("forms/${path.substringBefore('?')}", browser.fill(path))
                    confirm.bodyAsText() shouldContain "This changes nothing."
                }
            }
        }

        test(
            "given a wrong value, when the form is sent, then the field is named and what was typed is kept, escaped",
        ) {
            withBrowser { browser, _ ->
                val typed = browser.fill("team?id=t") + mapOf("id" to "<script>\"x", "maxRunning" to "-4")
                val response = browser.post("forms/team", typed)
                response.status.value shouldBe 422
                val html = response.bodyAsText()
                html shouldContain "maxRunning: must be at least 0"
                html shouldContain "value=\"-4\""
                html shouldContain "&lt;script&gt;&quot;x"
                html shouldNotContain "<script"
            }
        }

        test("given two operators with the same form, when both accept, then the later sees what changed in between") {
            withBrowser { browser, fixture ->
                val first =
                    fieldsOf(browser.post("forms/team", browser.fill("team?id=t") + ("maxRunning" to "8")).bodyAsText())
                val second =
                    fieldsOf(browser.post("forms/team", browser.fill("team?id=t") + ("maxRunning" to "9")).bodyAsText())
                browser.post("forms/team", first).status.value shouldBe 200
                val late = browser.post("forms/team", second)
                late.status.value shouldBe 409
                late.bodyAsText() shouldContain "operator/chief"
                late.bodyAsText() shouldContain "value=\"9\""
                fixture.log.state.value.configuration.teams
                    .single()
                    .maxRunning shouldBe 8
            }
        }

        test("given a key form, when it is accepted twice, then the key is shown once") {
            withBrowser { browser, fixture ->
                val confirm = browser.post("forms/key", browser.fill("key?id=t") + ("id" to "second"))
                confirm.bodyAsText() shouldNotContain "drawn-"
                val accept = fieldsOf(confirm.bodyAsText())
                val html = browser.post("forms/key", accept).bodyAsText()
                val shown = Regex("drawn-[0-9]+").find(html)!!.value
                fixture.log.state.value.configuration.teams.single().keys.map { it.sha256Hex }.contains(
                    sha256Hex(shown),
                ) shouldBe
                    true
                val again = browser.post("forms/key", accept)
                again.status.value shouldBe 409
                again.bodyAsText() shouldNotContain "drawn-"
            }
        }

        test("given a withdrawn operator, when its session goes on, then it is refused") {
            withBrowser { browser, fixture ->
                val typed = browser.fill("team?id=t") + mapOf("maxRunning" to "9", "step" to "apply")
                send(HttpMethod.Delete, "operators/chief", key = "chief", ifMatch = "\"1\"").status.value shouldBe 200
                browser.post("forms/team", typed).status.value shouldBe 401
                fixture.log.state.value.version shouldBe 2
            }
        }

        test("given every page, when it is opened, then it carries the policy and no script") {
            withBrowser { browser, _ ->
                listOf("status", "document", "audit").forEach { path ->
                    val response = browser.open(path)
                    response.status.value shouldBe 200
                    response.headers["Content-Security-Policy"]!! shouldContain "default-src 'none'"
                    response.bodyAsText() shouldNotContain "<script"
                }
                browser.open("status").bodyAsText() shouldContain "<svg"
                browser.open("document").bodyAsText() shouldContain "withdraw k"
            }
        }

        context("given a form that may not count, when it is accepted, then it is refused and nothing changes") {
            withData(
                nameFn = { it.name },
                HostileCase("no token", 403) { it - "token" },
                HostileCase("another token", 403) { it + ("token" to "0".repeat(64)) },
                HostileCase("another site", 403, origin = "https://elsewhere.example") { it },
                HostileCase("no version", 400) { it - "version" },
                HostileCase("bad operation", 400) { it + ("operation" to "a/b") },
                HostileCase("oversized", 413) { it + ("id" to "x".repeat(70_000)) },
                HostileCase("not a number", 422) { it + ("maxRunning" to "many") },
                HostileCase("old version", 409) { it + ("version" to "0") },
            ) { case ->
                withBrowser { browser, fixture ->
                    val typed = browser.fill("team?id=t") + mapOf("maxRunning" to "9", "step" to "apply")
                    browser.post("forms/team", case.change(typed), case.origin).status.value shouldBe case.status
                    fixture.log.state.value.version shouldBe 1
                }
            }
        }

        test("given random forms and sessions, when they are sent, then nothing fails and nothing changes") {
            withBrowser { browser, fixture ->
                val random = Random(6_002)
                val forms = consoleForms.map { it.name } + "none"
                repeat(FUZZ_REQUESTS) { index ->
                    val valid = random.nextBoolean()
                    val cookie = if (valid) browser.cookie else browser.cookie.replaceFirst("chief", "chie")
                    val values =
                        List(
                            random.nextInt(8),
                        ) { listOf("id", "step", "version", "token", "%00", "rights").random(random) }
                            .associateWith {
                                List(
                                    random.nextInt(20),
                                ) { Char(random.nextInt(1, 400)) }.joinToString("")
                            }
                    val response =
                        Browser(
                            createClient { followRedirects = false },
                            cookie,
                        ).post("forms/${forms.random(random)}", values)
                    withClue("seed 6002, request $index") {
                        response.status.value shouldBeInRange 400..499
                        fixture.log.state.value.version shouldBe 1
                    }
                }
            }
        }
    })
