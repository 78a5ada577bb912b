package org.verbenagauge.platform

import org.verbenagauge.entry.jobs.model.JobsConfiguration
import org.verbenagauge.entry.jobs.owner.TableFollower
import org.verbenagauge.entry.jobs.ports.ListedWorker
import org.verbenagauge.entry.jobs.ports.RowBatch
import org.verbenagauge.entry.jobs.ports.RowPlace
import org.verbenagauge.entry.jobs.ports.RowStore
import org.verbenagauge.entry.jobs.ports.StoredRow
import org.verbenagauge.entry.jobs.ports.WorkerList
import org.verbenagauge.entry.logging.Event
import org.verbenagauge.entry.logging.EventLog

private const val OPERATOR_TABLE = "op"
private const val CONFIGURATION_KEY = "config"
private const val WORKER_TABLE = "servers"

// Short enough to find a connection that went silent before a change has to be in force.
private const val CONFIGURATION_WAIT_MILLIS = 1_000L
private const val WORKER_WAIT_MILLIS = 1_000L

// Workers write every second or two; leaving ones must be known within two seconds.
private const val WORKER_PAUSE_MILLIS = 200L

/** Follows what the operator writes. */
internal class OperatorDocuments(
    store: RowStore,
    private val log: EventLog,
    private val onConfiguration: (JobsConfiguration) -> Unit,
    private val onWave: (key: String, value: ByteArray?) -> Unit,
    private val onEvacuated: (zoneIds: Set<String>) -> Unit,
) {
    private val evacuations = EvacuationRows(::unreadable)
    private val follower =
        TableFollower(store, listOf(RowPlace(OPERATOR_TABLE)), CONFIGURATION_WAIT_MILLIS, pauseMillis = 0, log)

    /** Runs until cancelled. */
    suspend fun run() {
        follower.run(
            onAll = { batch ->
                evacuations.takeAll(batch.rows)
                take(batch)
            },
            onChanges = { batch ->
                evacuations.take(batch.rows)
                take(batch)
            },
        )
    }

    private fun unreadable(row: StoredRow) {
        log.write(Event.DOCUMENT_UNREADABLE, row.key, "version ${row.version}; what was read before stays in force")
    }

    // Evacuations first: with the first configuration this entry may become the owner.
    private fun take(batch: RowBatch) {
        onEvacuated(evacuations.zoneIds)
        batch.rows.filter { !evacuations.isAbout(it) }.forEach { row ->
            val value = row.value
            if (row.key != CONFIGURATION_KEY) {
                onWave(row.key, value)
            } else if (value != null) {
                val configuration = readConfiguration(value)
                if (configuration == null) unreadable(row) else onConfiguration(configuration)
            }
        }
    }
}

/** Follows the entries of workers. */
internal class PlatformWorkerList(
    store: RowStore,
    private val log: EventLog,
) : WorkerList {
    private val follower =
        TableFollower(store, listOf(RowPlace(WORKER_TABLE)), WORKER_WAIT_MILLIS, WORKER_PAUSE_MILLIS, log)

    override suspend fun follow(
        onAll: (List<ListedWorker>) -> Unit,
        onChange: (workerId: String, worker: ListedWorker?) -> Unit,
    ) {
        follower.run(
            onAll = { batch -> onAll(batch.rows.mapNotNull(::worker)) },
            onChanges = { batch ->
                batch.rows.forEach { row ->
                    val worker = worker(row)
                    // An entry that cannot be read says nothing of the worker.
                    if (row.value == null || worker != null) onChange(row.key, worker)
                }
            },
        )
    }

    private fun worker(row: StoredRow): ListedWorker? {
        val value = row.value ?: return null
        val worker = readWorker(row.key, value)
        if (worker == null) log.write(Event.DOCUMENT_UNREADABLE, row.key, "version ${row.version}; it names no worker")
        return worker
    }
}
