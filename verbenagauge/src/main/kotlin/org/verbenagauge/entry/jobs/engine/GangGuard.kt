package org.verbenagauge.entry.jobs.engine

/** Stops the remaining runs of a gang that has lost a member, so that the gang restarts as a whole. Performs no I/O. */
internal class GangGuard(
    private val state: EngineState,
    private val runs: RunTracker,
) {
    /**
     * Checks all gangs whose [earlierRuns] are known; members of other gangs may run on workers that have not been
     * listed yet.
     */
    fun check(
        earlierRuns: EarlierRuns,
        now: Long,
    ) {
        state.jobs.values.filter { it.hasGang && earlierRuns.areKnown(it.queue, now) }.forEach { job ->
            job.open.values
                .flatMap { it.steps }
                .filter { it.specification.isGang && !it.isDone && it.isBroken() }
                .forEach { step -> stopRest(step, now) }
        }
    }

    private fun StepEntry.isBroken(): Boolean {
        val runIds = tasks.mapNotNullTo(HashSet()) { it.run?.runId }
        return runIds.size > 1 || runIds.isNotEmpty() && tasks.any { it.run == null }
    }

    private fun stopRest(
        step: StepEntry,
        now: Long,
    ) {
        step.tasks
            .mapNotNull { it.run }
            .filter { it.phase != RunPhase.STOPPING }
            .forEach { runs.stop(it, now) }
    }
}
