package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.load.ColdCapacityRule

/** Keeps room of cold workers back, as [rooms] says. */
internal class ColdWorkers(
    private val state: EngineState,
    private val rooms: ColdCapacityRule,
) {
    /** Takes note that the availability zones [zoneIds] take work again. */
    fun returned(
        zoneIds: Set<String>,
        now: Long,
    ) {
        if (zoneIds.isEmpty()) return
        state.workers.values
            .filter { it.listed.zoneId in zoneIds }
            .forEach { it.coldness.invalidate(now) }
        check(now)
    }

    /** Looks at all workers that are cold, or were when this was last called. */
    fun check(now: Long) {
        val found = state.workers.values.filter { it.withheldCpuMillis > 0 || it.coldness.isCold(now) }
        found.groupBy { it.listed.serviceName }.forEach { (serviceName, workers) ->
            val warmShare = warmShare(serviceName, now)
            workers.forEach { worker ->
                val share = rooms.share(worker.coldness, warmShare, now)
                val withheld = (worker.listed.capacity.cpuMillis * (1.0 - share)).toLong()
                if (worker.withheldCpuMillis == 0L && withheld > 0) note(worker, withheld, warmShare)
                worker.withheldCpuMillis = withheld
            }
        }
    }

    private fun note(
        worker: WorkerEntry,
        withheld: Long,
        warmShare: Double,
    ) {
        val told = "it said ${worker.listed.coldMillis} ms"
        val pool = "${"%.2f".format(warmShare)} of its pool is warm"
        state.note(NoteKind.WORKER_COLD, worker.id, "${withheld}m are kept back while it warms up; $told, $pool")
    }

    private fun warmShare(
        serviceName: String,
        now: Long,
    ): Double {
        val pool = state.workersOf(serviceName).filter { it.takesWork && !state.evacuated.holds(it) }
        return if (pool.isEmpty()) 0.0 else pool.count { !it.coldness.isCold(now) }.toDouble() / pool.size
    }
}
