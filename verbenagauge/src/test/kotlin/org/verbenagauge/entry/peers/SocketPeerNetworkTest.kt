package org.verbenagauge.entry.peers

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import kotlinx.coroutines.runInterruptible
import kotlinx.coroutines.yield
import org.verbenagauge.entry.clock.systemClock
import org.verbenagauge.entry.logging.EventLog
import org.verbenagauge.entry.model.PeerId
import java.io.DataInputStream
import java.io.DataOutputStream
import java.io.IOException
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.random.Random

private const val HOST = "127.0.0.1"
private val sharedSecret = ByteArray(32) { it.toByte() }

private class TestEntry(
    scope: CoroutineScope,
    entryId: String,
    secret: ByteArray = sharedSecret,
    limits: PeerLimits = PeerLimits(keepaliveMillis = 20, silentAfterMillis = 500),
) {
    val addresses = CopyOnWriteArrayList<PeerAddress>()
    val received = Channel<Pair<PeerId, PeerMessage>>(Channel.UNLIMITED)
    val network =
        SocketPeerNetwork(
            entryId,
            PeerEndpoint(HOST, 0, secret, limits),
            systemClock(),
            EventLog(entryId),
            Random(entryId.hashCode()),
        ) { addresses }

    init {
        network.subscribe { from, message -> received.trySend(from to message) }
        scope.launch { network.run() }
    }

    suspend fun knows(other: TestEntry) {
        addresses += PeerAddress(HOST, other.network.port())
    }
}

private suspend fun await(condition: () -> Boolean) {
    while (!condition()) yield()
}

private suspend fun meet(vararg entries: TestEntry) =
    entries.forEach { one -> await { one.network.reachable().size == entries.size - 1 } }

/** Forwards connections to [targetPort] until it is told to keep them open in silence. */
private class SilencingRelay(
    private val targetPort: Int,
) {
    private val server = ServerSocket(0)

    @Volatile private var silentConnections = 0

    val accepted = CopyOnWriteArrayList<Socket>()
    val port: Int get() = server.localPort

    fun silenceOpenConnections() {
        silentConnections = accepted.size
    }

    suspend fun run(scope: CoroutineScope) {
        while (true) {
            val client = runInterruptible { server.accept() }
            val number = accepted.size
            accepted += client
            val target = Socket(HOST, targetPort)
            scope.launch { copy(client, target, number) }
            scope.launch { copy(target, client, number) }
        }
    }

    private suspend fun copy(
        from: Socket,
        to: Socket,
        number: Int,
    ) = runInterruptible {
        runCatching {
            val buffer = ByteArray(4_096)
            while (true) {
                val size = from.getInputStream().read(buffer)
                if (size < 0) break
                if (number >= silentConnections) to.getOutputStream().write(buffer, 0, size)
            }
        }
    }
}

private const val POISON = 4_711L

/** Peer that knows the secret and sends what it is told to. */
private class RawPeer(
    entryId: String,
    port: Int,
) : AutoCloseable {
    private val socket = Socket(HOST, port)
    private val input = DataInputStream(socket.getInputStream())
    private val output = DataOutputStream(socket.getOutputStream())
    private val seals: ConnectionSeals

    init {
        val own = encodeHello(Hello(1, 1, PeerId(entryId, 1), ByteArray(NONCE_BYTES)))
        write(own)
        seals = connectionSeals(sharedSecret, own, read(), dialing = true)
        send(ByteArray(0))
        seals.receiving.open(read())
    }

    fun send(payload: ByteArray) = write(seals.sending.seal(payload))

    /** Reads until the other side has closed the connection, or goes on with it. */
    fun awaitEndOrKeepalive() {
        try {
            read()
        } catch (_: IOException) {
            return
        }
    }

    override fun close() = socket.close()

    private fun write(frame: ByteArray) {
        output.writeInt(frame.size)
        output.write(frame)
    }

    private fun read(): ByteArray = ByteArray(input.readInt()).also(input::readFully)
}

