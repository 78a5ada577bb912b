package org.verbenagauge.entry.jobs.model

import kotlinx.serialization.Serializable

/**
 * Amount of resources that a task needs, or that a worker or an account has.
 *
 * @property cpuMillis processor time in thousandths of a core.
 * @property gpus number of accelerators.
 */
@Serializable
public data class Amount(
    val cpuMillis: Long = 0,
    val memoryMegabytes: Long = 0,
    val gpus: Long = 0,
) {
    /** Returns the sum of this and [other]. */
    public operator fun plus(other: Amount): Amount =
        Amount(cpuMillis + other.cpuMillis, memoryMegabytes + other.memoryMegabytes, gpus + other.gpus)

    /** Returns this less [other]; parts may become negative. */
    public operator fun minus(other: Amount): Amount =
        Amount(cpuMillis - other.cpuMillis, memoryMegabytes - other.memoryMegabytes, gpus - other.gpus)

    /** Returns this with each part capped at that of [limit]. */
    public fun atMost(limit: Amount): Amount =
        Amount(
            minOf(cpuMillis, limit.cpuMillis),
            minOf(memoryMegabytes, limit.memoryMegabytes),
            minOf(gpus, limit.gpus),
        )

    /** Returns whether no part of this exceeds that of [capacity]. */
    public fun fitsInto(capacity: Amount): Boolean =
        cpuMillis <= capacity.cpuMillis && memoryMegabytes <= capacity.memoryMegabytes && gpus <= capacity.gpus
}
