package org.verbenagauge.entry.peers

import org.verbenagauge.entry.model.PeerId
import java.util.concurrent.ConcurrentHashMap

/** Live connections of an entry, one for each peer. */
internal class ConnectionTable(
    private val localId: () -> PeerId,
) {
    private val connections = ConcurrentHashMap<PeerId, PeerConnection>()

    val peerIds: List<PeerId> get() = ArrayList(connections.keys)

    operator fun get(id: PeerId): PeerConnection? = connections[id]

    /** Adds [connection]; false when a better one is there. A connection that it replaces is closed. */
    @Synchronized
    fun add(connection: PeerConnection): Boolean {
        val present = connections[connection.peerId]
        if (present != null && isPreferred(present) && !isPreferred(connection)) return false
        connections[connection.peerId] = connection
        present?.close()
        return true
    }

    /** Forgets [connection]. */
    fun remove(connection: PeerConnection) {
        connections.remove(connection.peerId, connection)
    }

    /** Closes all connections. */
    fun closeAll() = connections.values.forEach { it.close() }

    // Both sides prefer the connection that the entry whose name comes first has opened.
    private fun isPreferred(connection: PeerConnection): Boolean =
        connection.dialed == (localId().entryId < connection.peerId.entryId)
}
