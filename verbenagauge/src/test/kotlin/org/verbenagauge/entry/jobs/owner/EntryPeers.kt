package org.verbenagauge.entry.jobs.owner

import org.verbenagauge.entry.model.PeerId
import org.verbenagauge.entry.peers.PeerListener
import org.verbenagauge.entry.peers.PeerMessage
import org.verbenagauge.entry.peers.PeerNetwork

/** Simulated peer network of one entry: messages between entries are delayed and may be lost. */
internal class EntryPeers(
    override val localId: PeerId,
    private val process: VirtualProcess,
    private val time: VirtualTime,
    private val networkFaults: NetworkFaults,
    private val others: () -> List<EntryPeers>,
) : PeerNetwork {
    private var listener: PeerListener? = null

    override fun reachable(): List<PeerId> = others().map { it.localId }

    override fun send(
        to: PeerId,
        message: PeerMessage,
    ): Boolean {
        if (!networkFaults.passes(localId.entryId, to.entryId) || networkFaults.isMessageLost()) return false
        time.after(networkFaults.oneWayMillis()) { others().firstOrNull { it.localId == to }?.handle(localId, message) }
        return true
    }

    private fun handle(
        from: PeerId,
        message: PeerMessage,
    ) {
        process.step { listener?.received(from, message) }
    }

    override fun subscribe(listener: PeerListener) {
        this.listener = listener
    }
}
