package org.verbenagauge.http

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.Dispatchers
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.concurrent.thread

private data class AnswerCase(
    val name: String,
    val answer: String?,
    val outcome: String,
    val staysOpen: Boolean,
)

// Reads one request, writes [answer] and closes when [answer] is not whole; null keeps silent.
private fun serve(answer: String?): ServerSocket {
    val server = ServerSocket(0, 1, InetAddress.getLoopbackAddress())
    thread(isDaemon = true) {
        server.accept().use { socket ->
            socket.getInputStream().bufferedReader().readLine()
            if (answer == null) {
                socket.getInputStream().bufferedReader().readText()
            } else {
                socket.getOutputStream().write(answer.encodeToByteArray())
                socket.getOutputStream().flush()
                if ("keep" in answer) socket.getInputStream().readAllBytes()
            }
        }
    }
    return server
}

class HttpConnectionTest :
    FunSpec({
        context("an answer") {
            withData(
                nameFn = { it.name },
                AnswerCase("whole", "HTTP/1.1 200 OK\r\nx: keep\r\nContent-Length: 2\r\n\r\nhi", "200 hi", true),
                AnswerCase(
                    "in chunks",
                    "HTTP/1.1 200 OK\r\nx: keep\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
                    "200 hi",
                    true,
                ),
                AnswerCase(
                    "that closes",
                    "HTTP/1.1 503 No\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
                    "503 ",
                    false,
                ),
                AnswerCase(
                    "cut off in its body",
                    "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi",
                    "unanswered",
                    false,
                ),
                AnswerCase("without a length", "HTTP/1.1 200 OK\r\nx: keep\r\n\r\nhi", "200 ", false),
                AnswerCase(
                    "that another one follows",
                    "HTTP/1.1 100 Continue\r\nx: keep\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                    "100 ",
                    false,
                ),
                AnswerCase("without content", "HTTP/1.1 204 No Content\r\nx: keep\r\n\r\n", "204 ", true),
                AnswerCase("cut off in its head", "HTTP/1.1 200", "unanswered", false),
                AnswerCase("that never comes", null, "unanswered", false),
            ) { case ->
                SelectorManager(Dispatchers.IO).use { selector ->
                    serve(case.answer).use { server ->
                        val connection = HttpConnection(selector, "127.0.0.1", server.localPort)
                        val timeoutMillis = if (case.answer == null) 200L else 10_000L
                        val outcome = connection.exchange(HttpCall("GET", "/"), timeoutMillis)
                        val text =
                            if (outcome is HttpOutcome.Answered) {
                                "${outcome.status} ${outcome.body.decodeToString()}"
                            } else {
                                outcome.label
                            }
                        text shouldBe case.outcome
                        connection.isOpen shouldBe case.staysOpen
                        connection.close()
                    }
                }
            }
        }

        test("a port where nobody listens gets no byte") {
            val port = ServerSocket(0).use { it.localPort }
            SelectorManager(Dispatchers.IO).use { selector ->
                val outcome = HttpConnection(selector, "127.0.0.1", port).exchange(HttpCall("GET", "/"), 10_000)
                outcome.label shouldBe "not_sent"
            }
        }
    })
