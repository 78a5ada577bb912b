package org.verbenagauge.entry.jobs.owner

/** Tracks, over a sliding window, how long events wait for the owner's decision and how long decisions take. */
internal class DecisionLatency {
    private class Decision(
        val endMillis: Long,
        val ageMillis: Long,
        val durationMillis: Long,
    )

    private val decisions = ArrayDeque<Decision>()
    private var oldestEventMillis: Long? = null

    /** Records an event that arrived at [now]. */
    fun recordEvent(now: Long) {
        if (oldestEventMillis == null) oldestEventMillis = now
    }

    /** Records a decision that covers all events recorded so far and ran from [startMillis] to [now]. */
    fun recordDecision(
        startMillis: Long,
        now: Long,
    ) {
        decisions.addLast(Decision(now, startMillis - (oldestEventMillis ?: startMillis), now - startMillis))
        oldestEventMillis = null
        evictOld(now)
    }

    /**
     * Returns the longest time that an event in the window before [now] waited for its decision, including one that
     * still waits.
     */
    fun longestAgeMillis(now: Long): Long {
        evictOld(now)
        return maxOf(decisions.maxOfOrNull { it.ageMillis } ?: 0, oldestEventMillis?.let { now - it } ?: 0)
    }

    /** Returns the duration of the longest decision in the window before [now]. */
    fun longestDecisionMillis(now: Long): Long {
        evictOld(now)
        return decisions.maxOfOrNull { it.durationMillis } ?: 0
    }

    private fun evictOld(now: Long) {
        while (decisions.isNotEmpty() && decisions.first().endMillis < now - WINDOW_MILLIS) decisions.removeFirst()
    }

    private companion object {
        // Metrics are scraped every five seconds (DEPLOY, The deploy file).
        const val WINDOW_MILLIS = 5_000L
    }
}
