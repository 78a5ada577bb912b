package org.verbenagauge.entry.load

import kotlinx.serialization.Serializable

/**
 * Load policies of a deployment. All are disabled by default.
 *
 * @property accountShares whether jobs beyond the weight of their account run after the jobs of accounts within
 *   theirs.
 * @property coldWorkers whether cold workers get a share of their capacity that grows as they warm up.
 * @property evenLending whether machines are divided among pools that request them at the same time, so that all
 *   pools lack the same share.
 * @property runTimeSpreads whether run times are learned as distributions, with weights for callers' estimates.
 * @property machineSpeeds whether slow machines are distinguished from long tasks by all concurrent runs on a
 *   machine.
 * @property admission whether a job is refused immediately if it would start too late to be useful to its caller.
 * @property stragglerRescue whether speculative copies follow the distribution of run times, and runs that write
 *   checkpoints move away from machines known to be slow.
 * @property hopelessWork whether a job that fails on otherwise working workers retries only one task at a time.
 */
@Serializable
public data class LoadSettings(
    val accountShares: Boolean = false,
    val coldWorkers: Boolean = false,
    val evenLending: Boolean = false,
    val runTimeSpreads: Boolean = false,
    val machineSpeeds: Boolean = false,
    val admission: Boolean = false,
    val stragglerRescue: Boolean = false,
    val hopelessWork: Boolean = false,
)
