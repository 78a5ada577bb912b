package org.verbenagauge.entry.jobs.model

import org.verbenagauge.entry.model.sha256Hex

/**
 * Document of the operator that says who may run what and where.
 *
 * @property version rises with every change.
 * @property queues queues of jobs.
 * @property services pools of workers by name.
 * @property teams teams by name.
 * @property maxBodyBytes largest body of a request.
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

    /** Returns the queue [name], or null. */
    public fun queue(name: String): QueueConfiguration? = queueByName[name]

    /** Returns the queue of [host] with the longest prefix of [path], or null. */
    public fun queueFor(
        host: String,
        path: String,
    ): QueueConfiguration? =
        queuesByHost[host.lowercase()]
            ?.filter { path.startsWith(it.pathPrefix) }
            ?.maxByOrNull { it.pathPrefix.length }

    /** Returns the team that holds [key], or null. */
    public fun teamOf(key: String): String? = teamByKeyHash[sha256Hex(key)]
}

/**
 * A queue.
 *
 * @property name name.
 * @property host host name that callers use.
 * @property pathPrefix prefix of the paths that callers use.
 * @property serviceName pool that runs its tasks.
 * @property priority 0 comes first.
 * @property maxAttempts failed runs of a task after which its job has failed.
 * @property slackFactor factor on the work of a job that gives its latency objective.
 * @property objectiveMillis part of the latency objective that does not depend on the work.
 * @property isOpen whether no key is needed.
 * @property advice costs of asking which workers may run a step; null when all may.
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
 * What advice on placement costs.
 *
 * @property decisionMillis time of an answer.
 * @property perWorkerMillis more time for each worker asked about.
 * @property validityMillis how long a ticket is valid.
 */
public data class AdviceConfiguration(
    val decisionMillis: Double,
    val perWorkerMillis: Double,
    val validityMillis: Long,
)

/**
 * A pool of workers.
 *
 * @property name name.
 * @property enforcesCapacity whether its workers refuse what does not fit.
 * @property isStandby whether its machines are off.
 */
public data class ServiceConfiguration(
    val name: String,
    val enforcesCapacity: Boolean,
    val isStandby: Boolean,
)

/**
 * A team.
 *
 * @property name name.
 * @property keyHashes hashes of its keys.
 * @property weight share when all is full, in jobs a second.
 * @property limit most that it may have running; 0 in a part for no limit.
 */
public data class TeamConfiguration(
    val name: String,
    val keyHashes: Set<String>,
    val weight: Double,
    val limit: Amount,
)
