package org.verbenagauge.entry.jobs.model

/**
 * Maintenance wave that an operator requests.
 *
 * @property number identifies the wave.
 * @property machineIds machines to maintain.
 * @property durationMillis time within which the maintenance of all machines must begin.
 * @property maxAtOnce maximum number of machines that may be down for the wave at the same time.
 */
public data class MaintenanceWave(
    val number: Long,
    val machineIds: List<String>,
    val durationMillis: Long,
    val maxAtOnce: Int,
)
