package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.jobs.model.JobState
import org.verbenagauge.entry.jobs.model.TaskId
import org.verbenagauge.entry.jobs.ports.StartOrder
import org.verbenagauge.entry.jobs.ports.WorkerAddress
import org.verbenagauge.entry.jobs.records.ProgressRecord
import org.verbenagauge.entry.jobs.records.TaskNumbers

/** Side effect that the engine requests from its owner. */
internal sealed interface EngineAction {
    /** Sends an order to start a run. */
    data class Start(
        val address: WorkerAddress,
        val order: StartOrder,
    ) : EngineAction

    /** Sends an order to stop a run. */
    data class Stop(
        val address: WorkerAddress,
        val taskId: TaskId,
        val runId: Long,
    ) : EngineAction

    /** Changes the pace of a run; 100 percent is full pace. */
    data class Pace(
        val address: WorkerAddress,
        val taskId: TaskId,
        val runId: Long,
        val percentage: Int,
    ) : EngineAction

    /** Starts renewing the leases of a worker and listing its runs, unless that is already under way. */
    data class Watch(
        val address: WorkerAddress,
    ) : EngineAction

    /** Asks the advisor which of the workers may run a step. */
    data class AskAdvice(
        val stepKey: String,
        val workerIds: List<String>,
    ) : EngineAction

    /** Writes a log line. */
    data class Note(
        val note: EngineNote,
    ) : EngineAction
}

/** Log entry about a decision; [subject] identifies the job, run, worker, queue, zone, machine or account concerned. */
internal data class EngineNote(
    val kind: NoteKind,
    val subject: String,
    val detail: String,
)

/** Kinds of [EngineNote]. */
internal enum class NoteKind {
    JOB_TAKEN,
    JOB_TOO_LARGE,
    JOB_ENDED,
    RUN_ORDERED,
    RUN_ENDED,
    RUN_LOST,
    RUN_STUCK,
    RUN_ADOPTED,
    RUN_DOUBLED,
    RUN_GIVEN_UP,
    RUN_WITHHELD,
    ZONE_UNKNOWN,
    ALL_ZONES_EVACUATED,
    RUN_RESCUED,
    START_WAITS,
    ADVICE_AWAITED,
    JOBS_UNREACHED,
    RUN_MOVED_OFF,
    RUNS_KNOWN,
    WORKER_HEARD,
    WORKER_SILENT,
    WORKER_AVOIDED,
    MACHINE_DOUBTED,
    MACHINE_TRUSTED,
    WORKER_GONE,
    WORKER_COLD,
    WORKER_RESTARTED,
    LISTING_UNREADABLE,
    ACCOUNT_SURPLUS,
    JOB_HOPELESS,
    QUEUE_UNKNOWN,
    JOB_SERVICE_CHANGED,
}

/**
 * Change of a job that has to be stored.
 *
 * @property state state that callers see.
 * @property progress progress to store; null if [state] is final.
 * @property numbers numbers of the tasks of the job.
 */
internal data class JobChange(
    val jobId: String,
    val queueName: String,
    val state: JobState,
    val progress: ProgressRecord?,
    val numbers: TaskNumbers,
)

/**
 * Position up to which the ends of one worker incarnation were processed.
 *
 * @property bornUnixMillis start time that identifies the incarnation.
 * @property number number of the last processed end.
 */
internal data class EndWatermark(
    val workerId: String,
    val bornUnixMillis: Long,
    val number: Long,
)
