package org.verbenagauge.entry.jobs.owner

import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.jobs.engine.JobEngine
import org.verbenagauge.entry.jobs.ports.ListedWorker
import org.verbenagauge.entry.jobs.ports.WorkerList

/** Feeds the platform's list of workers to the engine. */
internal class WorkerFollower(
    private val list: WorkerList,
    private val engine: JobEngine,
    private val clock: Clock,
    private val onChange: () -> Unit,
) {
    /** Runs until cancelled. */
    suspend fun run() {
        list.follow(::applyAll, ::applyChange)
    }

    private fun applyAll(workers: List<ListedWorker>) {
        val now = clock.monotonicMillis()
        val listedIds = workers.mapTo(HashSet()) { it.address.workerId }
        workers.forEach { engine.upsertWorker(it, now) }
        engine.state.workers.keys
            .filter { it !in listedIds }
            .forEach { engine.unlist(it, now) }
        engine.state.isWorkerListKnown = true
        onChange()
    }

    private fun applyChange(
        workerId: String,
        worker: ListedWorker?,
    ) {
        val now = clock.monotonicMillis()
        if (worker == null) engine.unlist(workerId, now) else engine.upsertWorker(worker, now)
        onChange()
    }
}
