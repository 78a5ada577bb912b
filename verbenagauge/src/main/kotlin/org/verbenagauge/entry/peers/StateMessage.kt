package org.verbenagauge.entry.peers

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.CborLabel

/**
 * What an entry holds, as every state message tells it.
 *
 * @property version last change that the sender holds.
 * @property acceptedVersion last change that the sender knows to be accepted.
 * @property inForceVersion last change that the sender knows to be in force on every entry that may still act.
 * @property servedGuest whether the sender has lately confirmed an entry that is not a member.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public data class HeldReport(
    @CborLabel(1) val version: Long,
    @CborLabel(2) val acceptedVersion: Long = 0,
    @CborLabel(3) val inForceVersion: Long = 0,
    @CborLabel(4) val servedGuest: Boolean = false,
)

/** Messages that spread changes and confirm that none was missed. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public sealed interface StateMessage : PeerMessage {
    /** Asks what the receiver holds; it answers at once. */
    @Serializable
    @SerialName("ask")
    public data class Ask(
        @CborLabel(1) val questionId: Long,
        @CborLabel(2) val report: HeldReport,
    ) : StateMessage

    /**
     * Answers an [Ask].
     *
     * @property confirmedAgeMillis how long before this answer the sender was last certain to hold every accepted
     *   change, or null when it may not tell.
     */
    @Serializable
    @SerialName("ans")
    public data class Answer(
        @CborLabel(1) val questionId: Long,
        @CborLabel(2) val report: HeldReport,
        @CborLabel(3) val confirmedAgeMillis: Long? = null,
    ) : StateMessage

    /** Tells what the sender holds, after that has changed. */
    @Serializable
    @SerialName("tell")
    public data class Tell(
        @CborLabel(1) val report: HeldReport,
    ) : StateMessage

    /** Asks for the changes after [afterVersion]. */
    @Serializable
    @SerialName("want")
    public data class WantChanges(
        @CborLabel(1) val afterVersion: Long,
    ) : StateMessage

    /** Carries stored changes in order, as they are encoded in the table service. */
    @Serializable
    @SerialName("chg")
    public data class Changes(
        @CborLabel(1) val encodedChanges: List<String>,
        @CborLabel(2) val report: HeldReport,
    ) : StateMessage

    /** Carries part [index] of [count] of the whole state at [version], for a receiver that is far behind. */
    @Serializable
    @SerialName("snap")
    public class SnapshotPart(
        @CborLabel(1) public val version: Long,
        @CborLabel(2) public val index: Int,
        @CborLabel(3) public val count: Int,
        @CborLabel(4) @ByteString public val content: ByteArray,
    ) : StateMessage
}
