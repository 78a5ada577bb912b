package org.verbenagauge.entry.jobs.engine

/** Takes workers out that are gone for good. */
internal class WorkerRemover(
    private val state: EngineState,
    private val runs: RunKeeper,
) {
    /** Takes note that [worker] is gone, for [reason], with everything that ran there. */
    fun drop(
        worker: WorkerEntry,
        reason: String,
        now: Long,
    ) {
        state.note(NoteKind.WORKER_GONE, worker.id, "$reason; ${worker.runs.size} runs")
        worker.runs.values
            .toList()
            .forEach { runs.gone(it, reason, now) }
        state.remove(worker)
        state.roster.remove(worker.id)
    }
}
