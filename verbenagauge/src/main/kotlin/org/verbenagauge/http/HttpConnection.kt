package org.verbenagauge.http

import io.ktor.http.cio.Response
import io.ktor.http.cio.decodeChunked
import io.ktor.http.cio.parseResponse
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readRemaining
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.readByteArray

/**
 * One HTTP/1.1 connection that carries one request at a time. It is closed by every failure and by every answer that
 * does not come in time, so that a late answer never reaches another request.
 */
internal class HttpConnection(
    private val selector: SelectorManager,
    private val host: String,
    private val port: Int,
    private val observer: ConnectionObserver = UnobservedConnections,
) {
    private var socket: Socket? = null
    private var input: ByteReadChannel? = null
    private var output: ByteWriteChannel? = null

    /** Whether the connection has answered since it was opened. */
    var isProven = false
        private set

    /** Whether it is open. */
    val isOpen: Boolean get() = socket != null

    /**
     * Sends [call] and waits up to [timeoutMillis] for the head of the answer. Its body may take longer, since a large one over a
     * slow link is no sign of a dead connection, and would be asked for again and again.
     */
    @Suppress("TooGenericExceptionCaught")
    suspend fun exchange(
        call: HttpCall,
        timeoutMillis: Long,
    ): HttpOutcome {
        if (socket == null) {
            val cause = connect(minOf(timeoutMillis, CONNECT_TIMEOUT_MILLIS))
            if (cause != null) return HttpOutcome.NotSent(cause)
        }
        var isWhole = false
        try {
            val head = withTimeoutOrNull(timeoutMillis) { Head(sendAndReadHead(call)) }
            if (head == null) return HttpOutcome.Unanswered("no answer in $timeoutMillis ms")
            val response = head.response ?: return HttpOutcome.Unanswered("$host:$port closed the connection")
            val answer = withTimeoutOrNull(BODY_TIMEOUT_MILLIS) { readBody(response) }
            isWhole = answer != null
            return answer ?: HttpOutcome.Unanswered("no whole answer in $BODY_TIMEOUT_MILLIS ms after its head")
        } catch (e: Exception) {
            currentCoroutineContext().ensureActive()
            return HttpOutcome.Unanswered("$e")
        } finally {
            if (!isWhole) close()
        }
    }

    @Suppress("TooGenericExceptionCaught")
    private suspend fun connect(timeoutMillis: Long): String? =
        try {
            val opened =
                withTimeoutOrNull(timeoutMillis) {
                    aSocket(selector).tcp().connect(InetSocketAddress(host, port)) { noDelay = true }
                }
            if (opened != null) {
                socket = opened
                input = opened.openReadChannel()
                output = opened.openWriteChannel(autoFlush = false)
                isProven = false
                observer.onOpened()
            }
            if (opened == null) "no connection to $host:$port in $timeoutMillis ms" else null
        } catch (e: Exception) {
            currentCoroutineContext().ensureActive()
            "no connection to $host:$port: $e"
        }

    // Null when the connection was closed before.
    private class Head(
        val response: Response?,
    )

    private suspend fun sendAndReadHead(call: HttpCall): Response? {
        val out = checkNotNull(output) { "connection to $host:$port is closed" }
        out.writeFully(head(call) + call.body)
        out.flush()
        return parseResponse(checkNotNull(input) { "connection to $host:$port is closed" })
    }

    private suspend fun readBody(response: Response): HttpOutcome {
        try {
            val body = body(response, checkNotNull(input) { "connection to $host:$port is closed" })
            val isLast = response.headers["Connection"]?.toString().equals("close", ignoreCase = true)
            // What follows a head that does not tell where the answer ends would be read by the next call.
            if (isLast || !hasKnownEnd(response)) close() else isProven = true
            return HttpOutcome.Answered(response.status, body)
        } finally {
            response.release()
        }
    }

    private fun hasKnownEnd(response: Response): Boolean =
        response.headers["Content-Length"] != null ||
            response.headers["Transfer-Encoding"] != null ||
            response.status in bodiless

    private suspend fun body(
        response: Response,
        reader: ByteReadChannel,
    ): ByteArray {
        val length = response.headers["Content-Length"]?.toString()?.toIntOrNull()
        val isChunked = response.headers["Transfer-Encoding"]?.toString()?.contains("chunked", ignoreCase = true)
        return when {
            isChunked == true -> chunked(reader)
            length == null || length == 0 -> ByteArray(0)
            else -> reader.readByteArray(length)
        }
    }

    private suspend fun chunked(reader: ByteReadChannel): ByteArray {
        val whole = ByteChannel(autoFlush = true)
        decodeChunked(reader, whole)
        return whole.readRemaining().readByteArray()
    }

    private fun head(call: HttpCall): ByteArray {
        val head = StringBuilder(HEAD_CHARS)
        head
            .append(call.method)
            .append(' ')
            .append(call.path)
            .append(" HTTP/1.1\r\n")
        head
            .append("Host: ")
            .append(host)
            .append(':')
            .append(port)
            .append("\r\n")
        call.headers.forEach { (name, value) ->
            head
                .append(name)
                .append(": ")
                .append(value)
                .append("\r\n")
        }
        if (call.body.isNotEmpty()) head.append("Content-Type: application/json\r\n")
        head.append("Content-Length: ").append(call.body.size).append("\r\n\r\n")
        return head.toString().encodeToByteArray()
    }

    /** Closes the connection; the next exchange opens a new one. */
    fun close() {
        socket?.let {
            it.close()
            observer.onClosed()
        }
        socket = null
        input = null
        output = null
        isProven = false
    }

    private companion object {
        // A round trip takes some milliseconds; a lost opening packet is sent again after a second.
        const val CONNECT_TIMEOUT_MILLIS = 600L
        const val HEAD_CHARS = 256

        // Some megabytes over the slowest links of 7 Mbit/s.
        const val BODY_TIMEOUT_MILLIS = 5_000L

        // No content and not modified, RFC 9110, which end with their head.
        val bodiless = setOf(204, 304)
    }
}
