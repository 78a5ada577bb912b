package org.verbenagauge.entry.load

/** Classifies the jobs of client accounts as within their share or surplus. */
public interface SurplusRule {
    /**
     * Records a job that was accepted at [atMillis] for [teamName], whose share is [weight] jobs per second, and
     * returns whether it is surplus.
     */
    public fun isSurplus(
        teamName: String,
        weight: Double,
        atMillis: Long,
    ): Boolean

    /** Returns the accounts of which a job that arrives at [now] would be surplus. */
    public fun teamsInSurplus(now: Long): List<String>
}

/** Never classifies a job as surplus; the baseline for [WeightRateMeter]. */
public object NoSurplus : SurplusRule {
    override fun isSurplus(
        teamName: String,
        weight: Double,
        atMillis: Long,
    ): Boolean = false

    override fun teamsInSurplus(now: Long): List<String> = emptyList()
}

/**
 * Treats the weight of an account as a rate. Jobs that arrive faster for longer than [BURST_TOLERANCE_MILLIS] are
 * surplus (virtual scheduling, as in ITU-T I.371). Guards against one account that submits many times its usual rate.
 * Surplus jobs do not use up the share.
 */
public class WeightRateMeter : SurplusRule {
    private class Account(
        var dueMillis: Double,
        var intervalMillis: Double,
    )

    private val accounts = HashMap<String, Account>()

    override fun isSurplus(
        teamName: String,
        weight: Double,
        atMillis: Long,
    ): Boolean {
        if (teamName.isEmpty() || weight <= 0) return false
        val intervalMillis = MILLIS_PER_SECOND / weight
        val account = accounts.getOrPut(teamName) { Account(atMillis.toDouble(), intervalMillis) }
        account.intervalMillis = intervalMillis
        if (account.isAhead(atMillis)) return true
        account.dueMillis = maxOf(account.dueMillis, atMillis.toDouble()) + intervalMillis
        return false
    }

    override fun teamsInSurplus(now: Long): List<String> = accounts.filterValues { it.isAhead(now) }.keys.sorted()

    private fun Account.isAhead(atMillis: Long) = dueMillis > atMillis + maxOf(BURST_TOLERANCE_MILLIS, intervalMillis)

    public companion object {
        /** Time over which the rate of an account is averaged, in milliseconds, as for the quotas of callers. */
        public const val BURST_TOLERANCE_MILLIS: Double = 5_000.0
        private const val MILLIS_PER_SECOND = 1_000.0
    }
}

/**
 * Finds the fraction of an account's jobs that lies within its share, although the owner never sees the jobs that
 * entries refuse: the fraction shrinks while the accepted jobs exceed the share, and grows while they do not. Without
 * it, an account that exceeds its share would count as within it again as soon as its jobs are refused.
 */
public class WithinShareFractions(
    private val rule: SurplusRule,
) {
    private val fractions = LinkedHashMap<String, Double>()

    /** Updates the fractions at [now], twice per second, and returns those below one in thousandths, by account. */
    public fun update(now: Long): Map<String, Int> {
        val ahead = rule.teamsInSurplus(now).toSet()
        ahead.forEach { fractions[it] = maxOf(MIN_FRACTION, (fractions[it] ?: 1.0) * SHRINK_FACTOR) }
        fractions.keys.filter { it !in ahead }.forEach { fractions[it] = fractions.getValue(it) * GROWTH_FACTOR }
        fractions.values.removeIf { it >= 1 }
        return fractions.mapValues { (it.value * PERMILLE).toInt() }
    }

    private companion object {
        // Four updates adapt to seven times the share; a fraction that became too small recovers in as long again.
        const val SHRINK_FACTOR = 0.6
        const val GROWTH_FACTOR = 1.12

        // An account at fifty times its share; with a smaller fraction, too few jobs would be accepted to measure its
        // rate.
        const val MIN_FRACTION = 0.02
        const val PERMILLE = 1_000
    }
}
