package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.jobs.model.QueueConfiguration

/** Determines whether all runs that earlier owners ordered are known, so that tasks without a run may start. */
internal class EarlierRuns(
    private val state: EngineState,
) {
    private val knownQueues = HashSet<Pair<String, String>>()

    /**
     * Whether all runs of earlier owners for [queue] are known. This holds once every worker that may hold one has
     * listed all of its runs and ends in this epoch, whether the platform lists the worker now or listed it when a run
     * was ordered there, or once every lease has expired.
     *
     * With a complete roster, these are the workers whose row an earlier owner stored before its first order there.
     * Machines that join the pool after the takeover are not waited for, otherwise a growing pool would never be known.
     */
    fun areKnown(
        queue: QueueConfiguration,
        now: Long,
    ): Boolean {
        // A queue that was moved may have runs on the workers of either service.
        val key = queue.name to queue.serviceName
        if (key in knownQueues) return true
        val unreported = state.workers.values.filter { mayHold(it, queue) && !it.hasReportedAll }
        // The leases of workers that answer are renewed and do not expire, so only their listings tell which runs
        // exist.
        val areKnown =
            if (haveLeasesExpired(now)) {
                unreported.none { hasLiveLease(it, now) }
            } else {
                state.areWorkersKnown && unreported.isEmpty()
            }
        if (areKnown && knownQueues.add(key)) note(queue, unreported, now)
        return areKnown
    }

    private fun hasLiveLease(
        worker: WorkerEntry,
        now: Long,
    ) = worker.hasAnswered && !worker.haveLeasesExpired(now, state.limits)

    private fun mayHold(
        worker: WorkerEntry,
        queue: QueueConfiguration,
    ): Boolean {
        if (state.isRosterKnown) return queue.name in state.roster.restoredQueuesOf(worker.id)
        if (queue.serviceName.isEmpty()) return true
        return worker.listed.serviceName == queue.serviceName || queue.name in state.roster.queuesOf(worker.id)
    }

    /** Whether every lease that an earlier owner may have granted has expired. */
    fun haveLeasesExpired(now: Long): Boolean = haveLeasesExpiredSince(state.startedAtMillis, now)

    /**
     * Whether every lease that was granted up to [sinceMillis], or within one owner lease after it, has expired even on
     * the slowest worker clock.
     */
    fun haveLeasesExpiredSince(
        sinceMillis: Long,
        now: Long,
    ): Boolean {
        val leaseMillis = (state.limits.longestLeaseMillis / SLOWEST_CLOCK_RATE).toLong()
        val boundMillis = state.limits.ownerLeaseMillis + leaseMillis + state.limits.clockMarginMillis
        return now - sinceMillis > boundMillis
    }

    private fun note(
        queue: QueueConfiguration,
        unreported: List<WorkerEntry>,
        now: Long,
    ) {
        val reported = state.workers.values.filter { mayHold(it, queue) && it.hasReportedAll }
        val unlisted = reported.filter { !it.isListed }.joinToString { it.id }.ifEmpty { "none" }
        val missing = unreported.joinToString { it.id }.ifEmpty { "none" }
        val tookMillis = now - state.startedAtMillis
        state.note(
            NoteKind.RUNS_KNOWN,
            queue.name,
            "epoch ${state.epoch}: ${reported.size} workers answered, unlisted $unlisted, incomplete $missing, after $tookMillis ms",
        )
    }
}
