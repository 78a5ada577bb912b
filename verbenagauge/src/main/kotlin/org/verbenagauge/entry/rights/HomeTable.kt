package org.verbenagauge.entry.rights

import org.verbenagauge.entry.model.PeerId
import org.verbenagauge.entry.model.RightsGroup

/** Home of each group: the reachable member with the highest hash for the group (rendezvous hashing). */
internal class HomeTable(
    private val localId: PeerId,
) {
    private val homes = HashMap<RightsGroup, PeerId>()
    private var candidates = listOf(localId)

    fun homeOf(group: RightsGroup): PeerId = homes.getOrPut(group) { choose(group) }

    /** Takes up who may be a home and returns the groups whose home has changed. */
    fun update(
        members: Set<PeerId>,
        reachable: Set<PeerId>,
    ): List<RightsGroup> {
        val next = members.filter { it == localId || it in reachable }
        if (next == candidates || next.isEmpty()) return emptyList()
        candidates = next
        val moved = homes.filter { (group, home) -> choose(group) != home }.keys.toList()
        moved.forEach { homes[it] = choose(it) }
        return moved
    }

    private fun choose(group: RightsGroup): PeerId =
        candidates.maxWith(compareBy({ mix(group.hashCode() * HASH_FACTOR + it.hashCode()) }, { it.toString() }))

    // Finalizer of MurmurHash3 (Appleby).
    private fun mix(value: Int): Int {
        var hash = value
        hash = (hash xor (hash ushr 16)) * -0x7a143595
        hash = (hash xor (hash ushr 13)) * -0x3d4d51cb
        return hash xor (hash ushr 16)
    }

    private companion object {
        const val HASH_FACTOR = 31
    }
}
