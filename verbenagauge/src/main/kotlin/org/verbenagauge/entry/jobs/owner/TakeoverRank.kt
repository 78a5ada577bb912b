package org.verbenagauge.entry.jobs.owner

/**
 * Computes how many other entries an entry lets go first when ownership is vacant. Has no state or side effects.
 * Waiting entries rarely share a rank, since it depends on a hash of their ids. Entries on weak machines rank behind
 * all reachable entries on strong ones, since the owner decides for the whole fleet.
 *
 * @param ownCores processor cores of this entry's machine; 0 when not known.
 */
internal class TakeoverRank(
    private val entryId: String,
    private val ownCores: Double,
) {
    /** Returns the rank among the reachable peers, whose machines have [othersCores] cores. */
    fun rank(othersCores: Collection<Double>): Int {
        val hashRank = (entryId.hashCode() and Int.MAX_VALUE) % RANK_COUNT
        val mostCores = othersCores.maxOrNull() ?: 0.0
        val isWeak = ownCores > 0 && ownCores < mostCores * SIMILAR_CORES_RATIO
        return if (isWeak) RANK_COUNT + hashRank else hashRank
    }

    private companion object {
        const val RANK_COUNT = 8

        // Machines of the same kind report the same number of cores.
        const val SIMILAR_CORES_RATIO = 0.9
    }
}
