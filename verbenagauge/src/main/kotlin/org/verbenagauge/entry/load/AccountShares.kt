package org.verbenagauge.entry.load

/**
 * Whether a job lies within the share of its account.
 *
 * @property isSurplus whether the job exceeds the weight of its account.
 * @property aheadMillis how far the account was ahead of its rate when it submitted the job, less a tolerance of one
 *   second; 0 while the account submits no surplus.
 */
public data class ShareStatus(
    val isSurplus: Boolean,
    val aheadMillis: Long,
) {
    public companion object {
        /** Within the share of an account that is not ahead of its rate. */
        public val WITHIN_SHARE: ShareStatus = ShareStatus(isSurplus = false, aheadMillis = 0)
    }
}

/**
 * A job whose share status has changed.
 *
 * @property id job id.
 * @property share new status.
 */
public data class ShareChange(
    val id: String,
    val share: ShareStatus,
)

/**
 * Classifies the jobs of client accounts as within their share or surplus. Has no side effects outside its own state.
 */
public interface ShareRule {
    /**
     * Sets the rate of [account] to [weight] jobs per second; 0 means unlimited. Returns the jobs whose status changes.
     */
    public fun setWeight(
        account: String,
        weight: Double,
    ): List<ShareChange>

    /**
     * Records that [account] submitted the job [id] at [submittedUnixMillis], as read at [now] on the monotonic clock.
     * Returns the jobs whose status changes, including the new one unless its status is [ShareStatus.WITHIN_SHARE].
     */
    public fun recordSubmission(
        account: String,
        id: String,
        submittedUnixMillis: Long,
        now: Long,
    ): List<ShareChange>
}

/** Never classifies a job as surplus; the baseline for [AccountShares]. */
public object UnlimitedShares : ShareRule {
    override fun setWeight(
        account: String,
        weight: Double,
    ): List<ShareChange> = emptyList()

    override fun recordSubmission(
        account: String,
        id: String,
        submittedUnixMillis: Long,
        now: Long,
    ): List<ShareChange> = emptyList()
}

/**
 * Keeps a token bucket for each account. The bucket fills at the weight of the account, holds what accrues in
 * [WINDOW_MILLIS], and is applied in the order of submission times. Guards against one account that submits many times
 * its usual rate for some seconds.
 *
 * The status of a job depends only on the submission times of its account in the fixed period of [PERIOD_MILLIS] that
 * contains the job and in the period before, in whatever order they are read. For this, a bucket starts each period at
 * the level that the previous period would have left if it had started with a full bucket.
 */
public class AccountShares : ShareRule {
    private val accounts = HashMap<String, AccountHistory>()

    override fun setWeight(
        account: String,
        weight: Double,
    ): List<ShareChange> = accounts.getOrPut(account) { AccountHistory() }.setWeight(weight)

    override fun recordSubmission(
        account: String,
        id: String,
        submittedUnixMillis: Long,
        now: Long,
    ): List<ShareChange> {
        if (account.isEmpty()) return emptyList()
        return accounts
            .getOrPut(account) { AccountHistory() }
            .recordSubmission(Submission(id, submittedUnixMillis, now))
    }

    public companion object {
        /**
         * Window over which callers count the quota of an account (QuotaWindowS of the deployments), in milliseconds.
         */
        public const val WINDOW_MILLIS: Long = 5_000

        /**
         * Length of a period in milliseconds: over two windows, a rate of 1.25 times the weight is detected as surplus.
         */
        public const val PERIOD_MILLIS: Long = 2 * WINDOW_MILLIS

        /** Maximum clock skew between entries, in milliseconds. */
        private const val MAX_CLOCK_SKEW_MILLIS: Long = 2_000

        /** Time for which a submission affects the status of later jobs, in milliseconds. */
        public const val LOOKBACK_MILLIS: Long = 2 * PERIOD_MILLIS + MAX_CLOCK_SKEW_MILLIS
    }
}

/** A submitted job with the state of the token bucket after it. */
private class Submission(
    val id: String,
    val unixMillis: Long,
    val readAtMillis: Long,
) : Comparable<Submission> {
    val period: Long get() = Math.floorDiv(unixMillis, AccountShares.PERIOD_MILLIS)

    // Time at which the bucket is full again, given the level that the previous period left.
    var fullAtMillis = 0.0

    // The same, if the bucket had been full at the start of the period.
    var fullAtFromPeriodStartMillis = 0.0
    var isSurplus = false
    var aheadMillis = 0L

    // Last returned status.
    var share = ShareStatus.WITHIN_SHARE

    override fun compareTo(other: Submission): Int = compareValuesBy(this, other, { it.unixMillis }, { it.id })
}

/** Submissions of one account, ordered by time. */
private class AccountHistory {
    private val jobs = ArrayList<Submission>()
    private val surplusByPeriod = HashMap<Long, Int>()
    private var weight = 0.0

