package org.verbenagauge.entry.jobs.fleet

import kotlinx.serialization.Serializable
import org.verbenagauge.entry.jobs.model.MaintenanceWave

/**
 * What is stored of a wave.
 *
 * @property doneMachineIds machines whose maintenance has begun.
 * @property isCompleted whether the wave was reported as completed.
 * @property firstSeenUnixMillis when an owner first saw the wave, by its time of day; 0 when not known.
 */
@Serializable
public data class WaveRecord(
    val doneMachineIds: List<String> = emptyList(),
    val isCompleted: Boolean = false,
    val firstSeenUnixMillis: Long = 0,
)

/** A wave and how far it is, as the owner keeps it. */
internal class WaveProgress(
    val wave: MaintenanceWave,
    record: WaveRecord,
    val seenAtMillis: Long,
) {
    private val firstSeenUnixMillis = record.firstSeenUnixMillis
    val done = HashSet(record.doneMachineIds)
    var isCompleted = record.isCompleted

    /** Name under which workers are kept free for the wave. */
    val reservation: String = "wave ${wave.number}"

    /** Machines that are being emptied, with the time at which that began. */
    val drainingSinceMillis = HashMap<String, Long>()

    /** Machines that were ordered down, with the time of the first order. */
    val orderedAtMillis = HashMap<String, Long>()

    /** Machines of which an order has got no answer, so that it may have been carried out. */
    val uncertain = HashSet<String>()

    /** Orders that are on their way. */
    val inFlight = HashSet<String>()

    /** Returns what has to be stored. */
    fun record() = WaveRecord(done.sorted(), isCompleted, firstSeenUnixMillis)
}
