package org.verbenagauge.entry.load

/**
 * Speed of one run, from a listing or from its end.
 *
 * @property runId run id; a run counts as one piece of evidence, however often it is observed.
 * @property queueName queue of the task.
 * @property ratio duration at the recent speed, as a multiple of the expected duration.
 * @property slowdown highest speed of the run divided by its recent speed; at least 1.
 */
internal data class RunStats(
    val runId: Long,
    val queueName: String,
    val ratio: Double,
    val slowdown: Double = 1.0,
)

/**
 * Estimated health of one machine.
 *
 * @property factor expected duration of runs as a multiple of that on a healthy machine; at least 1.
 * @property certainty probability, from 0 to 1, that the machine is slow, fails runs or does not stay up.
 * @property reason main evidence for that; empty if there is none.
 */
internal data class MachineStanding(
    val factor: Double = 1.0,
    val certainty: Double = 0.0,
    val reason: String = "",
)

/**
 * Distinguishes slow and failing machines from long tasks and from tasks that fail on every machine. Has no side
 * effects outside its own state.
 */
internal interface MachineHealthEstimator {
    /** Records [observations] of all current runs on [machineId] whose speed is known. */
    fun observeRunning(
        machineId: String,
        observations: List<RunStats>,
        now: Long,
    )

    /** Records that the run of [observation] completed on [machineId]. */
    fun recordCompletion(
        machineId: String,
        observation: RunStats,
        now: Long,
    )

    /** Records that a run of a task of [queueName] failed on [machineId]. */
    fun recordFailure(
        machineId: String,
        queueName: String,
        now: Long,
    )

    /** Records that [machineId] stopped responding or restarted. */
    fun recordMachineLoss(
        machineId: String,
        now: Long,
    )

    /** Returns the estimated health of [machineId] at [now]. */
    fun standing(
        machineId: String,
        now: Long,
    ): MachineStanding
}
