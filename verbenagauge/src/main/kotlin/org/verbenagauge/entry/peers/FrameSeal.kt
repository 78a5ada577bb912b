package org.verbenagauge.entry.peers

import java.nio.ByteBuffer
import java.security.MessageDigest
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

private const val ALGORITHM = "HmacSHA256"

/** Bytes of the authentication code of a frame: HMAC-SHA256 (RFC 2104) truncated to half, as its section 5 allows. */
internal const val MAC_BYTES = 16

/** Largest frame without its length. */
internal const val MAX_FRAME_BYTES = 256 * 1_024

/** Largest payload of a frame. */
internal const val MAX_PAYLOAD_BYTES = MAX_FRAME_BYTES - MAC_BYTES

/** Returns the HMAC-SHA256 of [parts], each with its length, under [key]. */
internal fun hmac(
    key: ByteArray,
    vararg parts: ByteArray,
): ByteArray {
    val mac = Mac.getInstance(ALGORITHM).apply { init(SecretKeySpec(key, ALGORITHM)) }
    parts.forEach {
        mac.update(ByteBuffer.allocate(Int.SIZE_BYTES).putInt(it.size).array())
        mac.update(it)
    }
    return mac.doFinal()
}

/**
 * Authenticates the frames of one direction of one connection. The number of the frame enters its code, so
 * that a frame that is repeated, left out or moved to another place does not pass. Not safe for threads.
 *
 * @param key key of this direction of this connection.
 */
internal class FrameSeal(
    key: ByteArray,
) {
    private val mac = Mac.getInstance(ALGORITHM).apply { init(SecretKeySpec(key, ALGORITHM)) }
    private var frameNumber = 0L

    /** Returns the next frame, without its length. */
    fun seal(payload: ByteArray): ByteArray {
        require(payload.size <= MAX_PAYLOAD_BYTES) { "payload of ${payload.size} bytes exceeds $MAX_PAYLOAD_BYTES" }
        return code(payload, 0) + payload
    }

    /** Returns the payload of the next [frame], or null when it is not authentic. */
    fun open(frame: ByteArray): ByteArray? {
        if (frame.size < MAC_BYTES) return null
        val expected = code(frame, MAC_BYTES)
        if (!MessageDigest.isEqual(expected, frame.copyOf(MAC_BYTES))) return null
        return frame.copyOfRange(MAC_BYTES, frame.size)
    }

    private fun code(
        bytes: ByteArray,
        offset: Int,
    ): ByteArray {
        mac.update(ByteBuffer.allocate(Long.SIZE_BYTES).putLong(frameNumber++).array())
        mac.update(bytes, offset, bytes.size - offset)
        return mac.doFinal().copyOf(MAC_BYTES)
    }
}
