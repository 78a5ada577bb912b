package org.verbenagauge.entry.placement

/** What this entry has learned of one endpoint of a pool. */
internal class EndpointState(
    var view: EndpointView,
) {
    /** Position in the list of endpoints that may have a free slot, or -1. */
    var candidateIndex: Int = -1

    /** Why no ordinary work goes here, or null. */
    var exclusion: Exclusion? = null

    /** Whether it fails its work, but the budget does not allow to eject it. */
    var suspect: Boolean = false

    /** Requests that failed here one after the other. */
    var consecutiveFailures: Int = 0
        private set

    /** Smoothed ratio of failed requests, from 0 to 1. */
    var failureRatio: Double = 0.0
        private set

    /** Smoothed run time of successes in milliseconds, 0 as long as there is none. */
    var meanRunMillis: Double = 0.0
        private set

    /** Whether anything ended here. */
    val hasOutcomes: Boolean get() = outcomes > 0

    private var outcomes = 0
    private var backoffMillis = MIN_BACKOFF_MILLIS
    private var consecutiveSuccesses = 0

    val instanceId: String get() = view.address.instanceId

    /** Whether ordinary work may be placed here. */
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

    /** Takes one failure back that was the fault of the job. */
    fun withdrawFailure() {
        consecutiveFailures = maxOf(0, consecutiveFailures - 1)
        failureRatio = maxOf(0.0, failureRatio - RATIO_GAIN)
    }

    /** Whether the endpoint fails its work while the others, which fail with [othersFailureRatio], do not. */
    fun isFailing(othersFailureRatio: Double): Boolean {
        val failsOften = outcomes >= MIN_OUTCOMES && failureRatio >= MIN_FAILURE_RATIO
        val failsInRow = consecutiveFailures >= MIN_CONSECUTIVE_FAILURES
        return (failsOften || failsInRow) && failureRatio > MIN_FACTOR_OVER_OTHERS * othersFailureRatio
    }

    /** Takes no ordinary work from now on; [notRun] says that its last failure ran nothing. */
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

    /** Takes ordinary work again. */
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

/** Why no ordinary work goes to an endpoint. */
internal enum class ExclusionKind {
    /** It failed its work; counts against the budget of the pool. */
    EJECTED,

    /** It said that it drains. */
    DRAINING,
}

/**
 * Time in which no ordinary work goes to an endpoint.
 *
 * @property probeAtMillis from when single idempotent requests probe it.
 * @property anyWorkAtMillis from when any single request does: at once when a failure runs nothing, else late, for
 *   pools that have no idempotent work.
 */
internal class Exclusion(
    val kind: ExclusionKind,
    private val probeAtMillis: Long,
    private val anyWorkAtMillis: Long,
) {
    var probeInFlight: Boolean = false

    /** Whether an [idempotent] request may probe the endpoint now. */
    fun isProbeDue(
        idempotent: Boolean,
        nowMillis: Long,
    ): Boolean = !probeInFlight && nowMillis >= if (idempotent) probeAtMillis else anyWorkAtMillis
}
