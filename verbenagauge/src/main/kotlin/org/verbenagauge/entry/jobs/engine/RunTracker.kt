package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.jobs.model.TaskId

/** Adds and removes runs, and keeps the room of workers and the quota of teams true to them. */
internal class RunTracker(
    private val state: EngineState,
) {
    /** Counts [run] of [task] as present on [worker]. */
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
            task.job.hasStarted = true
        }
    }

    /** Counts [run] on [worker] as a copy beside the run that [task] has. */
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
     * Takes note that [run] is surely gone from its worker, which [evidence] tells; its task may start again unless a
     * copy goes on.
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

    /** Counts [run] on [worker] no longer, as it is taken in anew with what is known of its job now. */
    fun detach(
        run: Run,
        worker: WorkerEntry,
    ) {
        worker.remove(run)
        state.quota.remove(run)
    }

    /** Orders [run] to stop; repeated until it is gone. */
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

    /** Repeats the orders to stop that have not led to an end. */
    fun repeatStops(now: Long) {
        state.workers.values.forEach { worker ->
            worker.runs.values
                .filter { it.phase == RunPhase.STOPPING }
                .forEach { stop(it, now) }
        }
    }

    /** Finds a task by its name among the jobs that have not ended. */
    fun taskOf(id: TaskId): TaskEntry? = state.jobs[id.jobId]?.task(id)
}
