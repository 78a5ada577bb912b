package org.verbenagauge.standin.soak

import java.io.BufferedInputStream
import java.io.IOException
import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.URLDecoder
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.random.Random

/**
 * A request that a stand-in received.
 *
 * @property isLate whether it is carried out seconds after it came.
 */
internal class Ask(
    val method: String,
    val path: String,
    val query: Map<String, String>,
    val headers: Map<String, String>,
    val body: String,
    val isLate: Boolean = false,
) {
    /** The same request, carried out late. */
    fun late() = Ask(method, path, query, headers, body, isLate = true)
}

/** Answer of a stand-in. */
internal class Reply(
    val status: Int,
    val body: String = "",
)

/** How a link turns calls away without carrying them out. */
internal enum class Refusal { BUSY, UNAVAILABLE, SILENT, RESET }

/** What is done to the calls over one link. */
internal class LinkFaults {
    @Volatile var refusal: Refusal? = null

    /** Longest time before a request is carried out; each waits for a random share of it. */
    @Volatile var requestDelayMillis = 0L

    /** Longest time before an answer is sent, so that answers overtake each other. */
    @Volatile var answerDelayMillis = 0L

    /** Share of requests that are carried out and not answered. */
    @Volatile var lostShare = 0.0

    /** Share of orders that are carried out 2 to 12 s later and not answered. */
    @Volatile var lateShare = 0.0

    /** Whether orders and writes are held up, while questions are answered. */
    @Volatile var holdsWrites = false

    /** Whether bytes of the caller are held up. */
    @Volatile var isCutIn = false

    /** Whether bytes to the caller are held up. */
    @Volatile var isCutOut = false

    /** Takes all faults back. */
    fun clear() {
        refusal = null
        requestDelayMillis = 0
        answerDelayMillis = 0
        lostShare = 0.0
        lateShare = 0.0
        holdsWrites = false
        isCutIn = false
        isCutOut = false
    }
}

/**
 * Path to one stand-in: a port of its own, HTTP/1.1 over blocking sockets, and faults on the way.
 *
 * @param faultsOf tells the faults of a call by its caller, where several callers share the port.
 */
