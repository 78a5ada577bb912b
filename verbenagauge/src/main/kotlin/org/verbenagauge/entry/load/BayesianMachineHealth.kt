package org.verbenagauge.entry.load

import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.pow

/**
 * Compares, for each machine, the likelihood of its concurrent runs under several hypotheses: that the machine is
 * healthy, slow by one of several factors, or failing runs. Each run is one piece of evidence, judged against the
 * distribution of run times of its queue: one long task alone is weak evidence, several late runs at once are strong
 * evidence, and runs on time beside a long task are evidence of a healthy machine. Guards against machines that become
 * slow by a factor of five to seven for some seconds, where three tasks in a hundred take seven times as long anyway,
 * against machines that fail some of their runs while they report to be healthy, and against flapping machines.
 *
 * @param runTimes distributions of run times by queue.
 */
internal class BayesianMachineHealth(
    private val runTimes: RunTimes,
) : MachineHealthEstimator {
    private class MachineEvidence {
        // Log likelihood ratio of each hypothesis to a healthy machine, from completed and failed runs.
        val scores = DoubleArray(HYPOTHESES)
        var scoredAtMillis = 0L

        // The same for current runs, by run id; a later observation of a run replaces the earlier one.
        var runningEvidence: Map<Long, DoubleArray> = emptyMap()
        var losses = 0.0
        var lostAtMillis = 0L
    }

    private val evidenceByMachine = HashMap<String, MachineEvidence>()
    private val failureShares = FailureShares()
    private val peersByQueue = HashMap<String, PeerRatios>()

    override fun observeRunning(
        machineId: String,
        observations: List<RunStats>,
        now: Long,
    ) {
        if (observations.isEmpty() && machineId !in evidenceByMachine) return
        val machine = machine(machineId)
        observations.filter { it.runId !in machine.runningEvidence }.forEach { peers(it.queueName).add(it.ratio) }
        machine.runningEvidence = observations.associate { it.runId to evidence(it) }
    }

    override fun recordCompletion(
        machineId: String,
        observation: RunStats,
        now: Long,
    ) {
        val machine = machine(machineId)
        if (observation.runId !in machine.runningEvidence) peers(observation.queueName).add(observation.ratio)
        machine.runningEvidence -= observation.runId
        val evidence = evidence(observation)
        evidence[FAILING] += ln((1 - FAILING_SHARE) / (1 - failureShares.of(observation.queueName)))
        failureShares.add(observation.queueName, hasFailed = false)
        score(machine, evidence, now)
    }

    override fun recordFailure(
        machineId: String,
        queueName: String,
        now: Long,
    ) {
        val evidence = DoubleArray(HYPOTHESES)
        evidence[FAILING] = ln(FAILING_SHARE / failureShares.of(queueName))
        failureShares.add(queueName, hasFailed = true)
        score(machine(machineId), evidence, now)
    }

    override fun recordMachineLoss(
        machineId: String,
        now: Long,
    ) {
        val machine = machine(machineId)
        machine.runningEvidence = emptyMap()
        machine.losses = losses(machine, now) + 1
        machine.lostAtMillis = now
    }

    override fun standing(
        machineId: String,
        now: Long,
    ): MachineStanding {
        val machine = evidenceByMachine[machineId] ?: return MachineStanding()
        if (isFlapping(machine, now)) return MachineStanding(certainty = 1.0, reason = "the machine is flapping")
        val decay = decay(machine, now)
        var total = 1.0
        var slow = 0.0
        var factor = 1.0
        for (hypothesis in 0 until HYPOTHESES) {
            var score = machine.scores[hypothesis] * decay
            for (evidence in machine.runningEvidence.values) score += evidence[hypothesis]
            val odds = PRIOR_ODDS[hypothesis] * exp(score.coerceIn(-MAX_TOTAL_SCORE, MAX_TOTAL_SCORE))
            total += odds
            if (hypothesis != FAILING) slow += odds
            factor += odds * (if (hypothesis == FAILING) 1.0 else SLOW_FACTORS[hypothesis])
        }
        val failing = total - 1 - slow
        val reason =
            if (failing > slow) {
                "runs fail on the machine"
            } else {
                "${machine.runningEvidence.size} concurrent runs and late completions"
            }
        return MachineStanding(factor / total, 1 - 1 / total, reason)
    }

    private fun machine(machineId: String): MachineEvidence =
        evidenceByMachine.getOrPut(machineId) { MachineEvidence() }

    private fun peers(queueName: String): PeerRatios = peersByQueue.getOrPut(queueName) { PeerRatios() }

    private fun evidence(observation: RunStats): DoubleArray {
        val peersMedian = peers(observation.queueName).median ?: return DoubleArray(HYPOTHESES)
        val ratio = observation.ratio * runTimes.medianRatio(observation.queueName) / peersMedian
        val healthyLikelihood = runTimes.likelihood(observation.queueName, ratio)
        return DoubleArray(HYPOTHESES) {
            if (it == FAILING) return@DoubleArray 0.0
            // Subtracts the log factor because long tasks are over-represented among the runs at any one moment, in
            // proportion to their duration.
            val ratioEvidence =
                ln(runTimes.likelihood(observation.queueName, ratio / SLOW_FACTORS[it]) / healthyLikelihood) -
                    ln(SLOW_FACTORS[it])
            ratioEvidence + maxOf(0.0, slowdownEvidence(observation.slowdown, SLOW_FACTORS[it]))
        }
    }

    // A long task keeps its speed, while the current runs of a machine that becomes slow all lose speed.
    private fun slowdownEvidence(
        slowdown: Double,
        factor: Double,
    ): Double = ln((similarity(slowdown / factor) + OTHER_CAUSE_SHARE) / (similarity(slowdown) + OTHER_CAUSE_SHARE))

    private fun similarity(ratio: Double): Double = exp(-(ln(ratio) / SLOWDOWN_LOG_DEVIATION).pow(2) / 2)

    private fun score(
        machine: MachineEvidence,
        evidence: DoubleArray,
        now: Long,
    ) {
        val decay = decay(machine, now)
        for (hypothesis in evidence.indices) {
            machine.scores[hypothesis] = machine.scores[hypothesis] * decay + evidence[hypothesis]
        }
        // Limits the scores by a common offset, which keeps their differences.
        val excess = maxOf(0.0, machine.scores.max() - MAX_SUSPECT_SCORE)
        for (hypothesis in evidence.indices) {
            machine.scores[hypothesis] = maxOf(-MAX_HEALTHY_SCORE, machine.scores[hypothesis] - excess)
        }
        machine.scoredAtMillis = now
    }

    private fun decay(
        machine: MachineEvidence,
        now: Long,
    ): Double = 0.5.pow((now - machine.scoredAtMillis) / HALF_LIFE_MILLIS)

    private fun losses(
        machine: MachineEvidence,
        now: Long,
    ): Double = machine.losses * 0.5.pow((now - machine.lostAtMillis) / LOSS_HALF_LIFE_MILLIS)

    private fun isFlapping(
        machine: MachineEvidence,
        now: Long,
    ): Boolean =
        machine.losses >= FLAPPING_LOSSES &&
            now - machine.lostAtMillis < minOf(MAX_STABLE_MILLIS, machine.losses * STABLE_MILLIS_PER_LOSS)

    private companion object {
        // Faulty machines are slower by a factor of five to seven, cold or crowded ones by less. The last hypothesis is
        // that runs fail.
        val SLOW_FACTORS = doubleArrayOf(2.0, 3.5, 6.0)
        const val FAILING = 3
        const val HYPOTHESES = 4

        // A tenth of the machines are slow for some seconds of each minute, one in fifty at a time. Fewer fail runs.
        val PRIOR_ODDS = doubleArrayOf(0.005, 0.005, 0.01, 0.01)

        // Share of runs that fail on a failing machine.
        const val FAILING_SHARE = 0.4

        // Progress is reported in whole percent over a tenth of a run. Other causes slow down one run in fifty.
        const val SLOWDOWN_LOG_DEVIATION = 0.35
        const val OTHER_CAUSE_SHARE = 0.02

        // Half the time for which machines are slow.
        const val HALF_LIFE_MILLIS = 4_000.0

        // Limits of the log odds: a machine that was healthy for long is suspect once three runs are late; one that was
        // certainly slow remains suspect for about as long as it is slow.
        const val MAX_HEALTHY_SCORE = 4.0
        const val MAX_SUSPECT_SCORE = 10.0
        const val MAX_TOTAL_SCORE = 50.0

        // Two losses within some seconds count as flapping. With each loss, the machine has to stay up longer.
        const val FLAPPING_LOSSES = 1.7
        const val LOSS_HALF_LIFE_MILLIS = 15_000.0
        const val STABLE_MILLIS_PER_LOSS = 1_500.0
        const val MAX_STABLE_MILLIS = 8_000.0
    }
}

/** Share of failed runs by queue, so that jobs that can never succeed do not count as evidence against machines. */
private class FailureShares {
    private val shareByQueue = HashMap<String, Double>()

    fun of(queueName: String): Double = (shareByQueue[queueName] ?: 0.0).coerceIn(MIN_SHARE, MAX_SHARE)

    fun add(
        queueName: String,
        hasFailed: Boolean,
    ) {
        val share = shareByQueue[queueName] ?: MIN_SHARE
        shareByQueue[queueName] = share + ((if (hasFailed) 1.0 else 0.0) - share) * LEARNING_RATE
    }

    private companion object {
        // About one run in five hundred fails by the fault of its task.
        const val MIN_SHARE = 0.002
        const val MAX_SHARE = 0.35
        const val LEARNING_RATE = 0.005
    }
}
