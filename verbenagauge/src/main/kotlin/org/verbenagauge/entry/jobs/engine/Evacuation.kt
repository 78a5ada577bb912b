package org.verbenagauge.entry.jobs.engine

/** Availability zones in which nothing starts, and orders that are withheld there. */
internal class EvacuatedZones {
    /** Evacuated zones. */
    var zoneIds: Set<String> = emptySet()

    /** Runs of which a copy of the order got no answer, with the time from which no further copy was sent. */
    val withheldSinceMillis = LinkedHashMap<Run, Long>()

    /** Whether nothing may start on [worker]; a worker whose zone is not told is not evacuated. */
    fun includes(worker: WorkerEntry): Boolean = worker.listed.zoneId in zoneIds
}

/**
 * Keeps new runs out of evacuated availability zones, while what runs there goes on. An order that got no answer is not sent
 * again: the worker's next listing shows whether it was carried out, and without that the run is stopped. A pure decision.
 */
internal class Evacuation(
    private val state: EngineState,
    private val runs: RunKeeper,
) {
    private val zones = state.evacuated
    private var unreportedZoneIds: Set<String> = emptySet()
    private var isAllReported = false

    /** Evacuates [zoneIds] and takes the others back. */
    fun evacuate(zoneIds: Set<String>) {
        val named = zoneIds.filterTo(LinkedHashSet()) { it.isNotEmpty() }
        unreportedZoneIds = named - (zones.zoneIds - unreportedZoneIds)
        zones.zoneIds = named
    }

    /** Looks at withheld orders, and at what the list tells of the evacuated zones. */
    fun check(now: Long) {
        stopWithheld(now)
        if (!state.isListKnown) return
        val listedZoneIds = listedZoneIds()
        unreportedZoneIds.filter { it !in listedZoneIds }.forEach {
            state.note(NoteKind.ZONE_UNKNOWN, it, "no worker is listed there; known are ${listedZoneIds.sorted()}")
        }
        unreportedZoneIds = emptySet()
        val isAll = listedZoneIds.isNotEmpty() && zones.zoneIds.containsAll(listedZoneIds)
        if (isAll && !isAllReported) {
            val named = listedZoneIds.sorted().joinToString()
            state.note(NoteKind.ALL_ZONES_EVACUATED, named, "nothing starts until a zone is taken back")
        }
        isAllReported = isAll
    }

    private fun listedZoneIds(): Set<String> {
        if (zones.zoneIds.isEmpty()) return emptySet()
        val listed = state.workers.values.filter { it.isListed }
        return listed.mapTo(HashSet()) { it.listed.zoneId }.also { it.remove("") }
    }

    private fun stopWithheld(now: Long) {
        if (zones.withheldSinceMillis.isEmpty()) return
        val due = zones.withheldSinceMillis.filterValues { now - it >= WITHHELD_ORDER_TIMEOUT_MILLIS }.keys
        due.forEach { run ->
            zones.withheldSinceMillis.remove(run)
            val isStillAssigned = state.workers[run.workerId]?.runs?.get(run.taskId) === run
            if (!isStillAssigned || run.phase != RunPhase.STARTING) return@forEach
            val what = "run ${run.runId} on ${run.workerId}: no answer, its zone is evacuated, no listing shows it"
            state.note(NoteKind.RUN_WITHHELD, run.taskId.toString(), what)
            runs.stop(run, now)
        }
    }

    private companion object {
        // A worker with runs is listed once a second, and a listing may take half a second more. Members of a gang wait longer.
        const val WITHHELD_ORDER_TIMEOUT_MILLIS = 1_500L
    }
}
