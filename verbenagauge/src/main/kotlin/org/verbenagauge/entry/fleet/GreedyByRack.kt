package org.verbenagauge.entry.fleet

/** Baseline: finishes rack after rack, and takes as many instances of the rack out as the budgets allow. */
public object GreedyByRack : WavePlanner {
    override fun plan(input: WavePlanInput): WavePlan {
        val draft = PlanDraft(input)
        val rackId = (draft.open + input.away).minOfOrNull { it.place.rackId }
        draft.open
            .filter { it.place.rackId == rackId }
            .sortedBy { it.instanceId }
            .forEach { draft.tryTake(it) }
        return draft.plan()
    }
}
