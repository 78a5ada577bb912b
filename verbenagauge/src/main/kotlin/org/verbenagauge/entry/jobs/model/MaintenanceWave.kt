package org.verbenagauge.entry.jobs.model

/**
 * A wave of maintenance that an operator asks for.
 *
 * @property number names the wave.
 * @property machineIds machines that take part.
 * @property durationMillis time within which all of them shall have begun.
 * @property maxAtOnce most machines of the wave that may be down for it at once.
 */
public data class MaintenanceWave(
    val number: Long,
    val machineIds: List<String>,
    val durationMillis: Long,
    val maxAtOnce: Int,
)
