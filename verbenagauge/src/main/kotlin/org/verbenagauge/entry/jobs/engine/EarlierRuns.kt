package org.verbenagauge.entry.jobs.engine

/** Says whether the runs that earlier owners ordered are known, so that tasks without a run may start. */
internal class EarlierRuns(
    private val state: EngineState,
) {
    private val knownServices = HashSet<String>()

    /**
     * Whether the runs of earlier owners on workers of [service] are known: each worker has answered under this epoch,
     * or every lease that an earlier owner may have sent it has passed.
     */
    fun areKnown(
        service: String,
        now: Long,
    ): Boolean {
        val silent = state.workers.values.filter { it.listed.serviceName == service && !it.isHeard }
        val areKnown = haveLapsed(now) || state.isListKnown && silent.isEmpty()
        if (areKnown && knownServices.add(service)) note(service, silent, now)
        return areKnown
    }

    private fun haveLapsed(now: Long): Boolean {
        val leaseMillis = (state.limits.longestLeaseMillis / SLOWEST_CLOCK).toLong()
        val boundMillis = state.limits.ownerLeaseMillis + leaseMillis + state.limits.clockMarginMillis
        return now - state.startedAtMillis > boundMillis
    }

    private fun note(
        service: String,
        silent: List<WorkerEntry>,
        now: Long,
    ) {
        val heard = state.workers.values.count { it.listed.serviceName == service && it.isHeard }
        val unheard = silent.joinToString { it.id }.ifEmpty { "none" }
        val tookMillis = now - state.startedAtMillis
        state.note(
            NoteKind.RUNS_KNOWN,
            service,
            "epoch ${state.epoch}: $heard workers answered, silent $unheard, after $tookMillis ms",
        )
    }
}
