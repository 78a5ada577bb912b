package org.verbenagauge.entry.admission

/**
 * Bounds retries to a part of the requests, so that they cannot amplify an outage.
 *
 * Method: token bucket; each request adds [RETRY_RATIO] of a retry, up to [MAX_TOKENS].
 */
internal class RetryBudget {
    private var tokens = MAX_TOKENS

    /** Counts a request that started for the first time. */
    fun countRequest() {
        tokens = minOf(MAX_TOKENS, tokens + RETRY_RATIO)
    }

    /** Takes one retry; false when the budget is spent. */
    fun tryTake(): Boolean {
        if (tokens < 1) return false
        tokens -= 1
        return true
    }

    companion object {
        const val RETRY_RATIO = 0.1
        const val MAX_TOKENS = 10.0
    }
}
