package org.verbenagauge.entry.jobs.engine

/** Removes workers that are permanently gone. */
internal class WorkerRemover(
    private val state: EngineState,
    private val runs: RunTracker,
) {
    /** Removes [worker] with all its runs, for [reason]. */
    fun drop(
        worker: WorkerEntry,
        reason: String,
        now: Long,
    ) {
        state.note(NoteKind.WORKER_GONE, worker.id, "$reason; removed with ${worker.runs.size} runs")
        worker.runs.values
            .toList()
            .forEach { runs.markGone(it, reason, now) }
        state.remove(worker)
        state.roster.remove(worker.id)
    }
}
