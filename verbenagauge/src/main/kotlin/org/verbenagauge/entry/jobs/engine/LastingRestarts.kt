package org.verbenagauge.entry.jobs.engine

/**
 * Delays the next start of lasting tasks whose runs end soon after their start, time after time, so that they do not take
 * the owner's time and the starts of others. The delay stays below the time for which a lasting task may be away.
 */
internal class LastingRestarts(
    private val state: EngineState,
) {
    private val paused = HashMap<TaskEntry, Long>()

    /** Records that [run] of [task] has ended by itself; must follow its removal. */
    fun recordEnd(
        task: TaskEntry,
        run: Run,
        now: Long,
    ) {
        if (!task.step.specification.isLasting) return
        val livedMillis = now - run.orderedAtMillis
        task.recordLifetime(isShort = livedMillis < state.limits.startupMillis)
        val pauses = task.shortRuns - RUNS_WITHOUT_PAUSE
        if (pauses <= 0 || task.phase != TaskPhase.READY) return
        task.phase = TaskPhase.BLOCKED
        paused[task] = now + minOf(MAX_PAUSE_MILLIS, FIRST_PAUSE_MILLIS shl minOf(pauses - 1, MAX_DOUBLINGS))
    }

    /** Makes the tasks ready whose pause is over. */
    fun releaseDue(now: Long) {
        if (paused.isEmpty()) return
        paused.filterValues { it <= now }.keys.forEach { task ->
            paused.remove(task)
            // A listing may have shown a run of it meanwhile.
            if (task.phase != TaskPhase.BLOCKED || task.job.state.isFinal) return@forEach
            task.phase = TaskPhase.READY
            task.readySinceMillis = now
        }
    }

    private companion object {
        // A worker that fails every run costs a try or two until the task reaches another one.
        const val RUNS_WITHOUT_PAUSE = 3
        const val FIRST_PAUSE_MILLIS = 250L
        const val MAX_PAUSE_MILLIS = 2_000L
        const val MAX_DOUBLINGS = 3
    }
}
