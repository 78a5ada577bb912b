package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.jobs.model.QueueConfiguration

/** Says whether the runs that earlier owners ordered are known, so that tasks without a run may start. */
internal class EarlierRuns(
    private val state: EngineState,
) {
    private val knownQueues = HashSet<String>()

    /**
     * Whether all runs of earlier owners for [queue] are known: every worker that may hold one has listed all of its
     * runs and ends under this epoch, whether it is on the list now or was when something was ordered there, or every
     * lease has passed.
     */
    fun areKnown(
        queue: QueueConfiguration,
        now: Long,
    ): Boolean {
        // Workers that come later are not in the roster of an earlier owner, so that they hold none of its runs.
        if (queue.name in knownQueues) return true
        val untold = state.workers.values.filter { mayHold(it, queue) && !it.hasReportedAll }
        // Leases of workers that answer are renewed, so that only their lists tell.
        val areKnown =
            if (haveLapsed(now)) untold.none { isRenewed(it, now) } else state.areWorkersKnown && untold.isEmpty()
        if (areKnown && knownQueues.add(queue.name)) note(queue, untold, now)
        return areKnown
    }

    private fun isRenewed(
        worker: WorkerEntry,
        now: Long,
    ) = worker.hasAnswered && !worker.haveLeasesExpired(now, state.limits)

    private fun mayHold(
        worker: WorkerEntry,
        queue: QueueConfiguration,
    ) = worker.listed.serviceName == queue.serviceName || queue.name in state.roster.queuesOf(worker.id)

    /** Whether every lease that an earlier owner may have given has passed. */
    fun haveLapsed(now: Long): Boolean = haveLapsedSince(state.startedAtMillis, now)

    /**
     * Whether every lease that was given up to [sinceMillis], or within the lease of an owner after it, has passed,
     * however slow the clock of the worker is.
     */
    fun haveLapsedSince(
        sinceMillis: Long,
        now: Long,
    ): Boolean {
        val leaseMillis = (state.limits.longestLeaseMillis / SLOWEST_CLOCK).toLong()
        val boundMillis = state.limits.ownerLeaseMillis + leaseMillis + state.limits.clockMarginMillis
        return now - sinceMillis > boundMillis
    }

    private fun note(
        queue: QueueConfiguration,
        untold: List<WorkerEntry>,
        now: Long,
    ) {
        val heard = state.workers.values.filter { mayHold(it, queue) && it.hasReportedAll }
        val unlisted = heard.filter { !it.isListed }.joinToString { it.id }.ifEmpty { "none" }
        val unheard = untold.joinToString { it.id }.ifEmpty { "none" }
        val tookMillis = now - state.startedAtMillis
        state.note(
            NoteKind.RUNS_KNOWN,
            queue.name,
            "epoch ${state.epoch}: ${heard.size} workers answered, unlisted $unlisted, not known $unheard, after $tookMillis ms",
        )
    }
}