internal class Link(
    seed: Long,
    private val handler: (Ask) -> Reply?,
    private val faultsOf: ((Ask) -> LinkFaults)? = null,
) : AutoCloseable {
    private val random = Random(seed)
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val channels: MutableSet<Channel> = ConcurrentHashMap.newKeySet()
    private val late: MutableSet<ScheduledFuture<*>> = ConcurrentHashMap.newKeySet()

    /** Faults on the way. */
    val faults = LinkFaults()

    /** Address of this end. */
    val address: String = "127.0.0.1:${server.localPort}"

    init {
        thread(isDaemon = true, name = "link-$address") { accept() }
    }

    private fun accept() {
        while (!server.isClosed) {
            try {
                val channel = Channel(server.accept())
                channels += channel
                Thread(null, channel, "channel-$address", STACK_BYTES).also { it.isDaemon = true }.start()
            } catch (_: IOException) {
                return
            }
        }
    }

    /** Resets the open channels. */
    fun reset() {
        channels.forEach { it.reset() }
    }

    /** Lets the open channels go silent for good; new ones work. */
    fun silence() {
        channels.forEach { it.isSilent = true }
    }

    /** Forgets requests that wait to be carried out late. */
    fun dropLate() {
        late.forEach { it.cancel(false) }
        late.clear()
    }

    override fun close() {
        server.close()
        reset()
    }

    @Synchronized
    private fun draw(share: Double) = share > 0 && random.nextDouble() < share

    @Synchronized
    private fun drawMillis(
        from: Long,
        until: Long,
    ) = if (until <= from) from else random.nextLong(from, until)

    private inner class Channel(
        private val socket: Socket,
    ) : Runnable {
        @Volatile var isSilent = false

        override fun run() {
            try {
                socket.tcpNoDelay = true
                val input = BufferedInputStream(socket.getInputStream())
                while (true) serve(readAsk(input) ?: return)
            } catch (_: IOException) {
                // The caller has left, or the channel was reset.
            } finally {
                socket.close()
                channels -= this
            }
        }

        fun reset() {
            try {
                socket.setSoLinger(true, 0)
                socket.close()
            } catch (_: IOException) {
                // Closed already.
            }
        }

        private fun serve(ask: Ask) {
            if (isSilent) return
            val faults = faultsOf?.invoke(ask) ?: faults
            when (faults.refusal) {
                Refusal.BUSY -> return write(Reply(BUSY_STATUS))
                Refusal.UNAVAILABLE -> return write(Reply(UNAVAILABLE_STATUS))
                Refusal.SILENT -> return goSilent()
                Refusal.RESET -> return reset()
                null -> Unit
            }
            if (ask.method == "POST" && draw(faults.lateShare)) return postpone(ask)
            Thread.sleep(drawMillis(0, faults.requestDelayMillis))
            awaitOpen { faults.isCutIn || faults.holdsWrites && ask.method == "POST" }
            if (isSilent) return
            val reply = handler(ask) ?: return reset()
            if (draw(faults.lostShare)) return goSilent()
            Thread.sleep(drawMillis(0, faults.answerDelayMillis))
            awaitOpen { faults.isCutOut }
            if (!isSilent) write(reply)
        }

        // A channel on which an answer is lost delivers nothing further.
        private fun goSilent() {
            isSilent = true
        }

        private fun postpone(ask: Ask) {
            goSilent()
            val delayMillis = drawMillis(LATE_FROM_MILLIS, LATE_UNTIL_MILLIS)
            late += timer.schedule({ handler(ask.late()) }, delayMillis, TimeUnit.MILLISECONDS)
        }

        private fun awaitOpen(isCut: () -> Boolean) {
            while (isCut()) Thread.sleep(LOOK_MILLIS)
        }

        private fun write(reply: Reply) {
            val body = reply.body.encodeToByteArray()
            val kind = "Content-Type: application/json"
            val head = "HTTP/1.1 ${reply.status} X\r\n$kind\r\nContent-Length: ${body.size}\r\n\r\n"
            socket.getOutputStream().run {
                write(head.encodeToByteArray() + body)
                flush()
            }
        }
    }

    private companion object {
        const val BACKLOG = 200
        const val STACK_BYTES = 256L * 1024
        const val LOOK_MILLIS = 5L
        const val BUSY_STATUS = 429
        const val UNAVAILABLE_STATUS = 503

        // Orders without an answer are carried out up to this late (PROTOCOL, Running tasks).
        const val LATE_FROM_MILLIS = 2_000L
        const val LATE_UNTIL_MILLIS = 12_000L
        val timer = Executors.newScheduledThreadPool(2) { task -> Thread(task, "late").also { it.isDaemon = true } }
    }
}

// Returns null at the end of the stream.
private fun readAsk(input: InputStream): Ask? {
    val first = readLine(input) ?: return null
    val (method, target) = first.split(' ')
    val headers = HashMap<String, String>()
    while (true) {
        val line = readLine(input) ?: return null
        if (line.isEmpty()) break
        headers[line.substringBefore(':').lowercase()] = line.substringAfter(':').trim()
    }
    val body = input.readNBytes(headers["content-length"]?.toInt() ?: 0)
    val query =
        target.substringAfter('?', "").split('&').filter { '=' in it }.associate {
            it.substringBefore('=') to URLDecoder.decode(it.substringAfter('='), Charsets.UTF_8)
        }
    return Ask(method, target.substringBefore('?'), query, headers, body.decodeToString())
}

private fun readLine(input: InputStream): String? {
    val line = StringBuilder()
    while (true) {
        val byte = input.read()
        if (byte < 0) return null
        if (byte == '\n'.code) return line.toString().trimEnd('\r')
        line.append(byte.toChar())
    }
}
