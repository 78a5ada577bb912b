package org.verbenagauge.entry.admission

import org.verbenagauge.entry.Job
import org.verbenagauge.entry.Reason
import org.verbenagauge.entry.Verdict
import org.verbenagauge.entry.account.JobRecord
import org.verbenagauge.entry.clock.Clock

/** Tracks when and where one request waits and runs, for its [JobRecord]. */
internal class JobProgress(
    private val clock: Clock,
) {
    var teamId: String? = null
    private val arrivedAtMillis = clock.monotonicMillis()
    private val arrivedAtWallMillis = clock.wallMillis()
    private var startedAtMillis: Long? = null
    private var lastMayHaveRunReason: Reason? = null
    private var instanceId: String? = null

    /** Records that the request is sent to [instanceId]. */
    fun attemptStarted(instanceId: String) {
        if (startedAtMillis == null) startedAtMillis = clock.monotonicMillis()
        this.instanceId = instanceId
    }

    /** Records the [reason] with which an attempt ended. */
    fun attemptEnded(reason: Reason) {
        if (reason.verdict != Verdict.NOT_RUN) lastMayHaveRunReason = reason
    }

    /** Returns the record of [job], whose caller disconnected before the answer. */
    fun cancelledRecord(job: Job): JobRecord = record(job, lastMayHaveRunReason ?: Reason.CALLER_CANCELLED)

    /** Returns the record of [job], which ends now with [reason]. */
    fun record(
        job: Job,
        reason: Reason,
    ): JobRecord {
        val nowMillis = clock.monotonicMillis()
        val waitedUntilMillis = startedAtMillis ?: nowMillis
        return JobRecord(
            requestId = job.requestId,
            teamId = teamId,
            queueId = job.queueId,
            idempotencyKey = job.idempotencyKey,
            instanceId = instanceId,
            reason = reason,
            arrivedAtWallMillis = arrivedAtWallMillis,
            waitedMillis = waitedUntilMillis - arrivedAtMillis,
            ranMillis = nowMillis - waitedUntilMillis,
        )
    }
}
