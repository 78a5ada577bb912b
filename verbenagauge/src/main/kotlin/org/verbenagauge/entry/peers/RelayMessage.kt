package org.verbenagauge.entry.peers

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.CborLabel

/** Messages by which an entry reaches the platform's store through a peer. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public sealed interface RelayMessage : PeerMessage {
    /**
     * Asks the receiver to make a call to the store.
     *
     * @property requestId names the call at the sender.
     * @property method method.
     * @property path path with its query.
     * @property body body.
     * @property timeoutMillis longest wait for the store.
     */
    @Serializable
    @SerialName("relay-call")
    public class Call(
        @CborLabel(1) public val requestId: Long,
        @CborLabel(2) public val method: String,
        @CborLabel(3) public val path: String,
        @ByteString @CborLabel(4) public val body: ByteArray,
        @CborLabel(5) public val timeoutMillis: Long,
    ) : RelayMessage

    /**
     * One part of an answer to [Call].
     *
     * @property requestId names the call.
     * @property status status of the store, or [NOT_DONE] or [NOT_KNOWN].
     * @property part number of this part, from 0.
     * @property parts number of parts.
     * @property body bytes of this part.
     */
    @Serializable
    @SerialName("relay-answer")
    public class Answer(
        @CborLabel(1) public val requestId: Long,
        @CborLabel(2) public val status: Int,
        @CborLabel(3) public val part: Int,
        @CborLabel(4) public val parts: Int,
        @ByteString @CborLabel(5) public val body: ByteArray,
    ) : RelayMessage

    public companion object {
        /** The store was not reached: nothing was done. */
        public const val NOT_DONE: Int = 0

        /** The store did not answer: it may be done, now or later. */
        public const val NOT_KNOWN: Int = 1
    }
}
