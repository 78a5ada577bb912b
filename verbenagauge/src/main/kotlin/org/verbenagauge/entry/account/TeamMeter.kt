package org.verbenagauge.entry.account

private const val BUCKETS = 12
private const val BUCKET_MILLIS = 5_000L

/**
 * What a team used in the last minute through this entry instance.
 *
 * @property answered requests with an answer.
 * @property ranMillis time that these requests ran on endpoints.
 */
public data class TeamUsage(
    val answered: Long,
    val ranMillis: Long,
) {
    /** Mean number of requests that ran at once. */
    public val meanRunning: Double get() = ranMillis.toDouble() / (BUCKETS * BUCKET_MILLIS)
}

/** Sums what each team used, in buckets of some seconds. */
public class TeamMeter {
    private val buckets = Array(BUCKETS) { HashMap<String, TeamUsage>() }
    private var lastBucket = Long.MIN_VALUE

    /** Adds [record], answered at [nowMillis]. */
    @Synchronized
    public fun add(
        record: JobRecord,
        nowMillis: Long,
    ) {
        val teamId = record.teamId ?: return
        moveTo(nowMillis)
        buckets[lastBucket.mod(BUCKETS)].merge(teamId, TeamUsage(1, record.ranMillis), ::sum)
    }

    /** Returns what each team used in the minute before [nowMillis]. */
    @Synchronized
    public fun usage(nowMillis: Long): Map<String, TeamUsage> {
        moveTo(nowMillis)
        val total = HashMap<String, TeamUsage>()
        buckets.forEach { bucket -> bucket.forEach { (teamId, usage) -> total.merge(teamId, usage, ::sum) } }
        return total
    }

    private fun moveTo(nowMillis: Long) {
        val bucket = nowMillis.floorDiv(BUCKET_MILLIS)
        val first = maxOf(lastBucket + 1, bucket - BUCKETS + 1)
        if (lastBucket == Long.MIN_VALUE) {
            lastBucket = bucket
            return
        }
        for (passed in first..bucket) buckets[passed.mod(BUCKETS)].clear()
        lastBucket = maxOf(lastBucket, bucket)
    }

    private fun sum(
        one: TeamUsage,
        other: TeamUsage,
    ) = TeamUsage(one.answered + other.answered, one.ranMillis + other.ranMillis)
}
