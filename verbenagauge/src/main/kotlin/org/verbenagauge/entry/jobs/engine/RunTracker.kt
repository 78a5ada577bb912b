package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.jobs.model.JobState
import org.verbenagauge.entry.jobs.model.TaskId

/** Adds and removes runs, and keeps the used room of workers and the used quota of teams consistent with them. */
internal class RunTracker(
    private val state: EngineState,
) {
    /** Adds [run] on [worker] and makes it the run of [task]; null if the run belongs to no task that needs it. */
    fun add(
        run: Run,
        task: TaskEntry?,
        worker: WorkerEntry,
    ) {
        worker.add(run)
        state.quota.add(run)
        if (task != null) {
            task.run = run
            task.phase = TaskPhase.PLACED
        }
    }

    /** Records that the worker of [run] has shown it, by its answer or in a listing. */
    fun recordShown(run: Run) {
        if (run.isShown) return
        run.isShown = true
        taskOf(run.taskId)?.let { recordStart(it.job) }
    }

    /** Records that a run of [job] has started on a worker; an order alone is no start. */
    fun recordStart(job: JobEntry) {
        if (job.hasStarted) return
        job.hasStarted = true
        if (job.state == JobState.QUEUED) job.state = JobState.ACTIVE
        state.markChanged(job)
    }

    /** Adds [run] on [worker] as a copy, in addition to the run that [task] already has. */
    fun addCopy(
        run: Run,
        task: TaskEntry,
        worker: WorkerEntry,
    ) {
        worker.add(run)
        state.quota.add(run)
        task.copy = run
    }

    /**
     * Removes [run], which certainly no longer runs on its worker, as [evidence] explains for the log. Its task becomes
     * ready again unless a copy of it continues.
     */
    fun markGone(
        run: Run,
        evidence: String,
        now: Long,
    ) {
        val worker = state.workers[run.workerId]
        if (worker?.runs?.get(run.taskId) !== run) return
        worker.remove(run)
        state.quota.remove(run)
        val task = taskOf(run.taskId) ?: return
        task.lastRunSummary = "run ${run.runId} on ${run.workerId}: $evidence"
        if (task.copy === run) {
            task.copy = null
            return
        }
        if (task.run !== run) return
        task.run = task.copy
        task.copy = null
        if (task.run == null && task.phase == TaskPhase.PLACED) {
            task.phase = TaskPhase.READY
            task.readySinceMillis = now
        }
    }

    /** Removes [run] from [worker] so that it can be added again with what is now known about its job. */
    fun detach(
        run: Run,
        worker: WorkerEntry,
    ) {
        worker.remove(run)
        state.quota.remove(run)
    }

    /** Orders [run] to stop; [repeatStops] repeats the order until the run is gone. */
    fun stop(
        run: Run,
        now: Long,
    ) {
        val worker = state.workers[run.workerId] ?: return
        if (run.phase == RunPhase.STOPPING && now - run.stopOrderedAtMillis < state.limits.stopRepeatMillis) return
        run.phase = RunPhase.STOPPING
        run.stopOrderedAtMillis = now
        state.emit(EngineAction.Stop(worker.listed.address, run.taskId, run.runId))
        state.emit(EngineAction.Watch(worker.listed.address))
    }

    /** Repeats stop orders for runs that have not ended yet. */
    fun repeatStops(now: Long) {
        state.workers.values.forEach { worker ->
            worker.runs.values
                .filter { it.phase == RunPhase.STOPPING }
                .forEach { stop(it, now) }
        }
    }

    /** Finds a task by its ID among the jobs that have not ended. */
    fun taskOf(id: TaskId): TaskEntry? = state.jobs[id.jobId]?.task(id)
}
