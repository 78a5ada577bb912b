package org.verbenagauge.entry.jobs.model

import kotlinx.serialization.Serializable
import org.verbenagauge.entry.model.sha256Hex

/**
 * Configuration document of the operator: queues, pools of workers and client accounts.
 *
 * @property version increases with every change.
 * @property services pools of workers by name.
 * @property teams client accounts by name.
 * @property maxBodyBytes maximum size of a request body.
 */
public data class JobsConfiguration(
    val version: Long,
    val queues: List<QueueConfiguration>,
    val services: Map<String, ServiceConfiguration>,
    val teams: Map<String, TeamConfiguration>,
    val maxBodyBytes: Long,
) {
    private val queueByName = queues.associateBy { it.name }
    private val queuesByHost = queues.groupBy { it.host.lowercase() }
    private val teamByKeyHash =
        buildMap {
            teams.values.forEach { team -> team.keyHashes.forEach { put(it, team.name) } }
        }

    /** Returns the queue with this [name], or null when there is none. */
    public fun queue(name: String): QueueConfiguration? = queueByName[name]

    /** Returns the queue of [host] with the longest path prefix that matches [path], or null when none matches. */
    public fun queueFor(
        host: String,
        path: String,
    ): QueueConfiguration? =
        queuesByHost[host.lowercase()]
            ?.filter { path.startsWith(it.pathPrefix) }
            ?.maxByOrNull { it.pathPrefix.length }

    /** Returns the name of the account that [key] belongs to, or null when the key is unknown. */
    public fun teamOf(key: String): String? = teamByKeyHash[sha256Hex(key)]
}

/**
 * Queue of jobs.
 *
 * @property host host name that callers use.
 * @property pathPrefix prefix of the paths that callers use.
 * @property serviceName pool that runs its tasks.
 * @property priority scheduling priority; 0 is the highest.
 * @property maxAttempts number of failed runs of a task after which its job fails.
 * @property slackFactor factor that is multiplied with the work of a job for its latency objective.
 * @property objectiveMillis part of the latency objective that does not depend on the work.
 * @property isOpen whether callers need no key.
 * @property advice costs of requesting placement advice for a step; null when any worker may run it.
 */
public data class QueueConfiguration(
    val name: String,
    val host: String,
    val pathPrefix: String,
    val serviceName: String,
    val priority: Int,
    val maxAttempts: Int,
    val slackFactor: Double,
    val objectiveMillis: Long,
    val isOpen: Boolean,
    val advice: AdviceConfiguration? = null,
)

/**
 * Costs of placement advice.
 *
 * @property decisionMillis base time of an answer.
 * @property perWorkerMillis additional time for each worker in the request.
 * @property validityMillis time for which a ticket is valid.
 */
@Serializable
public data class AdviceConfiguration(
    val decisionMillis: Double,
    val perWorkerMillis: Double,
    val validityMillis: Long,
)

/**
 * Pool of workers.
 *
 * @property enforcesCapacity whether its workers reject tasks that exceed their free capacity.
 * @property isStandby whether its machines are off until they move to another pool.
 * @property connectionLimit connections that each of its workers accepts from all callers together; 0 if not known.
 */
public data class ServiceConfiguration(
    val name: String,
    val enforcesCapacity: Boolean,
    val isStandby: Boolean,
    val connectionLimit: Long = 0,
)

/**
 * Client account.
 *
 * @property keyHashes SHA-256 hashes of its keys, in hexadecimal.
 * @property weight share of the account under overload, in jobs per second.
 * @property limit maximum resources of its running tasks; a part that is 0 has no limit.
 */
public data class TeamConfiguration(
    val name: String,
    val keyHashes: Set<String>,
    val weight: Double,
    val limit: Amount,
)
