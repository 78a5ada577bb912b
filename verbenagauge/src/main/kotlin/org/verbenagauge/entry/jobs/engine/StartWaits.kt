package org.verbenagauge.entry.jobs.engine

/** Why a ready task has not started. */
internal enum class StartWaitReason {
    /** Runs of earlier owners may exist that this owner does not know yet. */
    EARLIER_RUNS,

    /** No worker that may take runs has room for it. */
    CAPACITY,

    /** Workers have room for it, but none of them is eligible, for example because it avoids them. */
    NO_ELIGIBLE_WORKER,

    /** Its team is at its limit. */
    LIMIT,

    /** The advisor has not answered. */
    ADVICE,

    /** Another task has to end or become ready first: a member of its gang, or the only task that is retried. */
    OTHER_TASK,
}

/**
 * Logs what ready lasting tasks wait for, and counts the ready tasks that wait for runs of earlier owners. It only
 * observes the [Scheduler].
 *
 * A job gets a line once its oldest ready task has waited for a second, and one for each change of the reason, at most
 * one a second. All jobs together get at most [MAX_LINES_PER_SECOND]; lines beyond that are written later.
 */
internal class StartWaits(
    private val state: EngineState,
) {
    private class Wait(
        var dueAtMillis: Long,
    ) {
        var loggedReason: StartWaitReason? = null
        var pass = 0L
    }

    private val waitByJob = HashMap<JobEntry, Wait>()
    private var pass = 0L
    private val lines = LineLimiter(MAX_LINES_PER_SECOND)

    /** Number of ready tasks that waited for runs of earlier owners when the scheduler last visited them. */
    var tasksWaitingForEarlierRuns = 0L
        private set

    /** Begins a pass of the scheduler over all services. */
    fun beginPass() {
        pass++
        tasksWaitingForEarlierRuns = 0
        if (waitByJob.isNotEmpty()) waitByJob.keys.removeIf { it.readyCount == 0 || state.jobs[it.id] !== it }
    }

    /** Counts the ready tasks of [job], which wait for runs of earlier owners in this pass. */
    fun countEarlierRuns(job: JobEntry) {
        tasksWaitingForEarlierRuns += job.readyCount
    }

    /**
     * Records that the ready tasks of [step] wait for [reason] at [now]. Only the first reason of a job in a pass
     * counts. [detail] is called when a line is written.
     */
    fun record(
        step: StepEntry,
        reason: StartWaitReason,
        now: Long,
        detail: () -> String,
    ) {
        if (!step.specification.isLasting) return
        val job = step.occurrence.job
        val wait = waitByJob.getOrPut(job) { Wait(oldestReady(step)?.let(::dueAtMillis) ?: return) }
        if (wait.pass == pass) return
        wait.pass = pass
        if (wait.loggedReason == reason || now < wait.dueAtMillis) return
        val task = oldestReady(step) ?: return
        if (wait.loggedReason == null && now < dueAtMillis(task)) {
            wait.dueAtMillis = dueAtMillis(task)
            return
        }
        if (!lines.takeLine(now)) return
        wait.loggedReason = reason
        wait.dueAtMillis = now + MIN_WAIT_MILLIS
        val waitMillis = now - task.readySinceMillis
        state.note(NoteKind.START_WAITS, task.id.toString(), "$reason, waited $waitMillis ms, ${detail()}")
    }

    private fun oldestReady(step: StepEntry): TaskEntry? =
        step.tasks.filter { it.phase == TaskPhase.READY }.minByOrNull { it.readySinceMillis }

    private fun dueAtMillis(task: TaskEntry) = task.readySinceMillis + MIN_WAIT_MILLIS

    internal companion object {
        /** Highest number of lines that are written in a second. */
        const val MAX_LINES_PER_SECOND = 5
        private const val MIN_WAIT_MILLIS = 1_000L
    }
}
