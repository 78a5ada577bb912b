package org.verbenagauge.entry.rights

import org.verbenagauge.entry.model.RightsGroup
import org.verbenagauge.entry.peers.GroupReport
import org.verbenagauge.entry.peers.TeamDemand
import kotlin.math.abs

private const val CHANGE_PART = 8
private const val STARTED_REFRESH_MILLIS = 1_000L
private const val BUSY_REFRESH_MILLIS = 2_000L
private const val IDLE_REFRESH_MILLIS = 10_000L

/** Team that the only row of a report on a team's own rights stands for. */
private const val WHOLE_GROUP = ""

/** Requests that wait, run and have started in this entry, and what its homes have been told of them. */
internal class LocalDemand(
    private val timing: RightsTiming,
) {
    private val pools = HashMap<String, HashMap<String, TeamCounts>>()
    private val told = HashMap<RightsGroup, Told>()

    /** Demand as the next incarnation in this process starts with it. */
    fun renewed(): LocalDemand {
        val next = LocalDemand(timing)
        pools.forEach { (poolId, teams) ->
            teams.forEach { (teamId, counts) ->
                next.counts(poolId, teamId).waiting = counts.waiting
                next.counts(poolId, teamId).running = counts.running
            }
        }
        return next
    }

    fun waiting(
        poolId: String,
        teamId: String,
        count: Int,
    ) {
        counts(poolId, teamId).waiting = count
    }

    fun started(
        poolId: String,
        teamId: String,
    ) {
        val counts = counts(poolId, teamId)
        counts.running++
        counts.started++
    }

    fun ended(
        poolId: String,
        teamId: String,
    ) {
        counts(poolId, teamId).running--
    }

    /** Reports on the groups of [heldByGroup] whose homes should be told now. */
    fun dueReports(
        heldByGroup: Map<RightsGroup, Int>,
        nowMillis: Long,
    ): List<GroupReport> {
        val teamWaiting = waitingByTeam()
        return (heldByGroup.keys + told.keys + activeGroups(teamWaiting))
            .map { report(it, heldByGroup[it] ?: 0, teamWaiting) }
            .filter { isDue(it, nowMillis) }
            .onEach { told[it.group] = Told(it, nowMillis) }
    }

    /** Forgets what was told of [group], so that its home is told anew. */
    fun forget(group: RightsGroup) {
        told.remove(group)
    }

    private fun isDue(
        report: GroupReport,
        nowMillis: Long,
    ): Boolean {
        val last = told[report.group] ?: return report.held > 0 || report.teams.isNotEmpty()
        val ageMillis = nowMillis - last.atMillis
        val waitsNew = report.teams.any { it.waiting > 0 } && last.report.teams.none { it.waiting > 0 }
        return when {
            waitsNew -> true
            ageMillis < timing.reportMillis -> false
            report.held != last.report.held || differs(report.teams, last.report.teams) -> true
            report.teams.sumOf { it.started } != last.report.teams.sumOf { it.started } ->
                ageMillis >=
                    STARTED_REFRESH_MILLIS
            report.teams.any { it.waiting > 0 } -> ageMillis >= BUSY_REFRESH_MILLIS
            else -> ageMillis >= IDLE_REFRESH_MILLIS
        }
    }

    private fun differs(
        now: List<TeamDemand>,
        before: List<TeamDemand>,
    ): Boolean {
        val beforeByTeam = before.associateBy { it.teamId }
        if (now.size != before.size) return true
        return now.any { team ->
            val last = beforeByTeam[team.teamId] ?: return true
            val demand = team.waiting + team.running
            val lastDemand = last.waiting + last.running
            abs(demand - lastDemand) > lastDemand / CHANGE_PART || (team.waiting > 0) != (last.waiting > 0)
        }
    }

    private fun report(
        group: RightsGroup,
        held: Int,
        teamWaiting: Map<String, TeamCounts>,
    ): GroupReport =
        when (group) {
            is RightsGroup.Team ->
                GroupReport(group, held, listOfNotNull(teamWaiting[group.teamId]?.let { it.demand(WHOLE_GROUP, 0) }))
            is RightsGroup.Pool ->
                GroupReport(group, held, pools[group.poolId].orEmpty().map { (id, it) -> it.demand(id, it.started) })
        }

    private fun waitingByTeam(): Map<String, TeamCounts> {
        val byTeam = HashMap<String, TeamCounts>()
        pools.values.forEach { teams ->
            teams.forEach { (teamId, counts) ->
                val sum = byTeam.getOrPut(teamId) { TeamCounts() }
                sum.waiting += counts.waiting
                sum.running += counts.running
            }
        }
        return byTeam
    }

    private fun activeGroups(teamWaiting: Map<String, TeamCounts>): List<RightsGroup> =
        teamWaiting.filterValues { it.isActive() }.keys.map { RightsGroup.Team(it) } +
            pools.filterValues { teams -> teams.values.any { it.isActive() } }.keys.map { RightsGroup.Pool(it) }

    private fun counts(
        poolId: String,
        teamId: String,
    ) = pools.getOrPut(poolId) { HashMap() }.getOrPut(teamId) { TeamCounts() }

    private class Told(
        val report: GroupReport,
        val atMillis: Long,
    )

    private class TeamCounts {
        var waiting = 0
        var running = 0
        var started = 0L

        fun isActive() = waiting > 0 || running > 0

        fun demand(
            teamId: String,
            started: Long,
        ) = TeamDemand(teamId, waiting, running, started)
    }
}
