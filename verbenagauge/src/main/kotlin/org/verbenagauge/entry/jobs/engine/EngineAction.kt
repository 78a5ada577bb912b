package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.jobs.model.JobState
import org.verbenagauge.entry.jobs.model.TaskId
import org.verbenagauge.entry.jobs.ports.StartOrder
import org.verbenagauge.entry.jobs.ports.WorkerAddress
import org.verbenagauge.entry.jobs.records.ProgressRecord

/** What the engine wants done outside. */
internal sealed interface EngineAction {
    /** Start a run. */
    data class Start(
        val address: WorkerAddress,
        val order: StartOrder,
    ) : EngineAction

    /** Stop a run. */
    data class Stop(
        val address: WorkerAddress,
        val taskId: TaskId,
        val runId: Long,
    ) : EngineAction

    /** Change the pace of a run. */
    data class Pace(
        val address: WorkerAddress,
        val taskId: TaskId,
        val runId: Long,
        val percentage: Int,
    ) : EngineAction

    /** Renew and list a worker that is not being listed. */
    data class Watch(
        val address: WorkerAddress,
    ) : EngineAction

    /** Ask which workers may run a step. */
    data class AskAdvice(
        val stepKey: String,
        val workerIds: List<String>,
    ) : EngineAction

    /** Write a line of the log. */
    data class Note(
        val note: EngineNote,
    ) : EngineAction
}

/** What the log has to say of a decision. */
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
    RUNS_KNOWN,
    WORKER_HEARD,
    WORKER_AVOIDED,
    MACHINE_DOUBTED,
    MACHINE_TRUSTED,
    WORKER_GONE,
    WORKER_COLD,
    WORKER_RESTARTED,
    LISTING_UNREADABLE,
    ACCOUNT_SURPLUS,
    JOB_HOPELESS,
}

/**
 * What has to be stored of a job.
 *
 * @property jobId job.
 * @property queueName queue.
 * @property state state that callers see.
 * @property progress progress, or null when the state is final and nothing more is needed.
 */
internal data class JobChange(
    val jobId: String,
    val queueName: String,
    val state: JobState,
    val progress: ProgressRecord?,
)

/**
 * Ends of one life of a worker that were taken in.
 *
 * @property workerId worker.
 * @property bornUnixMillis life.
 * @property number number of the last end.
 */
internal data class EndWatermark(
    val workerId: String,
    val bornUnixMillis: Long,
    val number: Long,
)
