package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.jobs.ports.EndKind
import org.verbenagauge.entry.jobs.ports.StartOrder

/** Simulated gangs of the fuzz tests: members work only once all of them have started, and end together. */
internal class VirtualGangs(
    private val oracle: RunOracle,
) {
    private data class GangRun(
        val jobId: String,
        val step: Int,
        val runId: Long,
    )

    private class Gang(
        val durationMillis: Long,
        val fails: Boolean,
    ) {
        val members = HashSet<Int>()
        var completeSinceMillis: Long? = null
        var end: EndKind? = null
    }

    private val gangs = HashMap<GangRun, Gang>()

    private fun key(order: StartOrder) = GangRun(order.taskId.jobId, order.taskId.step, order.runId)

    /** Records the start of a member. */
    fun memberStarted(
        order: StartOrder,
        durationMillis: Long,
        fails: Boolean,
        now: Long,
    ) {
        val gang = gangs.getOrPut(key(order)) { Gang(durationMillis, fails) }
        gang.members += order.taskId.index
        val isComplete = gang.members.size == oracle.stepOf(order.taskId).taskCount
        if (isComplete && gang.end == null) gang.completeSinceMillis = now
    }

    /** Records that a member has ended with [kind]; null after a crash. */
    fun memberEnded(
        order: StartOrder,
        kind: EndKind?,
    ) {
        val gang = gangs.getValue(key(order))
        gang.members -= order.taskId.index
        if (gang.end == null && kind != EndKind.DONE) gang.end = EndKind.BROKEN
    }

    /** Returns how the member that started with [order] at [sinceMillis] ends now, or null if it continues. */
    fun end(
        order: StartOrder,
        sinceMillis: Long,
        now: Long,
    ): EndKind? {
        val gang = gangs.getValue(key(order))
        gang.end?.let { return it }
        val completeSinceMillis =
            gang.completeSinceMillis ?: return EndKind.ALONE.takeIf { now - sinceMillis > GANG_TIMEOUT_MILLIS }
        if (now - completeSinceMillis < gang.durationMillis) return null
        if (gang.fails) return EndKind.FAILED
        gang.end = EndKind.DONE
        return EndKind.DONE
    }

    private companion object {
        const val GANG_TIMEOUT_MILLIS = 3_000L
    }
}
