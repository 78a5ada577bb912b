package org.verbenagauge.entry.load

/**
 * Resources that one account uses, or that all workers have.
 *
 * @property cpuMillis CPU in thousandths of a core.
 */
public data class ResourceUsage(
    val cpuMillis: Long,
    val memoryMegabytes: Long,
    val gpus: Long,
) {
    /**
     * Returns the largest share, from 0 to 1, of any resource of [total], as in dominant resource fairness (Ghodsi and
     * others, 2011). A resource of which [total] has none does not count.
     */
    public fun dominantShare(total: ResourceUsage): Double =
        maxOf(
            fraction(cpuMillis, total.cpuMillis),
            fraction(memoryMegabytes, total.memoryMegabytes),
            fraction(gpus, total.gpus),
        )

    private fun fraction(
        used: Long,
        total: Long,
    ) = if (total <= 0) 0.0 else used.toDouble() / total
}
