package org.verbenagauge.standin

import java.io.IOException
import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** What a [FaultyEndpoint] does with a connection. */
public enum class EndpointFault {
    /** Answers each request with its own body. */
    NONE,

    /** Accepts no connection at all. */
    REFUSE,

    /** Resets the connection before a byte of the request is read. */
    RESET_BEFORE_READING,

    /** Resets the connection after the whole request was read. */
    RESET_AFTER_READING,

    /** Closes the connection after the whole request was read, without an answer. */
    CLOSE_AFTER_READING,

    /** Reads the request and never answers, on an open connection. */
    SILENT,

    /** Answers half of the headers, then closes. */
    HALF_HEADERS,

    /** Answers the headers and half of the body, then closes. */
    HALF_BODY,

    /** Answers the headers and half of a chunked body, then closes. */
    HALF_CHUNKED_BODY,

    /** Answers the headers and half of the body, then nothing, on an open connection. */
    STALL_IN_BODY,

    /** Answers a body of unknown length, which ends with the connection. */
    BODY_UNTIL_CLOSE,

    /** Answers something that is not HTTP. */
    GARBAGE,

    /** Answers one more byte than its Content-Length says, then a second answer. */
    SURPLUS,

    /** Answers that it drains and has not run the request. */
    DRAINING,

    /** Answers the first request of a connection and goes silent on the open connection. */
    SILENT_AFTER_FIRST,

    /** Answers only after [FaultyEndpoint.release]. */
    LATE,
}

/** Stand-in for an endpoint that fails in one stated way, on a raw socket of 127.0.0.1. */
public class FaultyEndpoint(
    private val fault: EndpointFault,
) : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getByName(HOST))
    private val sockets = CopyOnWriteArrayList<Socket>()
    private val released = CountDownLatch(1)
    private val bodies = CopyOnWriteArrayList<String>()
    private val accepted = AtomicInteger()

    /** Port of the endpoint; nothing listens there with [EndpointFault.REFUSE]. */
    public val port: Int = server.localPort

    /** Bodies of the requests that were read whole, in order. */
    public val readBodies: List<String> get() = bodies

    /** Connections that were accepted. */
    public val acceptedCount: Int get() = accepted.get()

    init {
        if (fault == EndpointFault.REFUSE) {
            server.close()
        } else {
            thread(isDaemon = true) { acceptAll() }
        }
    }

    /** Lets the answers of [EndpointFault.LATE] go. */
    public fun release() {
        released.countDown()
    }

    override fun close() {
        released.countDown()
        server.close()
        sockets.forEach { it.close() }
    }

    private fun acceptAll() {
        try {
            while (true) {
                val socket = server.accept()
                accepted.incrementAndGet()
                sockets += socket
                thread(isDaemon = true) { serve(socket) }
            }
        } catch (_: IOException) {
            return
        }
    }

    private fun serve(socket: Socket) {
        try {
            if (fault == EndpointFault.RESET_BEFORE_READING) return reset(socket)
            var requests = 0
            while (true) {
                val body = readRequest(socket.getInputStream()) ?: return
                bodies += body
                requests++
                if (!answer(socket, body, requests)) return
            }
        } catch (_: IOException) {
            socket.close()
        }
    }

    // Returns whether the connection goes on.
    private fun answer(
        socket: Socket,
        body: String,
        requests: Int,
    ): Boolean {
        val whole = head("Content-Length: ${body.length}") + body
        when (fault) {
            EndpointFault.NONE -> return keep(socket, whole)
            EndpointFault.LATE -> released.await().also { return keep(socket, whole) }
            EndpointFault.SILENT_AFTER_FIRST -> if (requests == 1) return keep(socket, whole)
            EndpointFault.RESET_AFTER_READING -> reset(socket)
            EndpointFault.CLOSE_AFTER_READING -> socket.close()
            EndpointFault.HALF_HEADERS -> end(socket, "HTTP/1.1 200 OK\r\nContent-Le")
            EndpointFault.HALF_BODY -> end(socket, head("Content-Length: ${body.length * 2}") + body)
            EndpointFault.HALF_CHUNKED_BODY -> end(socket, head("Transfer-Encoding: chunked") + chunk(body))
            EndpointFault.BODY_UNTIL_CLOSE -> end(socket, head("Connection: close") + body)
            EndpointFault.GARBAGE -> end(socket, "\u0000\u0001 this is not HTTP\r\n\r\n")
            EndpointFault.SURPLUS -> end(socket, whole + "x" + whole)
            EndpointFault.DRAINING -> return keep(socket, DRAINING_ANSWER)
            EndpointFault.STALL_IN_BODY -> keep(socket, head("Content-Length: ${body.length * 2}") + body)
            else -> Unit
        }
        return false
    }

    private fun keep(
        socket: Socket,
        text: String,
    ): Boolean {
        socket.getOutputStream().write(text.encodeToByteArray())
        return true
    }

    private fun end(
        socket: Socket,
        text: String,
    ) {
        keep(socket, text)
        socket.close()
    }

    private fun reset(socket: Socket) {
        socket.setSoLinger(true, 0)
        socket.close()
    }

    private fun head(header: String) = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n$header\r\n\r\n"

    private fun chunk(body: String) = "${body.length.toString(HEX)}\r\n$body\r\n"

    // Returns the body of the next request, or null when the connection has ended.
    private fun readRequest(input: InputStream): String? {
        var length = 0
        while (true) {
            val line = readLine(input) ?: return null
            if (line.isEmpty()) break
            val (name, value) = line.split(':', limit = 2).let { it[0] to it.getOrElse(1) { "" } }
            if (name.equals("Content-Length", ignoreCase = true)) length = value.trim().toInt()
        }
        val body = input.readNBytes(length)
        return if (body.size < length) null else body.decodeToString()
    }

    private fun readLine(input: InputStream): String? {
        val line = StringBuilder()
        while (true) {
            val byte = input.read()
            if (byte < 0) return null
            if (byte == '\n'.code) return line.trimEnd('\r').toString()
            line.append(byte.toChar())
        }
    }

    private companion object {
        const val HOST = "127.0.0.1"
        const val BACKLOG = 50
        const val HEX = 16
        const val DRAINING_ANSWER =
            "HTTP/1.1 503 Service Unavailable\r\nEndpoint-Draining: true\r\nContent-Length: 0\r\n\r\n"
    }
}
