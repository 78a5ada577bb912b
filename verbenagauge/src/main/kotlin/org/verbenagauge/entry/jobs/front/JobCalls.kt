package org.verbenagauge.entry.jobs.front

import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.jobs.JobMetrics
import org.verbenagauge.entry.jobs.model.JobSpecification
import org.verbenagauge.entry.jobs.model.JobsConfiguration
import org.verbenagauge.entry.jobs.model.QueueConfiguration
import org.verbenagauge.entry.jobs.records.JobRecord
import org.verbenagauge.entry.jobs.records.acceptedQueue
import org.verbenagauge.entry.logging.Event
import org.verbenagauge.entry.logging.EventLog

/**
 * Credentials and target of a call about a job or a queue.
 *
 * @property host host name from the request, without the port.
 * @property path request path: the path prefix of the queue, followed by the job id if there is one.
 * @property key key of the team; null when the call carries none.
 * @property waitMillis how long the caller waits for the answer, in milliseconds.
 */
public data class CallContext(
    val host: String,
    val path: String,
    val key: String?,
    val waitMillis: Long,
)

/** Result of checking the queue and the key of a call. */
public sealed interface Admittance {
    /**
     * The call may use [queue] on behalf of [teamName], which is empty on open queues; [jobId] is empty for a call
     * about the queue itself. [configurationVersion] is the version of the configuration that has the queue.
     */
    public data class Granted(
        val queue: QueueConfiguration,
        val teamName: String,
        val jobId: String,
        val configurationVersion: Long = 0,
    ) : Admittance

    /** No configuration has been read yet. */
    public data object NotReady : Admittance

    /** There is no such queue. */
    public data object NoQueue : Admittance

    /** The queue is not open, and the key is missing or belongs to no team. */
    public data object KeyUnknown : Admittance
}

/** Handles calls about jobs at one entry: checks queue and key, acts on the job, and logs and counts the outcome. */
public class JobCalls internal constructor(
    private val front: JobFront,
    private val pendingCounts: PendingCounts,
    private val clock: Clock,
    private val log: EventLog,
    private val metrics: JobMetrics,
    private val admission: JobAdmission,
) {
    private val refusalReport = RefusalReport(clock, log, metrics)

    /** Configuration in force at this entry; null until one has been read. */
    @Volatile
    public var configuration: JobsConfiguration? = null
        private set

    /** Applies [newer] if its version is higher than that of the current configuration, and ignores it otherwise. */
    public fun configure(newer: JobsConfiguration) {
        if (newer.version > (configuration?.version ?: -1)) configuration = newer
    }

    /** Finds the queue of a call by host and path, and checks the key. */
    public fun authorize(context: CallContext): Admittance {
        val current = configuration ?: return Admittance.NotReady
        val queue = current.queueFor(context.host, context.path) ?: return Admittance.NoQueue
        val jobId = context.path.removePrefix(queue.pathPrefix).trim('/')
        if (queue.isOpen) return Admittance.Granted(queue, "", jobId, current.version)
        val team = context.key?.let(current::teamOf) ?: return Admittance.KeyUnknown
        return Admittance.Granted(queue, team, jobId, current.version)
    }

    /** Checks queue and key of a call about [jobId] that names its queue; an empty [jobId] means the queue itself. */
    public fun authorize(
        queueName: String,
        jobId: String,
        key: String?,
    ): Admittance {
        val current = configuration ?: return Admittance.NotReady
        val queue = current.queue(queueName) ?: return Admittance.NoQueue
        if (queue.isOpen) return Admittance.Granted(queue, "", jobId, current.version)
        val team = key?.let(current::teamOf) ?: return Admittance.KeyUnknown
        return Admittance.Granted(queue, team, jobId, current.version)
    }

    /** Submits a job, using up to a fixed fraction of [waitMillis]. */
    public suspend fun submit(
        admitted: Admittance.Granted,
        specification: JobSpecification,
        waitMillis: Long,
    ): SubmitOutcome {
        val queue = acceptedQueue(admitted.queue, admitted.configurationVersion)
        val record = JobRecord(admitted.queue.name, admitted.teamName, clock.wallMillis(), specification, queue)
        val startedMillis = clock.monotonicMillis()
        val outcome =
            front.submit(admitted.jobId, record, deadline(waitMillis)) { refusals ->
                admission.decide(admitted.queue, admitted.jobId, record, refusals)
            }
        if (outcome is SubmitOutcome.TurnedAway) refusalReport.record(admitted, outcome.refusal)
        recordAnswer("submit", admitted, outcome, startedMillis)
        return outcome
    }

    /** Returns the state of a job, using up to a fixed fraction of [waitMillis]. */
    public suspend fun lookup(
        admitted: Admittance.Granted,
        waitMillis: Long,
    ): JobLookup {
        val startedMillis = clock.monotonicMillis()
        val outcome = front.lookup(admitted.jobId, deadline(waitMillis))
        recordAnswer("lookup", admitted, outcome, startedMillis)
        return outcome
    }

    /** Cancels a job, using up to a fixed fraction of [waitMillis]. */
    public suspend fun cancel(
        admitted: Admittance.Granted,
        waitMillis: Long,
    ): CancelOutcome {
        val startedMillis = clock.monotonicMillis()
        val outcome = front.cancel(admitted.jobId, deadline(waitMillis))
        recordAnswer("cancel", admitted, outcome, startedMillis)
        return outcome
    }

    /** Returns the number of accepted jobs of the queue without a started task; null when it is not known. */
    public fun pending(admitted: Admittance.Granted): Int? {
        val startedMillis = clock.monotonicMillis()
        val pending = pendingCounts.of(admitted.queue.name)
        val label = if (pending.count == null) "Unknown" else "Counted"
        recordAnswer("count", admitted, pending, startedMillis, label)
        return pending.count
    }

    private fun recordAnswer(
        call: String,
        admitted: Admittance.Granted,
        outcome: Any,
        startedMillis: Long,
        label: String = outcome::class.simpleName.orEmpty(),
    ) {
        val tookMillis = clock.monotonicMillis() - startedMillis
        metrics.call(call, label, tookMillis)
        log.write(Event.JOB_ANSWERED, admitted.jobId, "$call, ${describe(admitted)}: $outcome after $tookMillis ms")
    }

    private fun describe(admitted: Admittance.Granted) =
        "queue '${admitted.queue.name}', team '${admitted.teamName}', configuration ${configuration?.version}"

    private fun deadline(waitMillis: Long) = clock.monotonicMillis() + (waitMillis * USABLE_WAIT_FRACTION).toLong()

    private companion object {
        // The rest of the caller's wait is left for returning the answer.
        const val USABLE_WAIT_FRACTION = 0.8
    }
}
