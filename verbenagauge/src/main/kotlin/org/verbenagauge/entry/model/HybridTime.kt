package org.verbenagauge.entry.model

import kotlinx.serialization.Serializable

/**
 * Time of a hybrid logical clock (Kulkarni, Demirbas and others, "Logical Physical Clocks", 2014): close to the wall
 * clock, and later than everything that the process had seen when it was drawn.
 *
 * @property wallMillis largest wall clock seen, in milliseconds since 1970-01-01T00:00:00Z.
 * @property counter orders events of the same [wallMillis].
 */
@Serializable
public data class HybridTime(
    val wallMillis: Long,
    val counter: Int,
) : Comparable<HybridTime> {
    override fun compareTo(other: HybridTime): Int = compareValuesBy(this, other, { it.wallMillis }, { it.counter })
}

/** Returns the time of the next event of a process whose last event was at this time. */
internal fun HybridTime.next(wallMillis: Long): HybridTime =
    if (wallMillis > this.wallMillis) HybridTime(wallMillis, 0) else copy(counter = counter + 1)

/**
 * Returns the time after hearing of [remote]. A remote time more than [maxAheadMillis] ahead of the own wall clock is
 * not taken over, so that one wrong clock does not move all others.
 */
internal fun HybridTime.heard(
    remote: HybridTime,
    wallMillis: Long,
    maxAheadMillis: Long,
): HybridTime = if (remote.wallMillis - wallMillis > maxAheadMillis) this else maxOf(this, remote)
