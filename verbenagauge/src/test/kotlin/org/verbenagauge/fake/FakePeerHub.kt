package org.verbenagauge.fake

import org.verbenagauge.entry.model.PeerId
import org.verbenagauge.entry.peers.PeerListener
import org.verbenagauge.entry.peers.PeerMessage
import org.verbenagauge.entry.peers.PeerNetwork

/** Message on its way between two entries of a [FakePeerHub]. */
data class FakeEnvelope(
    val from: PeerId,
    val to: PeerId,
    val message: PeerMessage,
)

/**
 * Joins entries in memory. Nothing is delivered until the test says so, in any order that it likes: it takes
 * envelopes out of [inFlight] to lose them, adds them again to duplicate them, and delivers any of them.
 */
class FakePeerHub {
    /** Messages that were sent and not delivered yet, oldest first. */
    val inFlight = mutableListOf<FakeEnvelope>()

    private val networks = LinkedHashMap<PeerId, FakePeerNetwork>()
    private val cut = HashSet<Set<PeerId>>()

    /** Adds the entry [id] to the network. */
    fun join(id: PeerId): PeerNetwork = FakePeerNetwork(id).also { networks[id] = it }

    /** Removes the entry [id]; messages for it are lost. */
    fun leave(id: PeerId) {
        networks.remove(id)
    }

    /** Cuts the link between [one] and [other]. */
    fun cut(
        one: PeerId,
        other: PeerId,
    ) {
        cut += setOf(one, other)
    }

    /** Mends all links. */
    fun mend() = cut.clear()

    /** Delivers [envelope] unless its link is cut or its receiver has left. */
    fun deliver(envelope: FakeEnvelope) {
        inFlight -= envelope
        if (setOf(envelope.from, envelope.to) in cut) return
        networks[envelope.to]?.deliver(envelope)
    }

    /** Delivers messages in the order of sending until none is left, up to [limit] messages. */
    fun deliverAll(limit: Int = 10_000) {
        repeat(limit) { deliver(inFlight.firstOrNull() ?: return) }
        error("messages never end")
    }

    private inner class FakePeerNetwork(
        override val localId: PeerId,
    ) : PeerNetwork {
        private val listeners = mutableListOf<PeerListener>()

        override fun reachable(): List<PeerId> = networks.keys.filter { it != localId && setOf(it, localId) !in cut }

        override fun send(
            to: PeerId,
            message: PeerMessage,
        ): Boolean {
            if (to !in networks) return false
            inFlight += FakeEnvelope(localId, to, message)
            return true
        }

        override fun subscribe(listener: PeerListener) {
            listeners += listener
        }

        fun deliver(envelope: FakeEnvelope) = listeners.forEach { it.received(envelope.from, envelope.message) }
    }
}
