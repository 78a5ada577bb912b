package org.verbenagauge.entry.account

import org.verbenagauge.entry.model.PeerId
import org.verbenagauge.entry.peers.AccountMessage
import org.verbenagauge.entry.peers.PeerNetwork

private const val HEAD_FAN_OUT = 2
private const val MAX_COPIED_NAMES = 10_000

/** Returns the chain that the entry instance [peer] writes. */
internal fun chainOf(peer: PeerId): ChainId = ChainId(peer.entryId, java.lang.Long.toHexString(peer.incarnation))

/**
 * Picks the peer that gets the copy number [attempt] of a segment; peers of other availability zones are preferred.
 *
 * @param zoneOf availability zone of a peer, or null when it is not known.
 */
internal fun copyTarget(
    reachable: List<PeerId>,
    zoneOf: (PeerId) -> String?,
    localZoneId: String,
    attempt: Int,
): PeerId? {
    val (near, far) = reachable.sortedBy { it.entryId }.partition { zoneOf(it) == localZoneId }
    val candidates = far.ifEmpty { near }
    return if (candidates.isEmpty()) null else candidates[attempt.mod(candidates.size)]
}

/** Sends heads and copies to peers in turn; remembers who holds which copy. */
internal class AccountPeers(
    private val network: PeerNetwork,
    private val zoneOf: (PeerId) -> String?,
    private val localZoneId: String,
) {
    private val targetsByName = LinkedHashMap<String, MutableSet<PeerId>>()
    private var headTurn = 0
    private var copyTurn = 0

    fun sendHead(head: ChainHead) {
        val peers = network.reachable().sortedBy { it.entryId }
        val message = AccountMessage.Head(head.sequence, head.hash, head.time)
        repeat(minOf(HEAD_FAN_OUT, peers.size)) { network.send(peers[headTurn++.mod(peers.size)], message) }
    }

    @Synchronized
    fun sendCopy(segment: SegmentObject) {
        val target = copyTarget(network.reachable(), zoneOf, localZoneId, copyTurn++) ?: return
        if (targetsByName.size >= MAX_COPIED_NAMES) targetsByName.remove(targetsByName.keys.first())
        targetsByName.getOrPut(segment.name) { LinkedHashSet() }.add(target)
        network.send(target, AccountMessage.Copy(segment.name, segment.content))
    }

    @Synchronized
    fun stored(name: String) {
        targetsByName.remove(name)?.forEach { network.send(it, AccountMessage.Stored(name)) }
    }

    fun copyHeld(
        owner: PeerId,
        name: String,
    ) {
        network.send(owner, AccountMessage.CopyHeld(name))
    }
}
