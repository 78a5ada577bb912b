package org.verbenagauge.platform

import org.verbenagauge.entry.jobs.engine.ListedWorker
import org.verbenagauge.entry.jobs.model.JobsConfiguration
import org.verbenagauge.entry.jobs.owner.TableFollower
import org.verbenagauge.entry.jobs.owner.WorkerList
import org.verbenagauge.entry.jobs.ports.RowBatch
import org.verbenagauge.entry.jobs.ports.RowPlace
import org.verbenagauge.entry.jobs.ports.RowStore

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
    private val onConfiguration: (JobsConfiguration) -> Unit,
    private val onWave: (key: String, value: ByteArray?) -> Unit,
) {
    private val follower =
        TableFollower(store, listOf(RowPlace(OPERATOR_TABLE)), CONFIGURATION_WAIT_MILLIS, pauseMillis = 0)

    /** Runs until cancelled. */
    suspend fun run() {
        follower.run(onAll = ::take, onChanges = ::take)
    }

    private fun take(batch: RowBatch) {
        batch.rows.forEach { row ->
            val value = row.value
            if (row.key != CONFIGURATION_KEY) {
                onWave(row.key, value)
            } else if (value != null) {
                readConfiguration(value)?.let(onConfiguration)
            }
        }
    }
}

/** Follows the entries of workers. */
internal class PlatformWorkerList(
    store: RowStore,
) : WorkerList {
    private val follower = TableFollower(store, listOf(RowPlace(WORKER_TABLE)), WORKER_WAIT_MILLIS, WORKER_PAUSE_MILLIS)

    override suspend fun follow(
        onAll: (List<ListedWorker>) -> Unit,
        onChange: (workerId: String, worker: ListedWorker?) -> Unit,
    ) {
        follower.run(
            onAll = { batch -> onAll(batch.rows.mapNotNull { row -> row.value?.let { readWorker(row.key, it) } }) },
            onChanges = { batch ->
                batch.rows.forEach { row ->
                    val value = row.value
                    val worker = value?.let { readWorker(row.key, it) }
                    // An entry that cannot be read says nothing of the worker.
                    if (value == null || worker != null) onChange(row.key, worker)
                }
            },
        )
    }
}
