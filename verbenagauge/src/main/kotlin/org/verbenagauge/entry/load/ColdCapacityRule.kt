package org.verbenagauge.entry.load

/** Decides how much of its capacity a cold worker may use. Has no side effects. */
public interface ColdCapacityRule {
    /**
     * Returns the share of its CPU capacity, from 0 to 1, that a worker may use at [now]. An idle worker takes one task
     * regardless of the share. [warmShare] is the share of the workers of its pool that are warm and accept work.
     */
    public fun share(
        warmUp: WarmUpState,
        warmShare: Double,
        now: Long,
    ): Double
}

/** Grants the full capacity immediately; the baseline for [WarmUpCapacity]. */
public class FullCapacity : ColdCapacityRule {
    override fun share(
        warmUp: WarmUpState,
        warmShare: Double,
        now: Long,
    ): Double = 1.0
}

/**
 * Increases the share as the worker warms up. Guards against a backlog that starts all at once on the cold workers of a
 * zone that has just returned: tasks take several times as long there, while warm workers have free capacity a moment
 * later.
 */
public class WarmUpCapacity : ColdCapacityRule {
    override fun share(
        warmUp: WarmUpState,
        warmShare: Double,
        now: Long,
    ): Double = if (warmShare < MIN_WARM_SHARE) 1.0 else warmUp.warmFraction(now)

    private companion object {
        // Above this share, warm workers absorb the withheld tasks within the duration of one task. Objectives are
        // twice the work, which leaves time to wait for one task, but not for more.
        const val MIN_WARM_SHARE = 0.5
    }
}
