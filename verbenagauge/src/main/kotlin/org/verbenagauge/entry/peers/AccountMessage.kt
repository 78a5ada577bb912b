package org.verbenagauge.entry.peers

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.CborLabel
import org.verbenagauge.entry.model.HybridTime

/** Messages that tie the chains of the account together and keep what the object store does not hold yet. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public sealed interface AccountMessage : PeerMessage {
    /**
     * Head of the sender's chain.
     *
     * @property sequence sequence of its last record.
     * @property hash hash after its last record, in hexadecimal digits.
     * @property time time of its last record.
     */
    @Serializable
    @SerialName("account-head")
    public data class Head(
        @CborLabel(1) val sequence: Long,
        @CborLabel(2) val hash: String,
        @CborLabel(3) val time: HybridTime,
    ) : AccountMessage

    /**
     * Copy of a segment of the sender's chain that is not stored yet.
     *
     * @property name name of the segment.
     * @property content object as it will be stored.
     */
    @Serializable
    @SerialName("account-copy")
    public class Copy(
        @CborLabel(1) public val name: String,
        @CborLabel(2) @ByteString public val content: ByteArray,
    ) : AccountMessage

    /** The sender holds a copy of the segment [name]. */
    @Serializable
    @SerialName("account-copy-held")
    public data class CopyHeld(
        @CborLabel(1) val name: String,
    ) : AccountMessage

    /** The segment [name] of the sender is stored; copies can be forgotten. */
    @Serializable
    @SerialName("account-stored")
    public data class Stored(
        @CborLabel(1) val name: String,
    ) : AccountMessage
}
