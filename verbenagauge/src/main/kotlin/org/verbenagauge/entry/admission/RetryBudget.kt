package org.verbenagauge.entry.admission

/**
 * Limits retries to a fraction of the requests, so that they cannot amplify an outage.
 *
 * Method: token bucket. Each request adds [RETRY_RATIO] tokens, up to [MAX_TOKENS]; each retry takes one.
 */
internal class RetryBudget {
    private var tokens = MAX_TOKENS

    /** Counts a request that started for the first time. */
    fun countRequest() {
        tokens = minOf(MAX_TOKENS, tokens + RETRY_RATIO)
    }

    /** Takes one token for a retry; returns false if the budget is exhausted. */
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
