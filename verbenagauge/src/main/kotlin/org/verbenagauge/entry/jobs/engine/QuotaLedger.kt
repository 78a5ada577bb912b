package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.jobs.model.Amount

/** Tracks the capacity that the runs of each team use, including runs that may still exist on their workers. */
internal class QuotaLedger {
    private val usedByTeam = HashMap<String, Amount>()

    /** Returns the capacity that runs of [team] use. */
    fun used(team: String): Amount = usedByTeam[team] ?: NOTHING

    fun add(run: Run) {
        usedByTeam[run.teamName] = used(run.teamName) + run.amount
    }

    fun remove(run: Run) {
        usedByTeam[run.teamName] = used(run.teamName) - run.amount
    }

    /** Returns whether [team] may start [amount] more under [limit]; a component of 0 is unlimited. */
    fun allows(
        team: String,
        amount: Amount,
        limit: Amount?,
    ): Boolean {
        if (limit == null || team.isEmpty()) return true
        val after = used(team) + amount
        return isWithin(after.cpuMillis, limit.cpuMillis) &&
            isWithin(after.memoryMegabytes, limit.memoryMegabytes) &&
            isWithin(after.gpus, limit.gpus)
    }

    /** Returns what [team] may start in addition to its runs under [limit], or null without a limit. */
    fun remaining(
        team: String,
        limit: Amount?,
    ): Amount? {
        if (limit == null || team.isEmpty()) return null
        val used = used(team)
        return Amount(
            remaining(used.cpuMillis, limit.cpuMillis),
            remaining(used.memoryMegabytes, limit.memoryMegabytes),
            remaining(used.gpus, limit.gpus),
        )
    }

    private fun remaining(
        used: Long,
        limit: Long,
    ): Long = if (limit == 0L) Long.MAX_VALUE else maxOf(0, limit - used)

    private fun isWithin(
        value: Long,
        limit: Long,
    ) = limit == 0L || value <= limit

    private companion object {
        val NOTHING = Amount()
    }
}
