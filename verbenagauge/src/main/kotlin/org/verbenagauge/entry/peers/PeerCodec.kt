package org.verbenagauge.entry.peers

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor

@OptIn(ExperimentalSerializationApi::class)
internal val peerCbor =
    Cbor {
        ignoreUnknownKeys = true
        encodeDefaults = false
        preferCborLabelsOverNames = true
        useDefiniteLengthEncoding = true
    }

// The generated function makes a new one, with the descriptors of all messages, at each call.
private val messageSerializer = PeerMessage.serializer()

/** Returns the payload of a frame that carries [message]. */
@OptIn(ExperimentalSerializationApi::class)
internal fun encodeMessage(message: PeerMessage): ByteArray = peerCbor.encodeToByteArray(messageSerializer, message)

/** Reads a message from the payload of a frame; null when this release cannot read it. */
@OptIn(ExperimentalSerializationApi::class)
internal fun decodeMessage(payload: ByteArray): PeerMessage? =
    decodeOrNull { peerCbor.decodeFromByteArray(messageSerializer, payload) }

/** Returns the result of [decode], or null when the bytes are not what it expects. */
@Suppress("TooGenericExceptionCaught", "SwallowedException")
internal fun <T> decodeOrNull(decode: () -> T): T? =
    try {
        decode()
    } catch (e: SerializationException) {
        null
    } catch (e: RuntimeException) {
        null
    }
