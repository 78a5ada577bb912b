package org.verbenagauge.entry.peers

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.port
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.supervisorScope
import kotlinx.coroutines.withTimeout
import org.verbenagauge.entry.Child
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.logging.Event
import org.verbenagauge.entry.logging.EventLog
import org.verbenagauge.entry.model.PeerId
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

private const val DIAL_INTERVAL_MILLIS = 100L

// While everyone is connected. A third of the time after which beats that do not come count as stopped.
private const val CALM_INTERVAL_MILLIS = 300L

/**
 * Where an entry listens for its peers and what it shares with them.
 *
 * @property host IP number to listen on.
 * @property port TCP port; 0 takes a free one.
 * @property secret key that all entries of the fleet share.
 * @property limits bounds.
 */
public class PeerEndpoint(
    public val host: String,
    public val port: Int,
    public val secret: ByteArray,
    public val limits: PeerLimits = PeerLimits(),
)

/**
 * Connects entries over TCP: one authenticated connection for each pair.
 *
 * @param entryId name of this entry.
 * @param addresses addresses that this entry should be connected to; may change at any time.
 */
public class SocketPeerNetwork(
    private val entryId: String,
    private val endpoint: PeerEndpoint,
    private val clock: Clock,
    private val log: EventLog,
    private val random: Random = Random.Default,
    private val addresses: () -> List<PeerAddress>,
) : PeerNetwork,
    Child {
    /** Counts of the connections. */
    public val stats: PeerStats = PeerStats()

    override val name: String = "peers"

    @Volatile override var localId: PeerId = PeerId(entryId, random.nextLong())
        private set

    private val listeners = CopyOnWriteArrayList<PeerListener>()
    private val connections = ConnectionTable { localId }
    private val peerIdByAddress = ConcurrentHashMap<PeerAddress, PeerId>()
    private val dialing = ConcurrentHashMap.newKeySet<PeerAddress>()
    private val open = AtomicInteger()
    private val boundPort = CompletableDeferred<Int>()

    @Volatile private var lastPort = endpoint.port

    /** Waits until this entry listens; returns its TCP port. */
    public suspend fun port(): Int = boundPort.await()

    override fun reachable(): List<PeerId> = connections.peerIds

    override fun send(
        to: PeerId,
        message: PeerMessage,
    ): Boolean = send(to, encodeMessage(message))

    // Encoded once for all.
    override fun sendToAll(message: PeerMessage) {
        val payload = encodeMessage(message)
        reachable().forEach { send(it, payload) }
    }

    private fun send(
        to: PeerId,
        payload: ByteArray,
    ): Boolean {
        val sent = payload.size <= MAX_PAYLOAD_BYTES && connections[to]?.send(payload) == true
        if (!sent) stats.droppedMessages.incrementAndGet()
        return sent
    }

    override fun subscribe(listener: PeerListener) {
        listeners += listener
    }

    /** Takes a new identity, after the members have removed the present one; all connections are opened anew. */
    public fun renewIncarnation() {
        localId = PeerId(entryId, random.nextLong())
        connections.closeAll()
    }

    override suspend fun run(): Unit =
        SelectorManager(Dispatchers.IO).use { selector ->
            bind(selector).use { server -> connectAll(selector, server) }
        }

    private suspend fun bind(selector: SelectorManager): ServerSocket {
        val address = InetSocketAddress(endpoint.host, lastPort)
        val server = aSocket(selector).tcp().bind(address) { reuseAddress = true }
        lastPort = server.port
        boundPort.complete(server.port)
        return server
    }

    private suspend fun connectAll(
        selector: SelectorManager,
        server: ServerSocket,
    ) {
        try {
            supervisorScope {
                launch { accept(server, this@supervisorScope) }
                dialAll(selector, this)
            }
        } finally {
            connections.closeAll()
        }
    }

    private suspend fun accept(
        server: ServerSocket,
        scope: CoroutineScope,
    ) {
        while (true) {
            val socket = server.accept()
            if (open.get() >= endpoint.limits.maxConnections) {
                socket.close()
            } else {
                scope.launch { serve(socket, dialed = null) }
            }
        }
    }

    private suspend fun dialAll(
        selector: SelectorManager,
        scope: CoroutineScope,
    ) {
        val planner = DialPlanner(entryId, random)
        while (true) {
            val wanted = unconnected()
            planner.due(wanted, clock.monotonicMillis()).forEach { address ->
                dialing += address
                scope.launch { dial(selector, address) }
            }
            delay(if (wanted.isEmpty() && dialing.isEmpty()) CALM_INTERVAL_MILLIS else DIAL_INTERVAL_MILLIS)
        }
    }

    private fun unconnected(): List<PeerAddress> {
        val connected = connections.peerIds
        val names = connected.mapTo(HashSet()) { it.entryId }
        return addresses().filter { address ->
            val known = peerIdByAddress[address]
            address.entryId != entryId &&
                address.entryId !in names &&
                address !in dialing &&
                known != localId &&
                known !in connected
        }
    }

    private suspend fun dial(
        selector: SelectorManager,
        address: PeerAddress,
    ) {
        try {
            val socket =
                withTimeout(endpoint.limits.handshakeTimeoutMillis) {
                    aSocket(selector).tcp().connect(InetSocketAddress(address.host, address.port)) { noDelay = true }
                }
            dialing -= address
            serve(socket, address)
        } catch (e: IOException) {
            currentCoroutineContext().ensureActive()
        } catch (e: CancellationException) {
            currentCoroutineContext().ensureActive()
        } catch (e: IllegalArgumentException) {
            log.write(Event.PEER_REFUSED, "'${address.host}:${address.port}' is no address: $e")
        } finally {
            dialing -= address
        }
    }

    // What a listener cannot handle ends this connection, and no other.
    @Suppress("TooGenericExceptionCaught")
    private suspend fun serve(
        socket: Socket,
        dialed: PeerAddress?,
    ) {
        val remote = socket.remoteAddress
        open.incrementAndGet()
        try {
            socket.use { exchange(it, dialed) }
        } catch (e: PeerProtocolException) {
            stats.refusedFrames.incrementAndGet()
            log.write(Event.PEER_REFUSED, "$remote: ${e.message}")
        } catch (e: IOException) {
            currentCoroutineContext().ensureActive()
        } catch (e: CancellationException) {
            currentCoroutineContext().ensureActive()
        } catch (e: RuntimeException) {
            stats.refusedFrames.incrementAndGet()
            log.write(Event.PEER_REFUSED, "$remote: a message cannot be handled: $e")
        } finally {
            open.decrementAndGet()
        }
    }

    private suspend fun exchange(
        socket: Socket,
        dialed: PeerAddress?,
    ) {
        val context = ConnectionContext(localId, endpoint.secret, endpoint.limits, stats)
        val remote = socket.remoteAddress
        val connection = PeerConnection.open(socket, dialed != null, context)
        if (dialed != null) peerIdByAddress[dialed] = connection.peerId
        if (context.localId != localId || !connections.add(connection)) return
        stats.openedConnections.incrementAndGet()
        log.write(Event.PEER_CONNECTED, "connected to '${connection.peerId.entryId}' at $remote")
        try {
            coroutineScope { connection.run { deliver(connection.peerId, it) } }
        } finally {
            connections.remove(connection)
            connection.close()
            log.write(Event.PEER_DISCONNECTED, "connection to '${connection.peerId.entryId}' has ended")
        }
    }

    private fun deliver(
        from: PeerId,
        payload: ByteArray,
    ) {
        val message = decodeMessage(payload)
        if (message == null) {
            stats.refusedFrames.incrementAndGet()
            return
        }
        listeners.forEach { it.received(from, message) }
    }
}
