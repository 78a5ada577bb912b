package org.verbenagauge.entry.peers

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.verbenagauge.entry.model.PeerId

/** Oldest and newest protocol versions that this release speaks. */
internal val protocolVersions = 1..1

internal const val MAX_HELLO_BYTES = 1_024
internal const val NONCE_BYTES = 16

/**
 * First frame of either side of a connection. It is not authenticated; its bytes enter the keys of the
 * connection, so that the first authenticated frame proves them.
 *
 * @property oldestVersion oldest protocol version that the sender speaks.
 * @property newestVersion newest protocol version that the sender speaks.
 * @property id identity of the sender.
 * @property nonce random bytes, new for each connection.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal class Hello(
    val oldestVersion: Int,
    val newestVersion: Int,
    val id: PeerId,
    @ByteString val nonce: ByteArray,
)

/** Outcome of reading the [Hello] of the other side. */
internal sealed interface HelloOutcome {
    class Accepted(
        val id: PeerId,
        val protocolVersion: Int,
    ) : HelloOutcome

    class Refused(
        val problem: String,
    ) : HelloOutcome
}

@OptIn(ExperimentalSerializationApi::class)
internal fun encodeHello(hello: Hello): ByteArray = peerCbor.encodeToByteArray(hello)

/** Reads the hello of a peer of [localId]. */
@OptIn(ExperimentalSerializationApi::class)
internal fun readHello(
    bytes: ByteArray,
    localId: PeerId,
): HelloOutcome {
    val hello =
        decodeOrNull { peerCbor.decodeFromByteArray<Hello>(bytes) } ?: return refused("its hello cannot be read")
    val version = minOf(hello.newestVersion, protocolVersions.last)
    return when {
        version < maxOf(hello.oldestVersion, protocolVersions.first) ->
            refused("it speaks protocol ${hello.oldestVersion} to ${hello.newestVersion}, this entry $protocolVersions")
        hello.id.entryId.isEmpty() -> refused("its hello names no entry")
        hello.nonce.size != NONCE_BYTES -> refused("its hello holds a nonce of ${hello.nonce.size} bytes")
        hello.id == localId -> refused("it is this entry itself")
        else -> HelloOutcome.Accepted(hello.id, version)
    }
}

private fun refused(problem: String) = HelloOutcome.Refused(problem)

/** Seals of the two directions of a connection. */
internal class ConnectionSeals(
    val sending: FrameSeal,
    val receiving: FrameSeal,
)

/** Derives the seals of one end of a connection from the shared [secret] and both hellos. */
internal fun connectionSeals(
    secret: ByteArray,
    dialerHello: ByteArray,
    listenerHello: ByteArray,
    dialing: Boolean,
): ConnectionSeals {
    val fromDialer = FrameSeal(hmac(secret, "from dialer".encodeToByteArray(), dialerHello, listenerHello))
    val fromListener = FrameSeal(hmac(secret, "from listener".encodeToByteArray(), dialerHello, listenerHello))
    return if (dialing) ConnectionSeals(fromDialer, fromListener) else ConnectionSeals(fromListener, fromDialer)
}
