package org.verbenagauge.entry.jobs.ports

import org.verbenagauge.entry.jobs.model.Amount

/**
 * A worker in the platform's list.
 *
 * @property address address of this incarnation.
 * @property serviceName name of its pool.
 * @property zoneId availability zone.
 * @property rack empty when not reported.
 * @property labels includes the rack.
 * @property capacity total resources of the worker.
 * @property isReady whether it accepts work.
 * @property bornUnixMillis start of this incarnation; 0 when not reported.
 * @property machineId machine on which it runs; empty when not reported.
 * @property coldMillis how much longer it stays slow after its start, in milliseconds.
 */
public data class ListedWorker(
    val address: WorkerAddress,
    val serviceName: String,
    val zoneId: String,
    val rack: String,
    val labels: Set<String>,
    val capacity: Amount,
    val isReady: Boolean,
    val bornUnixMillis: Long,
    val machineId: String,
    val coldMillis: Long = 0,
)

/** The platform's list of workers. */
public interface WorkerList {
    /**
     * Follows the list until cancelled. Passes the whole list to [onAll] at the start and after gaps, and each changed
     * worker to [onChange], with null for a worker that was removed.
     */
    public suspend fun follow(
        onAll: (List<ListedWorker>) -> Unit,
        onChange: (workerId: String, worker: ListedWorker?) -> Unit,
    )
}
