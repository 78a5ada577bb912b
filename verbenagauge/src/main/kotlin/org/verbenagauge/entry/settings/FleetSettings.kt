package org.verbenagauge.entry.settings

import kotlinx.serialization.Serializable

/**
 * Settings of the fleet manager of one entry instance.
 *
 * @property tickMillis interval between decisions.
 * @property drainMarginMillis time added to the longest run of a pool before an instance counts as empty.
 * @property healthyMillis time that an instance must be healthy before it counts as back.
 * @property maxListAgeMillis age of the platform's list beyond which nothing is taken out or put back.
 * @property takeoverMillis time that an action is due before the next entry in rank does it.
 * @property urgentMemoryMillis time that a pool counts as full after it was full with urgent work.
 * @property urgentPatienceMillis time that a pool full with urgent work is left alone when no other order exists.
 * @property resumeMillis time that the evidence against a wave must be gone before it goes on.
 */
@Serializable
public data class FleetSettings(
    val tickMillis: Long = 1_000,
    val drainMarginMillis: Long = 2_000,
    val healthyMillis: Long = 10_000,
    val maxListAgeMillis: Long = 15_000,
    val takeoverMillis: Long = 15_000,
    val urgentMemoryMillis: Long = 30_000,
    val urgentPatienceMillis: Long = 600_000,
    val resumeMillis: Long = 60_000,
)
