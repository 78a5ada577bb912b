package org.verbenagauge.entry.jobs.engine

/**
 * One pass over the waiting jobs of a service: first in order with [next], then with [scan] over those behind them that
 * may fit. Valid until the index changes.
 */
internal class ReadyPass(
    private val withinShare: RankIndex,
    surplus: SurplusJobs,
    private val scan: ReadyScan,
) {
    private val ranks = withinShare.iterator()
    private val surplusPass by lazy(LazyThreadSafetyMode.NONE, surplus::begin)
    private var visited: Rank? = null
    private var isWithinShareScanned = false

    /** Returns the next job in order, or null if there is none. */
    fun next(): Rank? = if (ranks.hasNext()) ranks.next().also { visited = it } else surplusPass.next()

    /**
     * Returns the next job that may start, or null if there is none or no further comparison is allowed. The scan
     * continues where the last one ended early.
     *
     * @param filter filter for jobs within the share of their account.
     * @param surplusFilter filter for surplus jobs.
     */
    fun scan(
        filter: RankFilter,
        surplusFilter: () -> RankFilter,
    ): Rank? {
        scan.begin()
        if (!isWithinShareScanned) {
            visited?.let(withinShare::skipTo)
            withinShare.scan(filter)?.let {
                visited = it
                withinShare.skipTo(it)
                return it
            }
            isWithinShareScanned = true
        }
        return surplusPass.scan(surplusFilter())
    }

    /** Number of jobs that the scan has yet to examine. */
    val remaining: Int get() = scan.remaining

    /** First job that the scan has yet to examine. */
    val firstRemaining: JobEntry? get() = scan.firstRemaining

    /** Ends the scan, so that the next one begins with the first jobs. */
    fun endScan() {
        scan.end()
    }
}

/** Position of the scans over the jobs of one service, which outlasts a pass that ends early. */
internal class ReadyScan(
    private val withinShare: RankIndex,
    private val surplus: SurplusJobs,
) {
    private var isOpen = false

    /** Number of jobs that the scan has yet to examine; 0 if none is open. */
    val remaining: Int get() = if (isOpen) indexes().sumOf { it.countUnscanned() } else 0

    /** First job that the scan has yet to examine. */
    val firstRemaining: JobEntry? get() = indexes().firstNotNullOfOrNull { it.firstUnscanned() }?.job

    /** Opens the scan unless it is open. */
    fun begin() {
        isOpen = true
    }

    /** Ends the scan, so that the next one begins with the first jobs. */
    fun end() {
        if (!isOpen) return
        isOpen = false
        indexes().forEach { it.restartScan() }
    }

    private fun indexes() = sequenceOf(withinShare) + surplus.indexes()
}
