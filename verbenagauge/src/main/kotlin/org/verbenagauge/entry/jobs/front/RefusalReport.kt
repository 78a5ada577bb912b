package org.verbenagauge.entry.jobs.front

import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.jobs.JobMetrics
import org.verbenagauge.entry.load.AdmissionDecision
import org.verbenagauge.entry.logging.Event
import org.verbenagauge.entry.logging.EventLog

/** Counts refusals because of load and logs them at most once a second per queue, with the inputs of the newest one. */
internal class RefusalReport(
    private val clock: Clock,
    private val log: EventLog,
    private val metrics: JobMetrics,
) {
    private class Count(
        var jobs: Int = 0,
        var loggedAtMillis: Long = Long.MIN_VALUE / 2,
    )

    private val countByQueue = HashMap<String, Count>()

    /** Records [refusal] of a job that was submitted to the queue of [admitted]. */
    fun record(
        admitted: Admittance.Granted,
        refusal: AdmissionDecision.Refuse,
    ) {
        metrics.refused(if (refusal.isSurplus) "surplus" else "too-late")
        val count = countByQueue.getOrPut(admitted.queue.name) { Count() }
        count.jobs++
        val now = clock.monotonicMillis()
        if (now - count.loggedAtMillis < LOG_INTERVAL_MILLIS) return
        log.write(
            Event.JOBS_REFUSED,
            admitted.queue.name,
            "${count.jobs} jobs; newest from team '${admitted.teamName}': $refusal",
        )
        count.jobs = 0
        count.loggedAtMillis = now
    }

    private companion object {
        // Each refused call is also logged on its own (JOB_ANSWERED).
        const val LOG_INTERVAL_MILLIS = 1_000L
    }
}
