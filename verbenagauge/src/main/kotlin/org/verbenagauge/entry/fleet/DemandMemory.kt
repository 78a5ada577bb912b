package org.verbenagauge.entry.fleet

import org.verbenagauge.entry.settings.FleetSettings

/** Remembers which pools were full with urgent work lately, so that a wave does not follow every burst. */
internal class DemandMemory(
    private val settings: FleetSettings,
) {
    private val busyByPool = HashMap<String, BusyTime>()

    /** Takes in that [poolId] is or is not full with urgent work. */
    fun note(
        poolId: String,
        isFull: Boolean,
        nowMillis: Long,
    ) {
        val known = busyByPool[poolId]
        when {
            isFull -> busyByPool[poolId] = BusyTime(known?.sinceMillis ?: nowMillis, nowMillis)
            known != null && nowMillis - known.lastMillis > settings.urgentMemoryMillis -> busyByPool -= poolId
        }
    }

    /** Whether [poolId] counts as full with urgent work. */
    fun isBusy(poolId: String): Boolean = poolId in busyByPool

    /** Whether [poolId] has been left alone as long as it may be. */
    fun isPatienceOver(
        poolId: String,
        nowMillis: Long,
    ): Boolean = busyByPool[poolId]?.let { nowMillis - it.sinceMillis >= settings.urgentPatienceMillis } ?: true

    private class BusyTime(
        val sinceMillis: Long,
        val lastMillis: Long,
    )
}
