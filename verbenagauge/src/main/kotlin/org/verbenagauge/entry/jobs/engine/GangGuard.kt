package org.verbenagauge.entry.jobs.engine

/** Stops what is left of a gang of which a member is gone, so that it starts again as a whole. A pure decision. */
internal class GangGuard(
    private val state: EngineState,
    private val runs: RunTracker,
) {
    /** Looks at all gangs whose [earlierRuns] are known: of others, members may not have been heard yet. */
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
