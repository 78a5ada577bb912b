package org.verbenagauge.entry.jobs.engine

/** Says which runs deserve a copy on another worker, where the caller allows copies. A pure decision. */
internal interface CopyPolicy {
    /** Whether a copy of [run] on [worker], expected to take [expectedMillis], likely ends before the run itself. */
    fun shouldCopy(
        run: Run,
        worker: WorkerEntry,
        expectedMillis: Long,
        now: Long,
    ): Boolean
}

/** Waits for every run; the naive version of [StragglerCopies]. */
internal class NoCopies : CopyPolicy {
    override fun shouldCopy(
        run: Run,
        worker: WorkerEntry,
        expectedMillis: Long,
        now: Long,
    ): Boolean = false
}

/**
 * Copies runs whose worker has fallen silent, and runs that are far slower than expected. Answers workers that crash
 * without a word, whose lease would have to pass first, and workers that are slow for some seconds.
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
        // A second call to the worker has failed by then.
        const val SILENT_WORKER_MILLIS = 300L

        // The time limit of an order to start, and a repetition.
        const val UNCONFIRMED_START_MILLIS = 900L

        // Tasks of one queue differ by half of their mean.
        const val LATE_RATIO = 1.5

        // The progress is known to the last listing only, up to a second ago.
        const val MIN_GAIN_RATIO = 1.2
        const val PERCENT = 100
    }
}

/** Creates what the settings of [state] ask for; without spreads, what is left of a run is not known. */
internal fun copyPolicy(state: EngineState): CopyPolicy {
    val load = state.limits.load
    return if (load.stragglerRescue && load.runTimeSpreads) RemainingTimeCopies(state) else StragglerCopies()
}
