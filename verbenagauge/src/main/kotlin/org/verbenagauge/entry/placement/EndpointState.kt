package org.verbenagauge.entry.placement

/** What this entry has learned of one endpoint of a pool. */
internal class EndpointState(
    var view: EndpointView,
) {
    /** Position in the list of endpoints that may have a free slot, or -1. */
    var openIndex: Int = -1

    /** Why no ordinary work goes here, or null. */
    var absence: Absence? = null

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
    val isKnown: Boolean get() = outcomes > 0

    private var outcomes = 0
    private var backoffMillis = MIN_BACKOFF_MILLIS
    private var successesInRow = 0

    val instanceId: String get() = view.address.instanceId

    /** Whether ordinary work may be placed here. */
    val isUsable: Boolean get() = view.mayStart && absence == null

    fun succeeded(runMillis: Double) {
        count(failed = 0.0)
        consecutiveFailures = 0
        suspect = false
        meanRunMillis = if (meanRunMillis == 0.0) runMillis else meanRunMillis + RUN_GAIN * (runMillis - meanRunMillis)
        if (++successesInRow >= SUCCESSES_TO_RESET_BACKOFF) backoffMillis = MIN_BACKOFF_MILLIS
    }

    fun failed() {
        count(failed = 1.0)
        consecutiveFailures++
        successesInRow = 0
    }

    /** Takes one failure back that was the fault of the job. */
    fun forgive() {
        consecutiveFailures = maxOf(0, consecutiveFailures - 1)
        failureRatio = maxOf(0.0, failureRatio - RATIO_GAIN)
    }

    /** Whether the endpoint fails its work while the others, which fail with [othersRatio], do not. */
    fun isFailing(othersRatio: Double): Boolean {
        val often = outcomes >= MIN_OUTCOMES && failureRatio >= MIN_FAILURE_RATIO
        val inRow = consecutiveFailures >= MIN_CONSECUTIVE_FAILURES
        return (often || inRow) && failureRatio > OTHERS_FACTOR * othersRatio
    }

    /** Takes no ordinary work from now on; [refuses] says that its last failure ran nothing. */
    fun leave(
        kind: AbsenceKind,
        refuses: Boolean,
        nowMillis: Long,
    ) {
        val probeAtMillis = nowMillis + backoffMillis
        absence = Absence(kind, probeAtMillis, if (refuses) probeAtMillis else probeAtMillis + LAST_RESORT_MILLIS)
        backoffMillis = minOf(MAX_BACKOFF_MILLIS, backoffMillis * 2)
        suspect = false
    }

    /** Takes ordinary work again. */
    fun comeBack() {
        absence = null
        consecutiveFailures = 0
        failureRatio = 0.0
        outcomes = 0
    }

    private fun count(failed: Double) {
        outcomes++
        failureRatio += RATIO_GAIN * (failed - failureRatio)
    }

    private companion object {
        const val RUN_GAIN = 0.125
        const val RATIO_GAIN = 0.2
        const val MIN_OUTCOMES = 10
        const val MIN_FAILURE_RATIO = 0.4
        const val MIN_CONSECUTIVE_FAILURES = 3
        const val OTHERS_FACTOR = 4.0
        const val SUCCESSES_TO_RESET_BACKOFF = 20
        const val MIN_BACKOFF_MILLIS = 1_000L
        const val LAST_RESORT_MILLIS = 60_000L
        const val MAX_BACKOFF_MILLIS = 30_000L
    }
}

/** Why no ordinary work goes to an endpoint. */
internal enum class AbsenceKind {
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
internal class Absence(
    val kind: AbsenceKind,
    private val probeAtMillis: Long,
    private val anyWorkAtMillis: Long,
) {
    var probing: Boolean = false

    /** Whether an [idempotent] request may probe the endpoint now. */
    fun isProbeDue(
        idempotent: Boolean,
        nowMillis: Long,
    ): Boolean = !probing && nowMillis >= if (idempotent) probeAtMillis else anyWorkAtMillis
}
