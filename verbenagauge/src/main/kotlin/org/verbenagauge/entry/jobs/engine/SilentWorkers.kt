package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.jobs.records.LeaseEndRecord

/**
 * Records in the roster until when the leases on silent workers last, so that the next owner does not wait for them
 * anew. A silent worker is granted nothing until its record is removed.
 */
internal class SilentWorkers(
    private val state: EngineState,
) {
    /** Records the workers that have been silent for a while, and removes the records of those that answer again. */
    fun check(now: Long) {
        val reading = state.storeClock.reading ?: return
        state.workers.values.forEach { worker ->
            val silentSince = worker.firstFailureMillis
            when {
                silentSince == null -> recordAnswer(worker)
                now - silentSince < MIN_SILENCE_MILLIS || reading.sentAtMillis < silentSince -> Unit
                state.roster.leaseEndOf(worker.id) == null ->
                    leaseEnd(worker, reading)?.let { record(worker, it, now) }
            }
        }
    }

    /** Records the end of the leases on workers that have not answered under this epoch, which granted them nothing. */
    fun recordUnheard() {
        val endMillis = state.earlierLeasesEndMillis ?: return
        state.workers.values
            .filter { !it.hasAnswered && !it.hasLeases && state.roster.isStored(it.id) }
            .filter { state.roster.leaseEndOf(it.id) == null }
            .forEach { state.roster.recordLeaseEnd(it.id, LeaseEndRecord(state.epoch, endMillis)) }
    }

    private fun record(
        worker: WorkerEntry,
        leaseEnd: LeaseEndRecord,
        now: Long,
    ) {
        if (!state.roster.recordLeaseEnd(worker.id, leaseEnd)) return
        val leftMillis = state.storeClock.leftMillis(leaseEnd.storeMillis, now)
        val orders = if (leaseEnd.ordersEndMillis != null) ", a start order is unanswered" else ""
        val silentMillis = worker.firstFailureMillis?.let { now - it }
        val detail = "silent for $silentMillis ms with ${worker.runs.size} runs, leases end in $leftMillis ms$orders"
        state.note(NoteKind.WORKER_SILENT, worker.id, detail)
    }

    /** Requests the removal of the record of [worker] if it has answered. */
    fun recordAnswer(worker: WorkerEntry) {
        if (worker.hasAnswered && worker.firstFailureMillis == null) state.roster.clearLeaseEnd(worker.id)
    }

    // The call of [reading] was sent after the last lease was granted, so the store's time is ahead of that moment.
    private fun leaseEnd(
        worker: WorkerEntry,
        reading: StoreReading,
    ): LeaseEndRecord? {
        if (!worker.hasLeases) return state.earlierLeasesEndMillis?.let { LeaseEndRecord(state.epoch, it) }
        // Leases of earlier incarnations are not known, and their renewals may reach the present one.
        val leftMillis =
            if (worker.hasAnswered && worker.incarnationSinceMillis == 0L) {
                worker.leasesLeftMillis(reading.sentAtMillis, state.limits)
            } else {
                state.limits.takeoverLeaseMillis
            }
        val hasOpenOrders = worker.runs.values.any { it.isUncertain || it.phase == RunPhase.STARTING }
        val ordersEndMillis = reading.storeMillis + state.limits.takeoverLeaseMillis
        return LeaseEndRecord(
            epoch = state.epoch,
            storeMillis = reading.storeMillis + leftMillis,
            ordersEndMillis = ordersEndMillis.takeIf { hasOpenOrders },
        )
    }

    private companion object {
        // Several failed calls; a lost connection or a short pause of a worker is over by then.
        const val MIN_SILENCE_MILLIS = 600L
    }
}
