package org.verbenagauge.entry.jobs.model

import kotlinx.serialization.Serializable

/**
 * What a task takes of a worker, or what a worker or a team has.
 *
 * @property cpuMillis processor, in thousandths of a core.
 * @property memoryMegabytes memory.
 * @property gpus accelerators.
 */
@Serializable
public data class Amount(
    val cpuMillis: Long = 0,
    val memoryMegabytes: Long = 0,
    val gpus: Long = 0,
) {
    /** Adds [other]. */
    public operator fun plus(other: Amount): Amount =
        Amount(cpuMillis + other.cpuMillis, memoryMegabytes + other.memoryMegabytes, gpus + other.gpus)

    /** Takes [other] away. */
    public operator fun minus(other: Amount): Amount =
        Amount(cpuMillis - other.cpuMillis, memoryMegabytes - other.memoryMegabytes, gpus - other.gpus)

    /** Returns this, and no more of each part than [limit]. */
    public fun atMost(limit: Amount): Amount =
        Amount(
            minOf(cpuMillis, limit.cpuMillis),
            minOf(memoryMegabytes, limit.memoryMegabytes),
            minOf(gpus, limit.gpus),
        )

    /** Whether all of this fits into [capacity]. */
    public fun fitsInto(capacity: Amount): Boolean =
        cpuMillis <= capacity.cpuMillis && memoryMegabytes <= capacity.memoryMegabytes && gpus <= capacity.gpus
}
