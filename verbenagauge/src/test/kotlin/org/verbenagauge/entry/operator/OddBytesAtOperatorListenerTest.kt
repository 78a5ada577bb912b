package org.verbenagauge.entry.operator

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.string.shouldStartWith
import org.verbenagauge.entry.listener.ListenerAddress
import org.verbenagauge.entry.listener.httpListener
import java.io.IOException
import java.net.Socket

private const val HOST = "127.0.0.1"
private const val CRLF = "\r\n"
private const val ANSWER_MILLIS = 20_000
private const val KEY = "Authorization: Bearer boot"
private const val SIGN_IN = "POST /console/sign-in"
private val noText = byteArrayOf(-1, -2, 0, 1)

private data class RawCase(
    val name: String,
    val line: String,
    val body: ByteArray = ByteArray(0),
    val headers: List<String> = listOf(KEY),
)

private fun exchange(
    port: Int,
    case: RawCase,
): String =
    Socket(HOST, port).use { socket ->
        socket.soTimeout = ANSWER_MILLIS
        val lines =
            listOf("${case.line} HTTP/1.1", "Host: x", "Connection: close", "Content-Length: ${case.body.size}")
        try {
            val head = (lines + case.headers).joinToString(CRLF, postfix = CRLF + CRLF)
            socket.outputStream.write(head.encodeToByteArray() + case.body)
            socket.inputStream.readBytes().decodeToString()
        } catch (e: IOException) {
            "closed: ${e.message}"
        }
    }

class OddBytesAtOperatorListenerTest :
    FunSpec({
        val server = httpListener(ListenerAddress(HOST, 0)) { AdminFixture().routes.install(this) }.start(wait = false)
        var port = 0
        beforeSpec {
            port =
                server.engine
                    .resolvedConnectors()
                    .first()
                    .port
        }
        afterSpec { server.stop(0, 0) }

        context("an odd request of an operator gets a clear error, and others are served on") {
            withData(
                nameFn = { it.name },
                RawCase("an escape that is none in a path", "DELETE /v1/admin/pools/%ZZ"),
                RawCase("an escape that is none in a page", "GET /console/%ZZ"),
                RawCase("an escape that is none in a number", "GET /v1/admin/audit?after=%ZZ"),
                RawCase("a number past any", "GET /v1/admin/audit?after=99999999999999999999"),
                RawCase(
                    "an escape that is none in a condition",
                    "PUT /v1/admin/pools/p?preview=%ZZ",
                    "{}".toByteArray(),
                ),
                RawCase("a document that is no text", "PUT /v1/admin/document", noText),
                RawCase("a key that is no text", "POST /v1/admin/teams/t/keys", noText),
                RawCase(
                    "a version past any",
                    "PUT /v1/admin/document",
                    "{}".toByteArray(),
                    listOf(KEY, "If-Match: \"9999999999999999999999\""),
                ),
                RawCase("a form with an escape that is none", SIGN_IN, "key=%ZZ".toByteArray()),
                RawCase("a form with half an escape", SIGN_IN, "key=%".toByteArray()),
                RawCase("a form that is no text", SIGN_IN, noText),
                RawCase("a form of escapes that are no text", SIGN_IN, "key=%ff%fe%00".toByteArray()),
                RawCase("a form of many fields", SIGN_IN, "a=b&".repeat(10_000).toByteArray()),
                RawCase("a form of another kind", "POST /console/forms/team", noText),
                RawCase(
                    "a session with an escape that is none",
                    "POST /console/forms/team",
                    headers = listOf("Cookie: verbenagauge-session=%ZZ"),
                ),
                RawCase(
                    "a session past any time",
                    "POST /console/forms/team",
                    headers = listOf("Cookie: verbenagauge-session=chief|99999999999999999999|x"),
                ),
                RawCase(
                    "a session that is no cookie",
                    "POST /console/forms/team",
                    headers = listOf("Cookie: ;=;==;\u0001"),
                ),
            ) { case ->
                val status = exchange(port, case).substringAfter("HTTP/1.1 ", "0").take(3).toInt()
                status shouldBeInRange 400..499
                exchange(port, RawCase("good", "GET /v1/admin/document")) shouldStartWith "HTTP/1.1 200 "
            }
        }
    })
