package org.verbenagauge.entry.jobs.owner

import org.verbenagauge.entry.model.PeerId
import org.verbenagauge.entry.peers.PeerListener
import org.verbenagauge.entry.peers.PeerMessage
import org.verbenagauge.entry.peers.PeerNetwork

/** Direct news between entries, which are lost and late. */
internal class EntryPeers(
    override val localId: PeerId,
    private val process: VirtualProcess,
    private val time: VirtualTime,
    private val wire: WireTrouble,
    private val others: () -> List<EntryPeers>,
) : PeerNetwork {
    private var listener: PeerListener? = null

    override fun reachable(): List<PeerId> = others().map { it.localId }

    override fun send(
        to: PeerId,
        message: PeerMessage,
    ): Boolean {
        if (!wire.passes(localId.entryId, to.entryId) || wire.isMessageLost()) return false
        time.after(wire.wayMillis()) { others().firstOrNull { it.localId == to }?.take(localId, message) }
        return true
    }

    private fun take(
        from: PeerId,
        message: PeerMessage,
    ) {
        process.step { listener?.received(from, message) }
    }

    override fun subscribe(listener: PeerListener) {
        this.listener = listener
    }
}
