package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.load.ColdCapacityRule

/** Withholds part of the capacity of cold workers, in the shares that [coldRoom] gives. */
internal class ColdWorkerLimiter(
    private val state: EngineState,
    private val coldRoom: ColdCapacityRule,
) {
    /** Treats the workers of the availability zones [zoneIds], which have just returned from evacuation, as cold. */
    fun onZonesReturned(
        zoneIds: Set<String>,
        now: Long,
    ) {
        if (zoneIds.isEmpty()) return
        state.workers.values
            .filter { it.listed.zoneId in zoneIds }
            .forEach { it.coldness.invalidate(now) }
        check(now)
    }

    /** Updates the withheld capacity of all workers that are cold or were cold at the last call. */
    fun check(now: Long) {
        val found = state.workers.values.filter { it.withheldCpuMillis > 0 || it.coldness.isCold(now) }
        found.groupBy { it.listed.serviceName }.forEach { (serviceName, workers) ->
            val warmShare = warmShare(serviceName, now)
            workers.forEach { worker ->
                val share = coldRoom.share(worker.coldness, warmShare, now)
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
        val reported = "it reported ${worker.listed.coldMillis} ms"
        val pool = "${"%.2f".format(warmShare)} of its pool is warm"
        state.note(NoteKind.WORKER_COLD, worker.id, "${withheld}m are withheld while it warms up; $reported, $pool")
    }

    private fun warmShare(
        serviceName: String,
        now: Long,
    ): Double {
        val pool = state.workersOf(serviceName).filter { it.isSchedulable && !state.evacuatedZones.includes(it) }
        return if (pool.isEmpty()) 0.0 else pool.count { !it.coldness.isCold(now) }.toDouble() / pool.size
    }
}
