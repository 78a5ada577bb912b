package org.verbenagauge.entry.state.sim

import org.verbenagauge.entry.model.PeerId

/**
 * Faults of the network and the store that are in force.
 *
 * @property lossPercent messages and store requests that are lost.
 * @property duplicatePercent messages that arrive twice.
 * @property slowPercent messages and store requests that take up to [slowMillis].
 * @property staleReadPercent plain reads that show an earlier state.
 */
internal class SimFaults(
    var lossPercent: Int = 0,
    var duplicatePercent: Int = 0,
    var slowPercent: Int = 0,
    var slowMillis: Long = 3_000,
    var staleReadPercent: Int = 0,
) {
    /** While true, the store does not answer anyone. */
    var storeDown = false

    /** Entries that do not reach the store. */
    val cutFromStore = HashSet<String>()

    /** Pairs of entries that do not reach each other. */
    val cutPairs = HashSet<Set<String>>()

    fun isCut(
        one: PeerId,
        other: PeerId,
    ) = setOf(one.entryId, other.entryId) in cutPairs

    /** Ends all faults. */
    fun heal() {
        lossPercent = 0
        duplicatePercent = 0
        slowPercent = 0
        staleReadPercent = 0
        storeDown = false
        cutFromStore.clear()
        cutPairs.clear()
    }
}
