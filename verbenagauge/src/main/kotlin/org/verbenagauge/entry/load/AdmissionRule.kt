package org.verbenagauge.entry.load

/**
 * A submitted job on which an [AdmissionRule] decides.
 *
 * @property teamName account; empty on open queues.
 * @property chainMillis expected duration of the longest chain of dependent steps.
 * @property objectiveMillis time within which the caller expects the job to be completed.
 * @property refusals number of earlier refusals of the job.
 */
public data class AdmissionRequest(
    val jobId: String,
    val queueName: String,
    val teamName: String,
    val chainMillis: Long,
    val objectiveMillis: Long,
    val refusals: Int = 0,
)

/** The decision on an [AdmissionRequest]. */
public sealed interface AdmissionDecision {
    /** The job is accepted. */
    public data object Accept : AdmissionDecision

    /**
     * The job is refused immediately. The log shows this object as text, with these names.
     *
     * @property isSurplus whether the job exceeds the share of its account.
     * @property expectedWaitMillis expected time until the job would start.
     * @property startWithinMillis time within which the job would have to start.
     * @property viewAgeMillis age of the load figures behind the decision.
     * @property retryAfterMillis time after which to retry, a whole number of seconds.
     */
    public data class Refuse(
        val isSurplus: Boolean,
        val expectedWaitMillis: Long,
        val startWithinMillis: Long,
        val viewAgeMillis: Long,
        val retryAfterMillis: Long,
    ) : AdmissionDecision
}

/** Decides whether a job is accepted. Each entry decides by itself, without side effects. */
public fun interface AdmissionRule {
    /** Decides on [request] by [view], which is null if the owner has published no load figures. */
    public fun decide(
        request: AdmissionRequest,
        view: PressureView?,
    ): AdmissionDecision
}

/** Accepts every job; the baseline for [ExpectedWaitAdmission]. */
public val acceptAll: AdmissionRule = AdmissionRule { _, _ -> AdmissionDecision.Accept }

/**
 * Refuses jobs that would start too late for their result to be useful to the caller. Surplus of an account is refused
 * as soon as the expected wait exceeds the limit, jobs within the share of their account only if it exceeds the limit
 * by half. Once accepted jobs have expired for lack of capacity, new jobs must start in time to meet their objective
 * instead, since jobs that are on time run before late ones and would make more of those expire. Guards against load
 * beyond the throughput of a pool; bursts that are served late but still usefully are accepted.
 *
 * A view older than [MAX_VIEW_AGE_MILLIS] (no owner, store unavailable, entry partitioned) never leads to a refusal.
 */
public object ExpectedWaitAdmission : AdmissionRule {
    override fun decide(
        request: AdmissionRequest,
        view: PressureView?,
    ): AdmissionDecision {
        if (view == null || view.ageMillis > MAX_VIEW_AGE_MILLIS) return AdmissionDecision.Accept
        val queue = view.pressure.byQueue[request.queueName] ?: return AdmissionDecision.Accept
        val isSurplus = isSurplus(request, view.pressure)
        val waitMillis = if (isSurplus) queue.surplusWaitMillis else queue.withinWaitMillis
        val hasExpiries = if (isSurplus) queue.surplusLapses else queue.withinLapses
        val usefulStartMillis = request.objectiveMillis * USEFUL_OBJECTIVE_MULTIPLE - request.chainMillis
        val onTimeStartMillis = request.objectiveMillis - request.chainMillis
        val latestStartMillis = maxOf(0, if (hasExpiries) onTimeStartMillis else usefulStartMillis)
        val margin =
            (if (isSurplus) 1.0 else WITHIN_SHARE_MARGIN) +
                MARGIN_PER_REFUSAL * minOf(request.refusals, MAX_COUNTED_REFUSALS)
        val startWithinMillis = (latestStartMillis * margin).toLong()
        if (waitMillis <= startWithinMillis) return AdmissionDecision.Accept
        val retryAfterMillis = computeRetryAfterMillis(request, waitMillis - startWithinMillis, usefulStartMillis)
        return AdmissionDecision.Refuse(isSurplus, waitMillis, startWithinMillis, view.ageMillis, retryAfterMillis)
    }

    // Hashes the job id, so that every entry counts the same fraction of an account's jobs as within its share,
    // whichever jobs it receives. The prefix is part of the hash input.
    private fun isSurplus(
        request: AdmissionRequest,
        pressure: LoadPressure,
    ): Boolean {
        val withinPermille = pressure.surplusTeams[request.teamName] ?: return false
        return hashFraction("share of ${request.jobId}", request.refusals) * PERMILLE >= withinPermille
    }

    // Callers accept a result for up to three times the objective after submission.
    private const val USEFUL_OBJECTIVE_MULTIPLE = 3

    // The estimate may be off by a third, and a wrong refusal costs the caller more than a late result.
    private const val WITHIN_SHARE_MARGIN = 1.5

    // Jobs that were refused before take precedence over new ones.
    private const val MARGIN_PER_REFUSAL = 0.2
    private const val MAX_COUNTED_REFUSALS = 3
    private const val PERMILLE = 1_000

    /**
     * Maximum age of a view that may refuse, in milliseconds. The owner updates the view and its row twice per second.
     */
    public const val MAX_VIEW_AGE_MILLIS: Long = 2_000L
}

/**
 * Returns the time after which a refused job should be retried: [excessMillis], in which the excess work ahead of it
 * completes, plus a spread of up to the same length by job and attempt, so that jobs that were refused together do not
 * return together. The spread shrinks with each earlier refusal. The result is a whole number of seconds, at least one
 * and at most [usefulStartMillis], after which the result is of no use to the caller.
 */
internal fun computeRetryAfterMillis(
    request: AdmissionRequest,
    excessMillis: Long,
    usefulStartMillis: Long,
): Long {
    val spreadMillis = maxOf(MILLIS_PER_SECOND, excessMillis) / (1 + request.refusals)
    val millis = excessMillis + (spreadMillis * hashFraction(request.jobId, request.refusals)).toLong()
    val maxSeconds = maxOf(1, usefulStartMillis / MILLIS_PER_SECOND)
    return ((millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND).coerceIn(1, maxSeconds) * MILLIS_PER_SECOND
}

private const val MILLIS_PER_SECOND = 1_000L

// FNV-1a with a final mixing step, since the ids of one caller may differ in a single digit.
private fun hashFraction(
    jobId: String,
    attempt: Int,
): Double {
    var hash = 0x811C9DC5.toInt()
    "$jobId.$attempt".forEach { hash = (hash xor it.code) * 0x01000193 }
    hash = (hash xor (hash ushr 15)) * 0x2C1B3C6D
    hash = hash xor (hash ushr 12)
    return (hash ushr 8) / (1 shl 24).toDouble()
}