    fun setWeight(weight: Double): List<ShareChange> {
        if (weight == this.weight) return emptyList()
        this.weight = weight
        return reevaluateFrom(0)
    }

    fun recordSubmission(submission: Submission): List<ShareChange> {
        val found = jobs.binarySearch(submission)
        if (found >= 0) return emptyList()
        val index = -found - 1
        jobs.add(index, submission)
        return reevaluateFrom(index).also { dropExpired(submission.readAtMillis) }
    }

    // Drops whole periods only, so that the status of the remaining jobs does not change. Goes by the time of reading,
    // since wall clocks may be set.
    private fun dropExpired(now: Long) {
        val oldestMillis = now - RETENTION_MILLIS
        if (jobs.first().readAtMillis >= oldestMillis) return
        val firstPeriod = (jobs.firstOrNull { it.readAtMillis >= oldestMillis } ?: return).period - 1
        val kept = jobs.indexOfFirst { it.period >= firstPeriod }
        if (kept > 0) jobs.subList(0, kept).clear()
        surplusByPeriod.keys.removeIf { it < firstPeriod }
    }

    private fun reevaluateFrom(fromIndex: Int): List<ShareChange> {
        if (jobs.isEmpty()) return emptyList()
        val period = jobs[fromIndex].period
        val previousSurplusPeriods =
            (period..jobs.last().period).takeIf { jobs.last().period - period < MAX_PERIOD_SPAN }?.filter(::hasSurplus)
        for (index in fromIndex until jobs.size) evaluate(jobs[index], jobs.getOrNull(index - 1))
        val isUnchanged =
            previousSurplusPeriods != null &&
                (period..jobs.last().period).filter(::hasSurplus) == previousSurplusPeriods
        var first = fromIndex
        if (!isUnchanged) while (first > 0 && jobs[first - 1].period >= period) first--
        return (first until jobs.size).mapNotNull { publishChange(jobs[it]) }
    }

    private fun publishChange(submission: Submission): ShareChange? {
        val hasRecentSurplus = hasSurplus(submission.period) || hasSurplus(submission.period - 1)
        val share = ShareStatus(submission.isSurplus, if (hasRecentSurplus) submission.aheadMillis else 0)
        if (share == submission.share) return null
        submission.share = share
        return ShareChange(submission.id, share)
    }

    private fun hasSurplus(period: Long) = (surplusByPeriod[period] ?: 0) > 0

    private fun evaluate(
        submission: Submission,
        previous: Submission?,
    ) {
        val isSamePeriod = previous?.period == submission.period
        val isNextPeriod = previous != null && previous.period == submission.period - 1
        val fullAtFromPeriodStart = if (previous != null && isSamePeriod) previous.fullAtFromPeriodStartMillis else 0.0
        val fullAt =
            when {
                previous != null && isSamePeriod -> previous.fullAtMillis
                previous != null && isNextPeriod -> previous.fullAtFromPeriodStartMillis
                else -> 0.0
            }
        val at = submission.unixMillis.toDouble()
        val isSurplus = isSurplus(fullAt, at)
        if (isSurplus != submission.isSurplus) {
            surplusByPeriod.merge(submission.period, if (isSurplus) 1 else -1, Int::plus)
        }
        submission.isSurplus = isSurplus
        submission.aheadMillis = if (isSurplus) 0 else maxOf(0L, (fullAt - at).toLong() - AHEAD_TOLERANCE_MILLIS)
        submission.fullAtMillis = fullAtAfter(fullAt, at)
        submission.fullAtFromPeriodStartMillis = fullAtAfter(fullAtFromPeriodStart, at)
    }

    private fun isSurplus(
        fullAt: Double,
        at: Double,
    ): Boolean = weight > 0 && maxOf(0.0, fullAt - at) + intervalMillis > depthMillis

    private fun fullAtAfter(
        fullAt: Double,
        at: Double,
    ): Double = if (weight <= 0 || isSurplus(fullAt, at)) fullAt else maxOf(fullAt, at) + intervalMillis

    private val intervalMillis get() = MILLIS_PER_SECOND / weight

    // An account whose weight allows less than one job per window may still submit one.
    private val depthMillis get() = maxOf(AccountShares.WINDOW_MILLIS.toDouble(), intervalMillis)

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        // Weights are given in jobs per second, so differences within one second are ignored.
        const val AHEAD_TOLERANCE_MILLIS = 1_000L

        // Rows are read late while the store is unavailable, and an owner keeps running without it for a few seconds.
        const val RETENTION_MILLIS = 2 * AccountShares.LOOKBACK_MILLIS

        // Two rows are further apart than this only if a wall clock has jumped.
        const val MAX_PERIOD_SPAN = 10
    }
}
