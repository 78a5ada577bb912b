package org.verbenagauge.entry.jobs.engine

/**
 * What the advisor has told about one step. Whether a worker may run the step does not change during the life of the
 * worker and is kept; the ticket for it expires.
 */
internal class StepAdvice {
    private class Permission(
        val bornUnixMillis: Long,
        val ticket: String,
        var validUntilMillis: Long,
    )

    private val permissions = HashMap<String, Permission>()
    private val bornUnixMillisOfDenied = HashMap<String, Long>()

    /** Number of workers that may run the step. */
    val allowedCount: Int get() = permissions.size

    /** Number of workers of which it is known whether they may run the step. */
    val knownCount: Int get() = permissions.size + bornUnixMillisOfDenied.size

    /** Returns the ticket for [worker], or null if none is valid at [now]. */
    fun ticket(
        worker: WorkerEntry,
        now: Long,
    ): String? = permission(worker)?.takeIf { now < it.validUntilMillis }?.ticket

    /** Whether [worker] may run the step, with or without a valid ticket. */
    fun isAllowed(worker: WorkerEntry): Boolean = permission(worker) != null

    /** Whether [worker] may not run the step. */
    fun isDenied(worker: WorkerEntry): Boolean = bornUnixMillisOfDenied[worker.id] == worker.listed.bornUnixMillis

    /**
     * Records the answer [tickets], by worker ID, to a question about [asked], which holds start times by worker ID.
     * The tickets are valid until [validUntilMillis].
     */
    fun record(
        asked: Map<String, Long>,
        tickets: Map<String, String>,
        validUntilMillis: Long,
    ) {
        asked.forEach { (workerId, bornUnixMillis) ->
            val ticket = tickets[workerId]
            if (ticket == null) {
                permissions -= workerId
                bornUnixMillisOfDenied[workerId] = bornUnixMillis
            } else {
                bornUnixMillisOfDenied -= workerId
                permissions[workerId] = Permission(bornUnixMillis, ticket, validUntilMillis)
            }
        }
    }

    /** Records that [worker] has refused its ticket. */
    fun discardTicket(worker: WorkerEntry) {
        permissions[worker.id]?.validUntilMillis = Long.MIN_VALUE
    }

    /** Discards what is known of workers other than [workerIds]. */
    fun retain(workerIds: Set<String>) {
        permissions.keys.retainAll(workerIds)
        bornUnixMillisOfDenied.keys.retainAll(workerIds)
    }

    private fun permission(worker: WorkerEntry) =
        permissions[worker.id]?.takeIf { it.bornUnixMillis == worker.listed.bornUnixMillis }
}
