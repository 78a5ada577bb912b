package org.verbenagauge.entry.jobs.front

import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.jobs.JobMetrics
import org.verbenagauge.entry.jobs.model.JobSpecification
import org.verbenagauge.entry.jobs.model.JobsConfiguration
import org.verbenagauge.entry.jobs.model.QueueConfiguration
import org.verbenagauge.entry.jobs.records.JobRecord
import org.verbenagauge.entry.logging.Event
import org.verbenagauge.entry.logging.EventLog

/**
 * Who calls, and for which queue.
 *
 * @property host host name that was used.
 * @property path path.
 * @property key key of the team, or null.
 * @property waitMillis how long the caller waits.
 */
public data class CallContext(
    val host: String,
    val path: String,
    val key: String?,
    val waitMillis: Long,
)

/** Whether a call may go on. */
public sealed interface CallAccess {
    /** It may: [queue] was asked for by [teamName], empty on open queues; [jobId] is empty for the queue itself. */
    public data class Granted(
        val queue: QueueConfiguration,
        val teamName: String,
        val jobId: String,
    ) : CallAccess

    /** No configuration was read yet. */
    public data object NotReady : CallAccess

    /** No such queue. */
    public data object NoQueue : CallAccess

    /** The key is of no team. */
    public data object KeyUnknown : CallAccess
}

/** Calls about jobs at one entry: checks key and queue, then acts. */
public class JobCalls internal constructor(
    private val front: JobFront,
    private val clock: Clock,
    private val log: EventLog,
    private val metrics: JobMetrics,
    private val admission: JobAdmission,
) {
    private val refusalReport = RefusalReport(clock, log, metrics)

    /** Configuration in force at this entry, or null before it was read. */
    @Volatile
    public var configuration: JobsConfiguration? = null
        private set

    /** Takes in a newer configuration; an older one changes nothing. */
    public fun configure(newer: JobsConfiguration) {
        if (newer.version > (configuration?.version ?: -1)) configuration = newer
    }

    /** Checks queue and key of a call. */
    public fun authorize(context: CallContext): CallAccess {
        val current = configuration ?: return CallAccess.NotReady
        val queue = current.queueFor(context.host, context.path) ?: return CallAccess.NoQueue
        val jobId = context.path.removePrefix(queue.pathPrefix).trim('/')
        if (queue.isOpen) return CallAccess.Granted(queue, "", jobId)
        val team = context.key?.let(current::teamOf) ?: return CallAccess.KeyUnknown
        return CallAccess.Granted(queue, team, jobId)
    }

    /** Checks queue and key of a call about [jobId] that names its queue. */
    public fun authorize(
        queueName: String,
        jobId: String,
        key: String?,
    ): CallAccess {
        val current = configuration ?: return CallAccess.NotReady
        val queue = current.queue(queueName) ?: return CallAccess.NoQueue
        if (queue.isOpen) return CallAccess.Granted(queue, "", jobId)
        val team = key?.let(current::teamOf) ?: return CallAccess.KeyUnknown
        return CallAccess.Granted(queue, team, jobId)
    }

    /** Hands a job in. */
    public suspend fun submit(
        admitted: CallAccess.Granted,
        specification: JobSpecification,
        waitMillis: Long,
    ): SubmitOutcome {
        val record = JobRecord(admitted.queue.name, admitted.teamName, clock.wallMillis(), specification)
        val startedMillis = clock.monotonicMillis()
        val outcome =
            front.submit(admitted.jobId, record, deadline(waitMillis)) { refusals ->
                admission.decide(admitted.queue, admitted.jobId, record, refusals)
            }
        if (outcome is SubmitOutcome.TurnedAway) refusalReport.record(admitted, outcome.refusal)
        recordAnswer("submit", admitted, outcome, startedMillis)
        return outcome
    }

    /** Tells the state of a job. */
    public suspend fun lookup(
        admitted: CallAccess.Granted,
        waitMillis: Long,
    ): JobLookup {
        val startedMillis = clock.monotonicMillis()
        val outcome = front.lookup(admitted.jobId, deadline(waitMillis))
        recordAnswer("lookup", admitted, outcome, startedMillis)
        return outcome
    }

    /** Cancels a job. */
    public suspend fun cancel(
        admitted: CallAccess.Granted,
        waitMillis: Long,
    ): CancelOutcome {
        val startedMillis = clock.monotonicMillis()
        val outcome = front.cancel(admitted.jobId, deadline(waitMillis))
        recordAnswer("cancel", admitted, outcome, startedMillis)
        return outcome
    }

    /** Accepted jobs of the queue without a started task. */
    public fun pending(admitted: CallAccess.Granted): Int = front.pending(admitted.queue.name)

    private fun recordAnswer(
        call: String,
        admitted: CallAccess.Granted,
        outcome: Any,
        startedMillis: Long,
    ) {
        val tookMillis = clock.monotonicMillis() - startedMillis
        metrics.call(call, outcome::class.simpleName.orEmpty(), tookMillis)
        log.write(Event.JOB_ANSWERED, admitted.jobId, "$call, ${describe(admitted)}: $outcome after $tookMillis ms")
    }

    private fun describe(admitted: CallAccess.Granted) =
        "queue '${admitted.queue.name}', team '${admitted.teamName}', configuration ${configuration?.version}"

    private fun deadline(waitMillis: Long) = clock.monotonicMillis() + (waitMillis * USABLE_WAIT_FRACTION).toLong()

    private companion object {
        // The rest of the caller's wait is for the way back.
        const val USABLE_WAIT_FRACTION = 0.8
    }
}
