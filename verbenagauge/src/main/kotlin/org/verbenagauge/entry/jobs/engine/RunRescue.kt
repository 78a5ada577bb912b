package org.verbenagauge.entry.jobs.engine

/**
 * Stops runs that save their state on machines that are known to be slow, so that they go on elsewhere from there. Answers machines
 * that are slow by five to seven for some seconds, where a copy is not allowed. A stop saves, so that no work is lost; a run that
 * cannot save is never stopped for being slow, and each task is moved at most once.
 */
internal class RunRescue(
    private val state: EngineState,
    private val runs: RunTracker,
) {
    /** Looks at all runs on machines in doubt; what waits for room goes first. */
    fun check(now: Long) {
        val slow = state.workers.values.filter { it.isDoubted && it.firstFailureMillis == null && it.isSurelySlow }
        slow.forEach { worker ->
            if (worker.listed.serviceName in state.missingRoomByService) return@forEach
            val elsewhere =
                state.workersOf(worker.listed.serviceName).filter {
                    it.takesWork &&
                        !it.isFull &&
                        !it.isDoubted
                }
            worker.runs.values
                .toList()
                .forEach { run -> rescue(run, worker, elsewhere, now) }
        }
    }

    private fun rescue(
        run: Run,
        worker: WorkerEntry,
        elsewhere: List<WorkerEntry>,
        now: Long,
    ) {
        val task = runs.taskOf(run.taskId) ?: return
        if (run.phase != RunPhase.RUNNING || task.isRescued || !mayMove(run)) return
        val expectedMillis = state.runTimes.expectMillis(task.job.queue.name, run.specification.estimatedMillis)
        val hereMillis = run.speed.remainingMillis(run.percent, expectedMillis) ?: return
        val thereMillis = MOVE_MILLIS + (hereMillis / worker.standing.factor).toLong()
        if (hereMillis - thereMillis < LEAST_GAIN_MILLIS) return
        if (elsewhere.none { it.hasRoomFor(run.specification) }) return
        task.isRescued = true
        state.note(
            NoteKind.RUN_RESCUED,
            run.taskId.toString(),
            "run ${run.runId} on ${worker.id}, ${run.percent}%, $hereMillis ms left there, $thereMillis ms elsewhere",
        )
        runs.stop(run, now)
    }

    private fun mayMove(run: Run): Boolean {
        val step = run.specification
        return step.isCheckpointing && !step.isLasting && !step.isGang && !step.isFiller && !step.mayRunCopies
    }

    private val WorkerEntry.isSurelySlow: Boolean
        get() = standing.certainty >= SURE && standing.factor >= LEAST_FACTOR

    private companion object {
        // Longest stop (0.9 s) and resuming (0.6 s) that deployments give.
        const val MOVE_MILLIS = 1_500L

        // As much as the move itself: a guess that is wrong by half still gains.
        const val LEAST_GAIN_MILLIS = 1_500L
        const val SURE = 0.95
        const val LEAST_FACTOR = 2.0
    }
}
