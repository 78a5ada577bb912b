package org.verbenagauge.entry.jobs.owner

/** Tells whether the owner keeps up: how long events wait for a decision, and how long decisions take, of late. */
internal class DecisionLatency {
    private class Decision(
        val endMillis: Long,
        val ageMillis: Long,
        val durationMillis: Long,
    )

    private val decisions = ArrayDeque<Decision>()
    private var oldestEventMillis: Long? = null

    /** Takes note of an event at [now]. */
    fun recordEvent(now: Long) {
        if (oldestEventMillis == null) oldestEventMillis = now
    }

    /** Takes note of a decision on all events so far, from [startMillis] to [now]. */
    fun recordDecision(
        startMillis: Long,
        now: Long,
    ) {
        decisions.addLast(Decision(now, startMillis - (oldestEventMillis ?: startMillis), now - startMillis))
        oldestEventMillis = null
        evictOld(now)
    }

    /** Longest wait of an event for its decision in the last seconds before [now], one that still waits included. */
    fun longestAgeMillis(now: Long): Long {
        evictOld(now)
        return maxOf(decisions.maxOfOrNull { it.ageMillis } ?: 0, oldestEventMillis?.let { now - it } ?: 0)
    }

    /** Longest decision of the last seconds before [now]. */
    fun longestDecisionMillis(now: Long): Long {
        evictOld(now)
        return decisions.maxOfOrNull { it.durationMillis } ?: 0
    }

    private fun evictOld(now: Long) {
        while (decisions.isNotEmpty() && decisions.first().endMillis < now - WINDOW_MILLIS) decisions.removeFirst()
    }

    private companion object {
        // Metrics are read every five seconds (DEPLOY, The deploy file).
        const val WINDOW_MILLIS = 5_000L
    }
}
