package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.jobs.ports.ListedWorker
import org.verbenagauge.entry.jobs.records.LeaseEndRecord
import org.verbenagauge.entry.jobs.records.RosterRecord

/**
 * Change of one row of the stored roster.
 *
 * @property record new content; null to remove the row of a worker that can no longer hold any run.
 */
internal data class RosterChange(
    val workerId: String,
    val record: RosterRecord?,
)

/**
 * Workers that may hold runs, stored for the next owner. The platform's list cannot be used for this: its entries
 * expire while the workers keep running. A task is ordered only on a worker whose stored row names the queue of the
 * task.
 */
internal class WorkerRoster {
    private val changes = LinkedHashMap<String, RosterRecord?>()
    private val inFlight = HashMap<String, RosterRecord>()
    private val stored = HashMap<String, RosterRecord>()
    private val restored = HashMap<String, RosterRecord>()
    private val idsOfRejectedRows = HashSet<String>()

    /** Whether changes wait to be stored. */
    val hasChanges: Boolean get() = changes.isNotEmpty()

    /** Restores a row that an earlier owner stored. */
    fun restore(
        workerId: String,
        record: RosterRecord,
    ) {
        stored[workerId] = record
        restored[workerId] = record
    }

    /** Returns the queues whose tasks an earlier owner may have ordered on the worker [workerId]. */
    fun restoredQueuesOf(workerId: String): Set<String> = restored[workerId]?.queueNames.orEmpty()

    /** Requests the row that allows tasks of [queueName] on [worker]; returns whether it is stored already. */
    fun ensureRecorded(
        worker: WorkerEntry,
        queueName: String,
    ): Boolean {
        val known = stored[worker.id].takeIf { worker.id !in changes }
        if (known != null && queueName in known.queueNames && matches(known, worker.listed)) return true
        return ensureRecorded(worker, setOf(queueName))
    }

    /** Requests the row that allows tasks of all [queueNames] on [worker]; returns whether it is stored already. */
    fun ensureRecorded(
        worker: WorkerEntry,
        queueNames: Set<String>,
    ): Boolean {
        val record = rosterRecord(worker, queuesOf(worker.id) + queueNames)
        val isStored = stored[worker.id] == record && worker.id !in inFlight
        // A worker that returns before the removal of its row is written keeps the row.
        if (isStored) {
            changes.remove(worker.id)
        } else if (pendingOrStored(worker.id) != record) {
            changes[worker.id] = record
        }
        return isStored
    }

    private fun matches(
        record: RosterRecord,
        listed: ListedWorker,
    ) = record.host == listed.address.host &&
        record.port == listed.address.port &&
        record.bornUnixMillis == listed.bornUnixMillis &&
        record.machineId == listed.machineId &&
        record.serviceName == listed.serviceName

    // Content of the row once all changes are written.
    private fun pendingOrStored(workerId: String): RosterRecord? =
        if (workerId in changes) changes[workerId] else inFlight[workerId] ?: stored[workerId]

    /** Returns the queues whose tasks an owner may have ordered, or may soon order, on the worker [workerId]. */
    fun queuesOf(workerId: String): Set<String> =
        listOfNotNull(stored[workerId], inFlight[workerId], changes[workerId]).flatMapTo(HashSet()) { it.queueNames }

    private fun rosterRecord(
        worker: WorkerEntry,
        queueNames: Set<String>,
    ) = RosterRecord(
        serviceName = worker.listed.serviceName,
        host = worker.listed.address.host,
        port = worker.listed.address.port,
        bornUnixMillis = worker.listed.bornUnixMillis,
        machineId = worker.listed.machineId,
        queueNames = queueNames,
        leaseEnd = leaseEndOf(worker.id),
    )

    /** Returns the end of the leases on the silent worker [workerId], as stored or about to be; null if it has none. */
    fun leaseEndOf(workerId: String): LeaseEndRecord? = pendingOrStored(workerId)?.leaseEnd

    /**
     * Whether the worker [workerId] may be granted leases and runs: the next owner must not find an end of its leases
     * that precedes them.
     */
    fun mayGrant(workerId: String): Boolean =
        listOfNotNull(stored[workerId], inFlight[workerId], changes[workerId]).all { it.leaseEnd == null }

    /**
     * Requests that the leases on the silent worker [workerId] are recorded to end at [leaseEnd]; returns false if it has
     * no row, or none that the store accepts.
     */
    fun recordLeaseEnd(
        workerId: String,
        leaseEnd: LeaseEndRecord,
    ): Boolean {
        val record = pendingOrStored(workerId) ?: return false
        if (workerId in idsOfRejectedRows) return false
        changes[workerId] = record.copy(leaseEnd = leaseEnd)
        return true
    }

    /** Requests the removal of the recorded end of the leases on the worker [workerId]. */
    fun clearLeaseEnd(workerId: String) {
        val record = pendingOrStored(workerId) ?: return
        if (record.leaseEnd == null) return
        val cleared = record.copy(leaseEnd = null)
        if (workerId !in inFlight &&
            stored[workerId] == cleared
        ) {
            changes.remove(workerId)
        } else {
            changes[workerId] = cleared
        }
    }

    /** Returns the requested ends of leases that are not stored yet. */
    fun unstoredLeaseEnds(): List<RosterChange> =
        changes.filterValues { it?.leaseEnd != null }.map { RosterChange(it.key, it.value) }

    /** Whether a row of the worker [workerId] is stored. */
    fun isStored(workerId: String): Boolean = workerId in stored

    /** Removes the row of the worker [workerId], which can no longer hold any run. */
    fun remove(workerId: String) {
        if (workerId in stored || workerId in inFlight) changes[workerId] = null else changes.remove(workerId)
    }

    /** Removes and returns up to [most] changes to store. */
    fun takeChanges(most: Int): List<RosterChange> {
        val taken = changes.entries.take(most).map { RosterChange(it.key, it.value) }
        taken.forEach { change ->
            changes.remove(change.workerId)
            if (change.record == null) stored.remove(change.workerId) else inFlight[change.workerId] = change.record
        }
        return taken
    }

    /** Records that the store never accepts [change]; a row that was stored before stays in use. */
    fun recordRejected(change: RosterChange) {
        if (change.record?.leaseEnd == null || change.workerId !in stored) return
        idsOfRejectedRows += change.workerId
        inFlight.remove(change.workerId)
    }

    /** Records that the changes [taken] are stored. */
    fun confirmStored(taken: List<RosterChange>) {
        taken.forEach { change ->
            val record = inFlight.remove(change.workerId)
            if (record != null) stored[change.workerId] = record
        }
    }
}
