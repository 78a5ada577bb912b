package org.verbenagauge.entry.peers

import kotlinx.serialization.Serializable
import org.verbenagauge.entry.model.PeerId

/** Message between two entry instances; one file for each family of messages. */
@Serializable
public sealed interface PeerMessage

/** Receives messages of peers; must return at once. */
public fun interface PeerListener {
    /** Handles [message] of [from]; messages can be lost, and arrive late, twice or in another order. */
    public fun received(
        from: PeerId,
        message: PeerMessage,
    )
}

/** Sends messages to other entry instances, without any promise of delivery. */
public interface PeerNetwork {
    /** Identity of this entry instance. */
    public val localId: PeerId

    /** Peers that answered lately. */
    public fun reachable(): List<PeerId>

    /** Queues [message] for [to]; false when it was dropped at once. */
    public fun send(
        to: PeerId,
        message: PeerMessage,
    ): Boolean

    /** Queues [message] for each peer that is reachable. */
    public fun sendToAll(message: PeerMessage) {
        reachable().forEach { send(it, message) }
    }

    /** Hands all further messages to [listener]. */
    public fun subscribe(listener: PeerListener)
}
