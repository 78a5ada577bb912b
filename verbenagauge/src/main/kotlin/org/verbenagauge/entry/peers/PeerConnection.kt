package org.verbenagauge.entry.peers

import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt
import kotlinx.coroutines.channels.BufferOverflow
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import org.verbenagauge.entry.model.PeerId
import java.io.IOException
import java.security.SecureRandom

/** The other side broke the protocol; the connection is closed. */
internal class PeerProtocolException(
    problem: String,
) : IOException(problem)

/** What a connection needs to know of this entry. */
internal class ConnectionContext(
    val localId: PeerId,
    val secret: ByteArray,
    val limits: PeerLimits,
    val stats: PeerStats,
)

/** One authenticated connection to a peer. */
internal class PeerConnection private constructor(
    val peerId: PeerId,
    val dialed: Boolean,
    private val socket: Socket,
    private val input: ByteReadChannel,
    private val output: ByteWriteChannel,
    private val seals: ConnectionSeals,
    private val context: ConnectionContext,
) {
    private val queue =
        Channel<ByteArray>(context.limits.maxQueuedMessages, BufferOverflow.DROP_OLDEST) {
            context.stats.droppedMessages.incrementAndGet()
        }

    /** Queues [payload]; false when the connection is closed. */
    fun send(payload: ByteArray): Boolean = queue.trySend(payload).isSuccess

    /** Sends and receives until the connection ends, which it does by an exception. */
    suspend fun run(receive: (ByteArray) -> Unit): Unit =
        coroutineScope {
            launch { write() }
            while (true) {
                val payload = withTimeout(context.limits.silentAfterMillis) { readPayload() }
                if (payload.isNotEmpty()) receive(payload)
            }
        }

    /** Closes the connection. */
    fun close() {
        queue.close(IOException("the connection was closed"))
        socket.close()
    }

    private suspend fun write() {
        while (true) {
            val first = queue.receiveWithin(context.limits.keepaliveMillis) ?: keepalive
            writePayload(first)
            while (true) writePayload(queue.tryReceive().getOrNull() ?: break)
            output.flush()
        }
    }

    private suspend fun writePayload(payload: ByteArray) {
        val frame = seals.sending.seal(payload)
        output.writeFrame(frame)
        context.stats.sentFrames.incrementAndGet()
        context.stats.sentBytes.addAndGet((Int.SIZE_BYTES + frame.size).toLong())
    }

    private suspend fun readPayload(): ByteArray {
        val frame = input.readFrame(MAX_FRAME_BYTES)
        context.stats.receivedFrames.incrementAndGet()
        context.stats.receivedBytes.addAndGet((Int.SIZE_BYTES + frame.size).toLong())
        return seals.receiving.open(frame)
            ?: throw PeerProtocolException("a frame of '${peerId.entryId}' is not authentic")
    }

    companion object {
        private val keepalive = ByteArray(0)
        private val nonces = SecureRandom()

        /** Exchanges hellos over [socket] and proves to the other side, and lets it prove, that the secret is known. */
        suspend fun open(
            socket: Socket,
            dialed: Boolean,
            context: ConnectionContext,
        ): PeerConnection =
            withTimeout(context.limits.handshakeTimeoutMillis) {
                val input = socket.openReadChannel()
                val output = socket.openWriteChannel()
                val nonce = ByteArray(NONCE_BYTES).also(nonces::nextBytes)
                val own = encodeHello(Hello(protocolVersions.first, protocolVersions.last, context.localId, nonce))
                output.writeFrame(own)
                output.flush()
                val other = input.readFrame(MAX_HELLO_BYTES)
                val peerId =
                    when (val hello = readHello(other, context.localId)) {
                        is HelloOutcome.Refused -> throw PeerProtocolException("connection refused: ${hello.problem}")
                        is HelloOutcome.Accepted -> hello.id
                    }
                val seals =
                    if (dialed) {
                        connectionSeals(context.secret, own, other, dialing = true)
                    } else {
                        connectionSeals(context.secret, other, own, dialing = false)
                    }
                PeerConnection(peerId, dialed, socket, input, output, seals, context).also { it.prove() }
            }
    }

    private suspend fun prove() {
        writePayload(keepalive)
        output.flush()
        readPayload()
    }
}

internal suspend fun ByteWriteChannel.writeFrame(frame: ByteArray) {
    writeInt(frame.size)
    writeByteArray(frame)
}

/** Reads a frame of at most [maxBytes]; throws an [IOException] when there is none. */
internal suspend fun ByteReadChannel.readFrame(maxBytes: Int): ByteArray {
    val size = readInt()
    if (size !in 1..maxBytes) throw PeerProtocolException("a frame of $size bytes is not from 1 to $maxBytes bytes")
    return readByteArray(size)
}
