package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.jobs.model.Amount

/** Decides which ranks a [RankIndex] returns, and how many it examines at a time. */
internal interface RankFilter {
    /** Whether a job with at least the demand [least] may start; false for certain only. */
    fun mayFit(least: Amount): Boolean

    /** Whether the job of [rank], which needs at least [least], may start; false for certain only. */
    fun mayStart(
        rank: Rank,
        least: Amount,
    ): Boolean

    /** Accounts for one comparison; returns false if none is left. */
    fun takeComparison(): Boolean
}

/**
 * Ranks in ascending order with the least demand of a task of each job. Finds ranks whose tasks fit without visiting
 * the others: ranks are kept in chunks, and a chunk whose least demand does not fit is passed over as a whole.
 */
internal class RankIndex : Iterable<Rank> {
    private class Entry(
        val rank: Rank,
        val demand: Amount,
    )

    private class Chunk(
        val entries: ArrayList<Entry>,
    ) {
        var least: Amount = leastOf(entries)

        val last: Rank get() = entries.last().rank

        fun remove(index: Int) {
            val removed = entries.removeAt(index)
            if (entries.isNotEmpty() && removed.demand.sharesPartWith(least)) least = leastOf(entries)
        }
    }

    private val chunks = ArrayList<Chunk>()

    /** Number of ranks. */
    var size = 0
        private set

    val isEmpty: Boolean get() = size == 0

    // Last rank that scans have passed; null before the first one.
    private var scannedTo: Rank? = null

    /** Adds [rank] of a job whose ready tasks need at least [demand] each. */
    fun add(
        rank: Rank,
        demand: Amount,
    ) {
        size++
        val entry = Entry(rank, demand)
        if (chunks.isEmpty()) {
            chunks += Chunk(arrayListOf(entry))
            return
        }
        val index = minOf(chunkOf(rank), chunks.lastIndex)
        val chunk = chunks[index]
        chunk.entries.add(chunk.entries.firstAtOrAfter(rank), entry)
        if (!chunk.least.fitsInto(demand)) chunk.least = chunk.least.atMost(demand)
        if (chunk.entries.size > MAX_CHUNK_SIZE) split(index)
    }

    private fun split(index: Int) {
        val entries = chunks[index].entries
        val half = entries.size / 2
        chunks[index] = Chunk(ArrayList(entries.subList(0, half)))
        chunks.add(index + 1, Chunk(ArrayList(entries.subList(half, entries.size))))
    }

    /** Removes [rank], which was added. */
    fun remove(rank: Rank) {
        val index = chunkOf(rank)
        val chunk = chunks[index]
        chunk.remove(chunk.entries.firstAtOrAfter(rank))
        if (chunk.entries.isEmpty()) chunks.removeAt(index)
        size--
    }

    override fun iterator(): Iterator<Rank> =
        object : Iterator<Rank> {
            private var chunkIndex = 0
            private var index = 0

            override fun hasNext() = chunkIndex < chunks.size

            override fun next(): Rank {
                val entries = chunks[chunkIndex].entries
                val rank = entries[index].rank
                if (++index == entries.size) {
                    chunkIndex++
                    index = 0
                }
                return rank
            }
        }

    /** Makes the scan continue behind [rank], unless it has passed it already. */
    fun skipTo(rank: Rank) {
        val scanned = scannedTo
        if (scanned == null || scanned < rank) scannedTo = rank
    }

    /** Makes the next scan begin with the first rank. */
    fun restartScan() {
        scannedTo = null
    }

    /**
     * Continues the scan up to the next rank that may start according to [filter], which [skipTo] then passes; returns
     * null at the end and when the filter allows no further comparison.
     */
    fun scan(filter: RankFilter): Rank? {
        val start = scannedTo
        var chunkIndex = if (start == null) 0 else chunkOf(start)
        var index = if (start == null || chunkIndex == chunks.size) 0 else chunks[chunkIndex].entries.firstAfter(start)
        while (chunkIndex < chunks.size) {
            val chunk = chunks[chunkIndex]
            if (!filter.takeComparison()) return null
            if (filter.mayFit(chunk.least)) {
                while (index < chunk.entries.size) {
                    if (!filter.takeComparison()) return null
                    val entry = chunk.entries[index++]
                    if (filter.mayStart(entry.rank, entry.demand)) return entry.rank
                    scannedTo = entry.rank
                }
            }
            scannedTo = chunk.last
            chunkIndex++
            index = 0
        }
        return null
    }

    /** Number of ranks that the scan has not reached yet. */
    fun countUnscanned(): Int {
        val start = scannedTo ?: return size
        val chunkIndex = chunkOf(start)
        if (chunkIndex == chunks.size) return 0
        val rest = chunks[chunkIndex].entries.let { it.size - it.firstAfter(start) }
        return rest + (chunkIndex + 1 until chunks.size).sumOf { chunks[it].entries.size }
    }

    /** Returns the first rank that the scan has not reached yet, or null if there is none. */
    fun firstUnscanned(): Rank? {
        val start =
            scannedTo ?: return chunks
                .firstOrNull()
                ?.entries
                ?.first()
                ?.rank
        val chunkIndex = chunkOf(start)
        val entries = chunks.getOrNull(chunkIndex)?.entries ?: return null
        return (
            entries.getOrNull(
                entries.firstAfter(start),
            ) ?: chunks.getOrNull(chunkIndex + 1)?.entries?.first()
        )?.rank
    }

    // Index of the first chunk that ends with [rank] or behind it; the number of chunks if all end before it.
    private fun chunkOf(rank: Rank): Int {
        val found = chunks.binarySearch { it.last.compareTo(rank) }
        return if (found >= 0) found else -found - 1
    }

    private companion object {
        const val MAX_CHUNK_SIZE = 64

        fun leastOf(entries: List<Entry>) =
            Amount(
                entries.minOf { it.demand.cpuMillis },
                entries.minOf { it.demand.memoryMegabytes },
                entries.minOf { it.demand.gpus },
            )

        fun Amount.sharesPartWith(other: Amount) =
            cpuMillis == other.cpuMillis || memoryMegabytes == other.memoryMegabytes || gpus == other.gpus

        fun List<Entry>.firstAtOrAfter(rank: Rank): Int {
            val found = binarySearch { it.rank.compareTo(rank) }
            return if (found >= 0) found else -found - 1
        }

        fun List<Entry>.firstAfter(rank: Rank): Int {
            val found = binarySearch { it.rank.compareTo(rank) }
            return if (found >= 0) found + 1 else -found - 1
        }
    }
}
