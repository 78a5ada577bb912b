package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.jobs.model.Amount

/**
 * Room that tasks wait for.
 *
 * @property amount what they take.
 * @property workers workers that the pool must have for tasks that must not share one; 0 when any number will do.
 */
internal data class MissingCapacity(
    val amount: Amount = Amount(),
    val workers: Int = 0,
) {
    /** Adds [other]; tasks of different steps may share workers. */
    operator fun plus(other: MissingCapacity) = MissingCapacity(amount + other.amount, maxOf(workers, other.workers))
}
