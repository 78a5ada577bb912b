package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.jobs.model.QueueConfiguration

/** Determines whether all runs that earlier owners ordered are known, so that tasks without a run may start. */
internal class EarlierRuns(
    private val state: EngineState,
) {
    private val knownAtMillisByQueue = HashMap<Pair<String, String>, Long>()

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
        val key = key(queue)
        if (key in knownAtMillisByQueue) return true
        val unreported = unreported(queue, now)
        // The leases of workers that answer are renewed and do not expire, so only their listings tell which runs
        // exist.
        val areKnown =
            if (haveLeasesExpired(now)) {
                unreported.none { hasLiveLease(it, now) }
            } else {
                state.areWorkersKnown && unreported.isEmpty()
            }
        if (areKnown) {
            knownAtMillisByQueue[key] = now
            note(queue, unreported, now)
        }
        return areKnown
    }

    /** Returns how long a task of [job] that is ready since [readySinceMillis] has waited for runs of earlier owners. */
    fun waitMillis(
        job: JobEntry,
        readySinceMillis: Long,
    ): Long {
        if (!job.mayHaveEarlierRuns) return 0
        val knownAtMillis = knownAtMillisByQueue[key(job.queue)] ?: return 0
        return maxOf(0, knownAtMillis - readySinceMillis)
    }

    /** Describes for the log what the jobs of [queue] wait for at [now]. */
    fun describeWait(
        queue: QueueConfiguration,
        now: Long,
    ): String {
        val unreported = unreported(queue, now)
        val shown = unreported.take(MAX_WORKERS_SHOWN).joinToString { describe(it, now) }.ifEmpty { "none" }
        val others = unreported.size - MAX_WORKERS_SHOWN
        val more = if (others > 0) " and $others more" else ""
        val list = if (state.areWorkersKnown) "" else ", workers are not all known"
        val boundMillis = maxOf(0, state.startedAtMillis + state.limits.takeoverLeaseMillis - now)
        val leftMillis =
            minOf(
                boundMillis,
                state.storeClock.leftMillis(state.earlierLeasesEndMillis, now) ?: boundMillis,
            )
        return "not reported $shown$more$list, all leases expire in $leftMillis ms"
    }

    private fun describe(
        worker: WorkerEntry,
        now: Long,
    ): String {
        if (worker.hasAnswered) return "${worker.id} (answered in part)"
        val failing = worker.firstFailureMillis?.let { ", fails since ${now - it} ms" }.orEmpty()
        val leaseEnd = state.roster.leaseEndOf(worker.id)?.storeMillis
        val left =
            state.storeClock
                .leftMillis(leaseEnd, now)
                ?.let { ", leases end in $it ms" }
                .orEmpty()
        return "${worker.id} (no answer since ${now - worker.seenAtMillis} ms$failing$left)"
    }

    // A queue that was moved may have runs on the workers of either service.
    private fun key(queue: QueueConfiguration) = queue.name to queue.serviceName

    private fun unreported(
        queue: QueueConfiguration,
        now: Long,
    ) = state.workers.values.filter { mayHold(it, queue) && !it.hasReportedAll && !haveLeasesEnded(it, now) }

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

    /** Whether the leases on the silent [worker] have ended according to the roster. */
    fun haveLeasesEnded(
        worker: WorkerEntry,
        now: Long,
    ): Boolean {
        val leaseEnd = state.roster.leaseEndOf(worker.id) ?: return false
        if (worker.hasAnswered) return false
        val mayRestart = worker.isListed || !state.isWorkerListKnown
        val ordersEndMillis = if (mayRestart) leaseEnd.ordersEndMillis ?: 0 else 0
        return state.storeClock.hasPassed(maxOf(leaseEnd.storeMillis, ordersEndMillis), now)
    }

    /** Whether every lease that an earlier owner may have granted has expired. */
    fun haveLeasesExpired(now: Long): Boolean =
        state.storeClock.hasPassed(state.earlierLeasesEndMillis, now) ||
            haveLeasesExpiredSince(state.startedAtMillis, now)

    /**
     * Whether every lease that was granted up to [sinceMillis], or within one owner lease after it, has expired even on
     * the slowest worker clock.
     */
    fun haveLeasesExpiredSince(
        sinceMillis: Long,
        now: Long,
    ): Boolean = now - sinceMillis > state.limits.takeoverLeaseMillis

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

    private companion object {
        // Bounds the length of a log line.
        const val MAX_WORKERS_SHOWN = 5
    }
}
