package org.verbenagauge.entry.jobs.owner

import org.verbenagauge.entry.jobs.records.OwnerFigures
import org.verbenagauge.entry.load.LoadPressure

/**
 * Returns the figures as far as they fit into the owner's row. Queues and accounts with the smallest figures are left
 * out, which the figures say of the pending jobs, so that no configuration and no load can make the row longer than the
 * store accepts.
 */
internal fun fittingFigures(
    pendingByQueue: Map<String, Int>,
    pressure: LoadPressure?,
): OwnerFigures {
    val largest = pendingByQueue.largestWithin(PENDING_BYTES, COUNT_BYTES) { it.toLong() }
    return OwnerFigures(
        pendingByQueue = largest,
        pressure =
            pressure?.copy(
                byQueue = pressure.byQueue.largestWithin(PRESSURE_BYTES, WAIT_BYTES) { it.surplusWaitMillis },
                surplusTeams = pressure.surplusTeams.largestWithin(TEAM_BYTES, COUNT_BYTES) { -it.toLong() },
            ),
        omitsPending = largest.size < pendingByQueue.size,
    )
}

private fun <V> Map<String, V>.largestWithin(
    maxBytes: Int,
    valueBytes: Int,
    weight: (V) -> Long,
): Map<String, V> {
    val bytesOf = { name: String -> name.encodeToByteArray().size + valueBytes }
    if (keys.sumOf(bytesOf) <= maxBytes) return this
    var bytes = 0
    return entries
        .sortedByDescending { weight(it.value) }
        .takeWhile { entry ->
            bytes += bytesOf(entry.key)
            bytes <= maxBytes
        }.associate { it.key to it.value }
}

// Together they leave a quarter of a row of 64 KB for the other fields and for later releases.
private const val PENDING_BYTES = 20_480
private const val PRESSURE_BYTES = 20_480
private const val TEAM_BYTES = 8_192

// Longest encoding of a value with the header of its name: a count, and six named numbers.
private const val COUNT_BYTES = 12
private const val WAIT_BYTES = 80
