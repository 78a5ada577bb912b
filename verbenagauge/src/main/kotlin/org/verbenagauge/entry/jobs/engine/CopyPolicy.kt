package org.verbenagauge.entry.jobs.engine

/**
 * Decides which runs get a speculative copy on another worker, where the caller allows copies. Implementations have no
 * side effects.
 */
internal interface CopyPolicy {
    /**
     * Returns whether a copy of [run], which is on [worker], would likely end first; a new run is expected to take
     * [expectedMillis].
     */
    fun shouldCopy(
        run: Run,
        worker: WorkerEntry,
        expectedMillis: Long,
        now: Long,
    ): Boolean
}

/** Copies no run. Baseline for [StragglerCopies]. */
internal class NoCopies : CopyPolicy {
    override fun shouldCopy(
        run: Run,
        worker: WorkerEntry,
        expectedMillis: Long,
        now: Long,
    ): Boolean = false
}

/**
 * Copies runs whose worker does not respond and runs that are far slower than expected. Covers workers that crash
 * without notice, whose lease would have to expire first, and workers that are slow for some seconds.
 */
internal class StragglerCopies : CopyPolicy {
    override fun shouldCopy(
        run: Run,
        worker: WorkerEntry,
        expectedMillis: Long,
        now: Long,
    ): Boolean {
        val silentSinceMillis = worker.firstFailureMillis
        if (silentSinceMillis != null) return now - silentSinceMillis >= SILENT_WORKER_MILLIS
        return when (run.phase) {
            RunPhase.STARTING -> now - run.orderedAtMillis >= UNCONFIRMED_START_MILLIS
            RunPhase.RUNNING -> isSlow(run, expectedMillis, now)
            RunPhase.STOPPING -> false
        }
    }

    private fun isSlow(
        run: Run,
        expectedMillis: Long,
        now: Long,
    ): Boolean {
        val elapsedMillis = now - run.confirmedAtMillis
        if (elapsedMillis < expectedMillis * LATE_RATIO) return false
        val remainingMillis = elapsedMillis * (PERCENT - run.percent) / maxOf(1, run.percent)
        return remainingMillis > expectedMillis * MIN_GAIN_RATIO
    }

    private companion object {
        // A second call to the worker has failed by this time.
        const val SILENT_WORKER_MILLIS = 300L

        // Time limit of a start order plus one retry.
        const val UNCONFIRMED_START_MILLIS = 900L

        // Run times of tasks of one queue vary by half of their mean.
        const val LATE_RATIO = 1.5

        // Progress is known only as of the last listing, which may be a second old.
        const val MIN_GAIN_RATIO = 1.2
        const val PERCENT = 100
    }
}

/**
 * Creates the copy policy that the settings of [state] select. [RemainingTimeCopies] needs run time distributions,
 * without which the remaining time of a run is not known.
 */
internal fun copyPolicy(state: EngineState): CopyPolicy {
    val load = state.limits.load
    return if (load.stragglerRescue && load.runTimeSpreads) RemainingTimeCopies(state) else StragglerCopies()
}
