package org.verbenagauge.entry.peers

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** Messages of the entry that decides on placement to all others. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public sealed interface OwnerMessage : PeerMessage {
    /**
     * The owner lives.
     *
     * @property epoch epoch of the owner.
     */
    @Serializable
    @SerialName("owner-beat")
    public data class Beat(
        @CborLabel(1) val epoch: Long,
    ) : OwnerMessage

    /**
     * States of jobs that have just been stored.
     *
     * @property states name of the state by job.
     */
    @Serializable
    @SerialName("owner-states")
    public data class States(
        @CborLabel(1) val states: Map<String, String>,
    ) : OwnerMessage
}
