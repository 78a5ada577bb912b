package org.verbenagauge.entry.jobs.engine

/**
 * Stops checkpointing runs on machines that are known to be slow, so that they resume on another worker. Addresses
 * machines that are five to seven times slower for some seconds, for tasks that may not run as copies. A stop writes a
 * checkpoint, so no work is lost; a run without checkpoints is never stopped for being slow, and each task is moved at
 * most once.
 */
internal class StragglerRescue(
    private val state: EngineState,
    private val runs: RunTracker,
) {
    /** Stops the runs worth moving off suspect machines; does nothing in services where tasks wait for capacity. */
    fun check(now: Long) {
        val slow = state.workers.values.filter { it.isSuspect && it.firstFailureMillis == null && it.isKnownSlow }
        slow.forEach { worker ->
            if (worker.listed.serviceName in state.missingRoomByService) return@forEach
            val elsewhere =
                state.workersOf(worker.listed.serviceName).filter {
                    it.isSchedulable &&
                        !it.hasRunOfUnknownSize &&
                        !it.isSuspect
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
        if (run.phase != RunPhase.RUNNING || task.isRescued || !canMigrate(run)) return
        val expectedMillis = state.runTimes.expectMillis(task.job.queue.name, run.specification.estimatedMillis)
        val hereMillis = run.speed.remainingMillis(run.percent, expectedMillis) ?: return
        val thereMillis = MIGRATION_MILLIS + (hereMillis / worker.standing.factor).toLong()
        if (hereMillis - thereMillis < MIN_GAIN_MILLIS) return
        if (elsewhere.none { it.hasRoomFor(run.specification) }) return
        task.isRescued = true
        state.note(
            NoteKind.RUN_RESCUED,
            run.taskId.toString(),
            "run ${run.runId} on ${worker.id} at ${run.percent}%: $hereMillis ms left there, $thereMillis ms elsewhere",
        )
        runs.stop(run, now)
    }

    private fun canMigrate(run: Run): Boolean {
        val step = run.specification
        return step.isCheckpointing && !step.isLasting && !step.isGang && !step.isFiller && !step.mayRunCopies
    }

    private val WorkerEntry.isKnownSlow: Boolean
        get() = standing.certainty >= MIN_CERTAINTY && standing.factor >= MIN_SLOWDOWN_FACTOR

    private companion object {
        // Longest time to stop (0.9 s) plus longest time to resume (0.6 s) in the deployments.
        const val MIGRATION_MILLIS = 1_500L

        // Equal to the cost of the move, so that a move still gains time if the estimate is wrong by half.
        const val MIN_GAIN_MILLIS = 1_500L
        const val MIN_CERTAINTY = 0.95
        const val MIN_SLOWDOWN_FACTOR = 2.0
    }
}
