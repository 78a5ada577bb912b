package org.verbenagauge.entry.fleet

/** Baseline: one instance of the whole wave is away at a time. */
public object OneAtATime : WavePlanner {
    override fun plan(input: WavePlanInput): WavePlan {
        val draft = PlanDraft(input)
        if (input.away.isEmpty()) draft.open.sortedBy { it.instanceId }.firstOrNull(draft::tryTake)
        return draft.plan()
    }
}
