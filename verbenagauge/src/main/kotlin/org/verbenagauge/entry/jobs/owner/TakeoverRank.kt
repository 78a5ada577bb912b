package org.verbenagauge.entry.jobs.owner

/**
 * Says how many others an entry lets go first when the duty of the owner is vacant. A pure decision. Entries that wait
 * rarely share a rank; those on weak machines wait until the strong ones that are there have had their turn, since the
 * owner decides for the whole fleet.
 *
 * @param ownCores processor of the machine of this entry, in cores; 0 when not known.
 */
internal class TakeoverRank(
    private val entryId: String,
    private val ownCores: Double,
) {
    /** Returns the rank beside peers that are reached and have [othersCores]. */
    fun rank(othersCores: Collection<Double>): Int {
        val hashRank = (entryId.hashCode() and Int.MAX_VALUE) % RANK_COUNT
        val mostCores = othersCores.maxOrNull() ?: 0.0
        val isWeak = ownCores > 0 && ownCores < mostCores * SIMILAR_CORES_RATIO
        return if (isWeak) RANK_COUNT + hashRank else hashRank
    }

    private companion object {
        const val RANK_COUNT = 8

        // Machines of one kind are told with the same figure.
        const val SIMILAR_CORES_RATIO = 0.9
    }
}
