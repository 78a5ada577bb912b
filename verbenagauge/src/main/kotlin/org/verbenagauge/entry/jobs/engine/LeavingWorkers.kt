package org.verbenagauge.entry.jobs.engine

/**
 * Moves lasting tasks off workers that leave. A worker that has announced that it leaves is listed as not ready, and
 * all its runs end when it has left; their tasks would then be away until the worker's lease has expired. A run is
 * stopped only while another worker has room for its task, which starts there once the end is listed. Gangs, which only
 * restart as a whole, and tasks that need advice stay. Performs no I/O.
 */
internal class LeavingWorkers(
    private val state: EngineState,
    private val runs: RunTracker,
    private val earlierRuns: EarlierRuns,
    private val placement: Placement,
    private val doubts: SuspectJobs,
) {
    private val guard = LastingGuard(state)

    /**
     * Stops runs of lasting tasks on workers that leave, as far as their steps allow and other workers have room. Must
     * be called after scheduling, so that the free room is not needed by tasks that already wait.
     */
    fun check(now: Long) {
        val tasks =
            state.workers.values
                .filter { it.isLeaving && it.lastingCount > 0 }
                .flatMap(::movableTasks)
        if (tasks.isEmpty()) return
        val room = RoomTally(now)
        val (stopping, staying) = tasks.partition { it.run?.phase == RunPhase.STOPPING }
        stopping.forEach(room::take)
        staying.filter { it.run?.phase == RunPhase.RUNNING }.forEach { move(it, room, now) }
    }

    private fun movableTasks(worker: WorkerEntry): List<TaskEntry> =
        worker.runs.values
            .filter { it.specification.isLasting && !it.specification.isGang }
            .mapNotNull { run -> runs.taskOf(run.taskId)?.takeIf { it.run === run } }
            .sortedWith(compareBy({ it.id.jobId }, { it.id.occurrence }, { it.id.step }, { it.id.index }))

    private fun move(
        task: TaskEntry,
        room: RoomTally,
        now: Long,
    ) {
        val run = task.run ?: return
        if (!mayRestart(task, now) || !guard.areEnoughServing(run, emptySet(), now)) return
        val target = room.take(task) ?: return
        val detail = "run ${run.runId} on ${run.workerId}, which leaves; ${target.id} has room"
        state.note(NoteKind.RUN_MOVED_OFF, run.taskId.toString(), detail)
        runs.stop(run, now)
    }

    // The same conditions under which the scheduler starts the task again.
    private fun mayRestart(
        task: TaskEntry,
        now: Long,
    ): Boolean {
        val job = task.job
        if (job.queue.advice != null || !doubts.mayStart(task)) return false
        return !job.mayHaveEarlierRuns || earlierRuns.areKnown(job.queue, now)
    }

    /** Room for the tasks that are being moved, none of which has a run on its next worker yet. */
    private inner class RoomTally(
        private val now: Long,
    ) {
        private val takenByWorker = HashMap<String, MutableList<TaskEntry>>()

        /** Takes room for [task] on a healthy worker; returns that worker, or null if none has room. */
        fun take(task: TaskEntry): WorkerEntry? {
            val candidates = state.workersOf(task.job.queue.serviceName).filter { isUsable(it, task) }
            val worker = placement.choose(task, candidates, now) ?: return null
            takenByWorker.getOrPut(worker.id) { ArrayList() } += task
            return worker
        }

        private fun isUsable(
            worker: WorkerEntry,
            task: TaskEntry,
        ): Boolean {
            val mayTakeRuns = worker.isSchedulable && state.roster.mayGrant(worker.id) && !worker.hasRunOfUnknownSize
            if (!mayTakeRuns || state.evacuatedZones.includes(worker)) return false
            // The placement falls back on such workers only after a wait, during which the task would be away.
            if (worker.avoidUntilMillis > now || worker.id in task.failedWorkerIds) return false
            return hasRoom(worker, task) && state.roster.ensureRecorded(worker, task.job.queue.name)
        }

        private fun hasRoom(
            worker: WorkerEntry,
            task: TaskEntry,
        ): Boolean {
            val step = task.step.specification
            val taken = takenByWorker[worker.id] ?: return worker.hasRoomFor(step)
            val tasksOfStep =
                task.step.tasks.count { it.run?.workerId == worker.id } + taken.count { it.step === task.step }
            if (step.maxPerWorker > 0 && tasksOfStep >= step.maxPerWorker) return false
            val amount = taken.fold(step.amount) { sum, other -> sum + other.step.room(1) }
            return worker.hasRoomFor(step.copy(amount = amount))
        }
    }

    // A worker that an earlier owner stored is not ready either until the list names it.
    private val WorkerEntry.isLeaving: Boolean
        get() = isListed && hasAnswered && !listed.isReady && firstFailureMillis == null
}
