package org.verbenagauge.entry.jobs.owner

/** Tells whether the owner keeps up: how long events wait for a decision, and how long decisions take, of late. */
internal class DecisionPace {
    private class Decision(
        val atMillis: Long,
        val ageMillis: Long,
        val tookMillis: Long,
    )

    private val decisions = ArrayDeque<Decision>()
    private var oldestEventMillis: Long? = null

    /** Takes note of an event at [now]. */
    fun event(now: Long) {
        if (oldestEventMillis == null) oldestEventMillis = now
    }

    /** Takes note of a decision on all events so far, from [beganMillis] to [now]. */
    fun decided(
        beganMillis: Long,
        now: Long,
    ) {
        decisions.addLast(Decision(now, beganMillis - (oldestEventMillis ?: beganMillis), now - beganMillis))
        oldestEventMillis = null
        forget(now)
    }

    /** Longest wait of an event for its decision in the last seconds before [now], one that still waits included. */
    fun longestAgeMillis(now: Long): Long {
        forget(now)
        return maxOf(decisions.maxOfOrNull { it.ageMillis } ?: 0, oldestEventMillis?.let { now - it } ?: 0)
    }

    /** Longest decision of the last seconds before [now]. */
    fun longestDecisionMillis(now: Long): Long {
        forget(now)
        return decisions.maxOfOrNull { it.tookMillis } ?: 0
    }

    private fun forget(now: Long) {
        while (decisions.isNotEmpty() && decisions.first().atMillis < now - WINDOW_MILLIS) decisions.removeFirst()
    }

    private companion object {
        // Metrics are read every five seconds (DEPLOY, The deploy file).
        const val WINDOW_MILLIS = 5_000L
    }
}
