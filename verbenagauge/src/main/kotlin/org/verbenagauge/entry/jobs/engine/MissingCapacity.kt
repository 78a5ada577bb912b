package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.jobs.model.Amount

/**
 * Capacity that waiting tasks need.
 *
 * @property workers number of workers that the pool needs for tasks that must not share one; 0 if any number is
 *   sufficient.
 */
internal data class MissingCapacity(
    val amount: Amount = Amount(),
    val workers: Int = 0,
) {
    /** Adds the amounts and takes the larger number of workers, since tasks of different steps may share workers. */
    operator fun plus(other: MissingCapacity) = MissingCapacity(amount + other.amount, maxOf(workers, other.workers))
}
