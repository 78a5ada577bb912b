package org.verbenagauge.entry.fleet

import org.verbenagauge.entry.model.sha256Hex
import org.verbenagauge.entry.peers.PeerNetwork

/**
 * Returns the position of the local entry among the reachable ones, 0 for the first: rendezvous hashing
 * (D. Thaler and C. Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998). Entries that see
 * different peers may hold the same position.
 */
internal fun driverRank(network: PeerNetwork?): Int {
    if (network == null) return 0
    val localWeight = weight(network.localId.entryId)
    return network.reachable().count { weight(it.entryId) > localWeight }
}

private fun weight(entryId: String): String = sha256Hex("fleet/$entryId")