class SocketPeerNetworkTest :
    FunSpec({
        lateinit var scope: CoroutineScope
        val failures = CopyOnWriteArrayList<Throwable>()
        beforeTest {
            failures.clear()
            scope =
                CoroutineScope(SupervisorJob() + Dispatchers.IO + CoroutineExceptionHandler { _, e -> failures += e })
        }
        afterTest { scope.cancel() }

        test("given three entries with one seed, when they are told of each other, then all pairs exchange messages") {
            val entries = listOf("a", "b", "c").map { TestEntry(scope, it) }
            entries.forEach { one -> entries.filter { it != one }.forEach { one.knows(it) } }
            meet(*entries.toTypedArray())
            val message = StateMessage.Tell(HeldReport(version = 9, acceptedVersion = 8))
            val (first, second) = entries
            // What is queued on a connection goes with it when that of the other side replaces it.
            var received: Pair<PeerId, PeerMessage>? = null
            await {
                first.network.send(second.network.localId, message)
                received = second.received.tryReceive().getOrNull()
                received != null
            }
            received shouldBe (first.network.localId to message)
        }

        test("given an entry with another secret, when it connects, then it is refused and others still connect") {
            val right = TestEntry(scope, "b")
            val wrong = TestEntry(scope, "a", secret = ByteArray(32))
            val other = TestEntry(scope, "c")
            wrong.knows(right)
            await {
                right.network.stats.refusedFrames
                    .get() >= 1
            }
            other.knows(right)
            meet(right, other)
            wrong.network.reachable() shouldBe emptyList()
        }

        test("given random bytes on the listener, when they end, then other peers still connect") {
            val entry = TestEntry(scope, "a")
            val random = Random(3)
            repeat(20) {
                Socket(HOST, entry.network.port()).use { it.getOutputStream().write(random.nextBytes(64)) }
            }
            val other = TestEntry(scope, "b")
            other.knows(entry)
            meet(entry, other)
            entry.network.stats.openedConnections
                .get() shouldBe 1
        }

        context("given an authenticated peer that sends an odd message, when it is read, then others are served on") {
            withData(
                nameFn = { it.first },
                "no message" to byteArrayOf(-1, -1),
                "a list of 2147483647 messages" to byteArrayOf(0x9a.toByte(), 0x7f, -1, -1, -1),
                "nested lists" to ByteArray(MAX_PAYLOAD_BYTES) { 0x81.toByte() },
                "a message that a listener fails on" to encodeMessage(StateMessage.WantChanges(POISON)),
            ) { (_, payload) ->
                val entry = TestEntry(scope, "a")
                entry.network.subscribe { _, message ->
                    check((message as? StateMessage.WantChanges)?.afterVersion != POISON) { "poison" }
                }
                RawPeer("odd", entry.network.port()).use { odd ->
                    odd.send(payload)
                    odd.awaitEndOrKeepalive()
                }
                val other = TestEntry(scope, "b")
                other.knows(entry)
                meet(entry, other)
                val message = StateMessage.Tell(HeldReport(version = 1))
                await { other.network.send(entry.network.localId, message) }
                while (entry.received.receive().second != message) yield()
                failures shouldBe emptyList()
            }
        }

        context("given an address that is none, when it is dialed, then others still connect") {
            withData(
                nameFn = { "${it.host}:${it.port}" },
                PeerAddress(HOST, 70_000, "x"),
                PeerAddress(HOST, -1, "x"),
                PeerAddress(HOST, 0, "x"),
                PeerAddress("", 1, "x"),
                PeerAddress("256.256.256.256", 1, "x"),
            ) { address ->
                val one = TestEntry(scope, "a")
                val other = TestEntry(scope, "b")
                one.addresses += address
                one.knows(other)
                meet(one, other)
                failures shouldBe emptyList()
            }
        }

        test("given a connection that goes silent, when its time has passed, then a fresh connection replaces it") {
            val listener = TestEntry(scope, "b")
            val relay = SilencingRelay(listener.network.port())
            scope.launch { relay.run(scope) }
            val dialer = TestEntry(scope, "a")
            dialer.addresses += PeerAddress(HOST, relay.port)
            meet(dialer, listener)
            relay.silenceOpenConnections()
            await {
                relay.accepted.size >= 2 &&
                    dialer.network.stats.openedConnections
                        .get() >= 2
            }
            val message = StateMessage.Tell(HeldReport(version = 1))
            await { dialer.network.send(listener.network.localId, message) }
            listener.received.receive().second shouldBe message
        }

        test("given a new incarnation, when it is taken, then peers know the entry by it") {
            val one = TestEntry(scope, "a")
            val other = TestEntry(scope, "b")
            other.knows(one)
            meet(one, other)
            val before = one.network.localId
            one.network.renewIncarnation()
            await { other.network.reachable().any { it.entryId == "a" && it != before } }
            other.network.reachable() shouldContain one.network.localId
        }

        test("given a message larger than a frame, when it is sent, then it is dropped and counted") {
            val one = TestEntry(scope, "a")
            val other = TestEntry(scope, "b")
            one.knows(other)
            meet(one, other)
            val large = StateMessage.Changes(listOf("x".repeat(MAX_FRAME_BYTES)), HeldReport(1))
            one.network.send(other.network.localId, large) shouldBe false
            one.network.stats.droppedMessages
                .get() shouldBeGreaterThanOrEqualTo 1
        }
    })
