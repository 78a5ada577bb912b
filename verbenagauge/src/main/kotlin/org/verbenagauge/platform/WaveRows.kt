package org.verbenagauge.platform

import org.verbenagauge.entry.jobs.model.MaintenanceWave

/**
 * Maintenance waves that the operator's rows request.
 *
 * @param onUnreadable is told the keys of rows that are no wave, which change nothing.
 */
internal class WaveRows(
    private val onUnreadable: (key: String) -> Unit,
) {
    private val waveByKey = HashMap<String, MaintenanceWave>()

    /** Waves of the rows read so far. */
    val requested: Collection<MaintenanceWave> get() = waveByKey.values

    /** Takes in the row [key]; a [value] of null means that it was removed. */
    fun take(
        key: String,
        value: ByteArray?,
    ) {
        if (!key.startsWith(WAVE_PREFIX)) return
        val wave = value?.let { readWave(it) }
        when {
            value == null -> waveByKey.remove(key)
            wave == null -> onUnreadable(key)
            else -> waveByKey[key] = wave
        }
    }
}
