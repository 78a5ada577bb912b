package org.verbenagauge.entry.jobs.engine

/** Evacuated availability zones, in which no run starts, and the start orders that are withheld there. */
internal class EvacuatedZones {
    /** Ids of the evacuated zones. */
    var zoneIds: Set<String> = emptySet()

    /** Runs with an unanswered start order, with the time since which the order is not sent again. */
    val withheldSinceMillis = LinkedHashMap<Run, Long>()

    /** Whether no run may start on [worker]; a worker without a known zone is never evacuated. */
    fun includes(worker: WorkerEntry): Boolean = worker.listed.zoneId in zoneIds
}

/**
 * Keeps new runs out of evacuated availability zones; current runs there continue. An unanswered start order is not
 * sent again: the worker's next listing shows whether it was executed, and if no listing shows the run, the run is
 * stopped. Performs no I/O.
 */
internal class Evacuation(
    private val state: EngineState,
    private val runs: RunTracker,
) {
    private val zones = state.evacuatedZones
    private var unreportedZoneIds: Set<String> = emptySet()
    private var isAllReported = false

    /** Evacuates exactly [zoneIds]; zones that are not among them return to service. */
    fun evacuate(zoneIds: Set<String>) {
        val named = zoneIds.filterTo(LinkedHashSet()) { it.isNotEmpty() }
        unreportedZoneIds = named - (zones.zoneIds - unreportedZoneIds)
        zones.zoneIds = named
    }

    /**
     * Stops runs of withheld orders that no listing has shown, and reports unknown zones and the evacuation of all
     * zones.
     */
    fun check(now: Long) {
        stopWithheld(now)
        if (!state.isWorkerListKnown) return
        val listedZoneIds = listedZoneIds()
        unreportedZoneIds.filter { it !in listedZoneIds }.forEach {
            state.note(NoteKind.ZONE_UNKNOWN, it, "no worker is listed there; known zones: ${listedZoneIds.sorted()}")
        }
        unreportedZoneIds = emptySet()
        val isAll = listedZoneIds.isNotEmpty() && zones.zoneIds.containsAll(listedZoneIds)
        if (isAll && !isAllReported) {
            val named = listedZoneIds.sorted().joinToString()
            state.note(NoteKind.ALL_ZONES_EVACUATED, named, "no run starts until a zone returns to service")
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
            val what = "run ${run.runId} on ${run.workerId}: order unanswered, zone evacuated, run not listed"
            state.note(NoteKind.RUN_WITHHELD, run.taskId.toString(), what)
            runs.stop(run, now)
        }
    }

    private companion object {
        // A worker with runs returns a listing every second, and a listing may take half a second more. Members of a
        // gang wait for each other longer than this.
        const val WITHHELD_ORDER_TIMEOUT_MILLIS = 1_500L
    }
}
