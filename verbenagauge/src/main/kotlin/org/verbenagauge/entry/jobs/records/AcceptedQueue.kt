package org.verbenagauge.entry.jobs.records

import kotlinx.serialization.Serializable
import org.verbenagauge.entry.jobs.model.AdviceConfiguration
import org.verbenagauge.entry.jobs.model.QueueConfiguration

/**
 * Settings of a queue at the time at which one of its jobs was accepted. An owner uses them until it has read a
 * configuration that is at least as new and has the queue, and again after the queue was removed.
 *
 * @property configurationVersion version of the configuration that the settings are from.
 */
@Serializable
public data class AcceptedQueue(
    val configurationVersion: Long,
    val serviceName: String,
    val priority: Int,
    val maxAttempts: Int,
    val slackFactor: Double,
    val objectiveMillis: Long,
    val advice: AdviceConfiguration? = null,
) {
    /** Returns the settings as those of the queue [name], which callers cannot reach by them. */
    internal fun toQueue(name: String) =
        QueueConfiguration(
            name = name,
            host = "",
            pathPrefix = "",
            serviceName = serviceName,
            priority = priority,
            maxAttempts = maxAttempts,
            slackFactor = slackFactor,
            objectiveMillis = objectiveMillis,
            isOpen = false,
            advice = advice,
        )
}

/** Returns the settings of [queue] in the configuration of version [configurationVersion], to be stored with a job. */
internal fun acceptedQueue(
    queue: QueueConfiguration,
    configurationVersion: Long,
) = AcceptedQueue(
    configurationVersion = configurationVersion,
    serviceName = queue.serviceName,
    priority = queue.priority,
    maxAttempts = queue.maxAttempts,
    slackFactor = queue.slackFactor,
    objectiveMillis = queue.objectiveMillis,
    advice = queue.advice,
)
