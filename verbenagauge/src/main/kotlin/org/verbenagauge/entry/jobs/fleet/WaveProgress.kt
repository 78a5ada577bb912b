package org.verbenagauge.entry.jobs.fleet

import kotlinx.serialization.Serializable
import org.verbenagauge.entry.jobs.model.MaintenanceWave
import org.verbenagauge.entry.jobs.ports.Machine

/**
 * Stored progress of a maintenance wave.
 *
 * @property doneMachineIds machines whose maintenance has begun, or for which the platform rejected it.
 * @property isCompleted whether the wave was reported as completed.
 * @property firstSeenUnixMillis wall-clock time of the owner that first read the wave; 0 when not known.
 */
@Serializable
public data class WaveRecord(
    val doneMachineIds: List<String> = emptyList(),
    val isCompleted: Boolean = false,
    val firstSeenUnixMillis: Long = 0,
)

/**
 * In-memory progress of a maintenance wave on the owner.
 *
 * @property seenAtMillis monotonic time at which an owner first read the wave.
 */
internal class WaveProgress(
    val wave: MaintenanceWave,
    record: WaveRecord,
    val seenAtMillis: Long,
) {
    private val firstSeenUnixMillis = record.firstSeenUnixMillis
    val done = HashSet(record.doneMachineIds)
    var isCompleted = record.isCompleted

    /** Name of the reservation that keeps new tasks off workers for the wave. */
    val reservation: String = "wave ${wave.number}"

    /** Machines that are being drained, with the time at which draining began. */
    val drainingSinceMillis = HashMap<String, Long>()

    /** Machines whose maintenance was ordered, with the time of the first order, or of the answer once it is done. */
    val orderedAtMillis = HashMap<String, Long>()

    /** Machines with an unanswered order, which may have been carried out. */
    val uncertain = HashSet<String>()

    /** Machines whose order was sent and has not returned yet. */
    val inFlight = HashSet<String>()

    // When the first of the lists was read that have lacked a machine ever since, by machine.
    private val missingSinceMillis = HashMap<String, Long>()

    /** Machines that are down for maintenance according to the last list that contained them. */
    val inMaintenance = HashSet<String>()

    /** Applies the list of machines [byId] that was read at [readAtMillis]. */
    fun recordList(
        byId: Map<String, Machine>,
        readAtMillis: Long,
    ) {
        wave.machineIds.forEach { id ->
            val machine = byId[id]
            if (machine == null) missingSinceMillis.putIfAbsent(id, readAtMillis) else missingSinceMillis.remove(id)
            if (machine?.isInMaintenance == true) inMaintenance += id
            if (machine?.isInMaintenance == false || isGone(id, readAtMillis)) inMaintenance -= id
        }
    }

    /** Whether [machineId] has left the platform; a single list may lack a machine that stays. */
    fun isGone(
        machineId: String,
        readAtMillis: Long,
    ): Boolean = missingSinceMillis[machineId]?.let { readAtMillis - it >= GONE_MILLIS } ?: false

    /** Returns the record to store. */
    fun record() = WaveRecord(done.sorted(), isCompleted, firstSeenUnixMillis)

    private companion object {
        // Four readings of the list.
        const val GONE_MILLIS = 2_000L
    }
}
