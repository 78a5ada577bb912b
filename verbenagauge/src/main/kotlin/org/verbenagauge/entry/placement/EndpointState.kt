package org.verbenagauge.entry.placement

/** Health and run times of one endpoint of a pool, as observed by this entry. */
internal class EndpointState(
    var view: EndpointView,
) {
    /** Index in the pool's list of endpoints that may have a free slot, or -1. */
    var candidateIndex: Int = -1

    /** Current exclusion from ordinary work, or null. */
    var exclusion: Exclusion? = null

    /** Whether the endpoint is failing but the budget of the pool does not allow its ejection. */
    var suspect: Boolean = false

    /** Number of consecutive failed requests. */
    var consecutiveFailures: Int = 0
        private set

    /** Smoothed ratio of failed requests, from 0 to 1. */
    var failureRatio: Double = 0.0
        private set

    /** Smoothed run time of successful requests in milliseconds; 0 before the first success. */
    var meanRunMillis: Double = 0.0
        private set

    /** Whether a request has succeeded or failed here since the endpoint was added or last readmitted. */
    val hasOutcomes: Boolean get() = outcomes > 0

    private var outcomes = 0
    private var backoffMillis = MIN_BACKOFF_MILLIS
    private var consecutiveSuccesses = 0

    val instanceId: String get() = view.address.instanceId

    /** Whether work other than probes may be placed here. */
    val acceptsOrdinaryWork: Boolean get() = view.acceptsNewWork && exclusion == null

    fun recordSuccess(runMillis: Double) {
        count(failure = 0.0)
        consecutiveFailures = 0
        suspect = false
        meanRunMillis = if (meanRunMillis == 0.0) runMillis else meanRunMillis + RUN_GAIN * (runMillis - meanRunMillis)
        if (++consecutiveSuccesses >= SUCCESSES_TO_RESET_BACKOFF) backoffMillis = MIN_BACKOFF_MILLIS
    }

    fun recordFailure() {
        count(failure = 1.0)
        consecutiveFailures++
        consecutiveSuccesses = 0
    }

    /** Withdraws one recorded failure that was the fault of the job. */
    fun withdrawFailure() {
        consecutiveFailures = maxOf(0, consecutiveFailures - 1)
        failureRatio = maxOf(0.0, failureRatio - RATIO_GAIN)
    }

    /** Whether the endpoint is failing while the others, with the mean failure ratio [othersFailureRatio], are not. */
    fun isFailing(othersFailureRatio: Double): Boolean {
        val failsOften = outcomes >= MIN_OUTCOMES && failureRatio >= MIN_FAILURE_RATIO
        val failsInRow = consecutiveFailures >= MIN_CONSECUTIVE_FAILURES
        return (failsOften || failsInRow) && failureRatio > MIN_FACTOR_OVER_OTHERS * othersFailureRatio
    }

    /** Excludes the endpoint from ordinary work; [notRun] says that the last failed request did not run. */
    fun exclude(
        kind: ExclusionKind,
        notRun: Boolean,
        nowMillis: Long,
    ) {
        val probeAtMillis = nowMillis + backoffMillis
        exclusion = Exclusion(kind, probeAtMillis, if (notRun) probeAtMillis else probeAtMillis + ANY_WORK_DELAY_MILLIS)
        backoffMillis = minOf(MAX_BACKOFF_MILLIS, backoffMillis * 2)
        suspect = false
    }

    /** Readmits the endpoint to ordinary work and resets its failure statistics. */
    fun readmit() {
        exclusion = null
        consecutiveFailures = 0
        failureRatio = 0.0
        outcomes = 0
    }

    private fun count(failure: Double) {
        outcomes++
        failureRatio += RATIO_GAIN * (failure - failureRatio)
    }

    private companion object {
        // Gains of the exponentially weighted moving averages.
        const val RUN_GAIN = 0.125
        const val RATIO_GAIN = 0.2
        const val MIN_OUTCOMES = 10
        const val MIN_FAILURE_RATIO = 0.4
        const val MIN_CONSECUTIVE_FAILURES = 3
        const val MIN_FACTOR_OVER_OTHERS = 4.0
        const val SUCCESSES_TO_RESET_BACKOFF = 20
        const val MIN_BACKOFF_MILLIS = 1_000L
        const val ANY_WORK_DELAY_MILLIS = 60_000L
        const val MAX_BACKOFF_MILLIS = 30_000L
    }
}

/** Reason why an endpoint is excluded from ordinary work. */
internal enum class ExclusionKind {
    /** The endpoint is failing; counts against the budget of the pool. */
    EJECTED,

    /** The endpoint reported that it is draining. */
    DRAINING,
}

/**
 * Period in which an endpoint gets single probes instead of ordinary work.
 *
 * @property probeAtMillis time from which idempotent requests may probe the endpoint.
 * @property anyWorkAtMillis time from which any request may probe it: the same time when a failed request does not
 *   run, otherwise later, for pools without idempotent work.
 */
internal class Exclusion(
    val kind: ExclusionKind,
    private val probeAtMillis: Long,
    private val anyWorkAtMillis: Long,
) {
    var probeInFlight: Boolean = false

    /** Whether a request may probe the endpoint now, depending on whether it is [idempotent]. */
    fun isProbeDue(
        idempotent: Boolean,
        nowMillis: Long,
    ): Boolean = !probeInFlight && nowMillis >= if (idempotent) probeAtMillis else anyWorkAtMillis
}
