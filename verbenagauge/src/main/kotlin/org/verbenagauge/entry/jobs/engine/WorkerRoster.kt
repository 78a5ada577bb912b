package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.jobs.ports.ListedWorker
import org.verbenagauge.entry.jobs.records.RosterRecord

/**
 * Change of the stored roster.
 *
 * @property workerId worker.
 * @property record new content; null when the worker can hold no run any more.
 */
internal data class RosterChange(
    val workerId: String,
    val record: RosterRecord?,
)

/**
 * Workers that may hold runs, as the next owner will read them. The platform's list does not tell them: its entries
 * expire while the workers run on. A task is ordered only on a worker whose stored row names its queue.
 */
internal class WorkerRoster {
    private val changes = LinkedHashMap<String, RosterRecord?>()
    private val inFlight = HashMap<String, RosterRecord>()
    private val stored = HashMap<String, RosterRecord>()

    /** Whether something has to be stored. */
    val hasChanges: Boolean get() = changes.isNotEmpty()

    /** Takes in a row that an earlier owner stored. */
    fun restore(
        workerId: String,
        record: RosterRecord,
    ) {
        stored[workerId] = record
    }

    /** Has the row stored that lets tasks of [queueName] be ordered on [worker]; whether it is stored already. */
    fun ensureRecorded(
        worker: WorkerEntry,
        queueName: String,
    ): Boolean {
        val known = stored[worker.id].takeIf { worker.id !in changes }
        if (known != null && queueName in known.queueNames && matches(known, worker.listed)) return true
        return ensureRecorded(worker, setOf(queueName))
    }

    /** Has the row stored that lets tasks of all [queueNames] be ordered on [worker]; whether it is stored already. */
    fun ensureRecorded(
        worker: WorkerEntry,
        queueNames: Set<String>,
    ): Boolean {
        val record = rosterRecord(worker, queuesOf(worker.id) + queueNames)
        val isStored = stored[worker.id] == record && worker.id !in inFlight
        // A worker that is back before its removal was written keeps its row.
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

    // What will be stored when all changes are written.
    private fun pendingOrStored(workerId: String): RosterRecord? =
        if (workerId in changes) changes[workerId] else inFlight[workerId] ?: stored[workerId]

    /** Queues whose tasks an owner may have ordered on the worker [workerId], or may order soon. */
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
    )

    /** Takes note that the worker [workerId] can hold no run any more. */
    fun remove(workerId: String) {
        if (workerId in stored || workerId in inFlight) changes[workerId] = null else changes.remove(workerId)
    }

    /** Takes up to [most] changes that have to be stored. */
    fun takeChanges(most: Int): List<RosterChange> {
        val taken = changes.entries.take(most).map { RosterChange(it.key, it.value) }
        taken.forEach { change ->
            changes.remove(change.workerId)
            if (change.record == null) stored.remove(change.workerId) else inFlight[change.workerId] = change.record
        }
        return taken
    }

    /** Takes note that [taken] is stored. */
    fun confirmStored(taken: List<RosterChange>) {
        taken.forEach { change ->
            val record = inFlight.remove(change.workerId)
            if (record != null) stored[change.workerId] = record
        }
    }
}
