package org.verbenagauge.entry.rights

import org.verbenagauge.entry.model.PeerId
import org.verbenagauge.entry.model.RightsGroup
import org.verbenagauge.entry.peers.Give
import org.verbenagauge.entry.peers.GroupOrder
import org.verbenagauge.entry.peers.GroupReport
import org.verbenagauge.entry.peers.RightsMessage
import org.verbenagauge.entry.peers.TeamDemand
import org.verbenagauge.entry.peers.TeamStarted

private const val REPORT_LIFE_MILLIS = 30_000L
private const val ELSEWHERE_MILLIS = 500L
private const val IDLE_MOVE_MIN = 2
private const val PERMILLE = 1_000

/**
 * Home of groups: collects what the entries hold and need, and says which rights should move. It holds no
 * rights by this role; a wrong or late order costs nearness to demand only.
 */
internal class RightsHome(
    private val timing: RightsTiming,
) {
    private val groups = HashMap<RightsGroup, HomeGroup>()

    /** Takes up the report of [from]; an older one than the last is ignored. */
    fun report(
        from: PeerId,
        report: RightsMessage.DemandReport,
        nowMillis: Long,
    ) {
        report.groups.forEach { groupReport ->
            val group = groups.getOrPut(groupReport.group) { HomeGroup() }
            val last = group.reports[from]
            if (last == null || last.sequence < report.sequence) {
                group.reports[from] = EntryReport(report.sequence, report.stopping, groupReport, nowMillis)
                group.changed = true
            }
        }
    }

    /**
     * Evaluates groups with new reports and returns the orders for each entry. Of the [members] only those in
     * [reachable] get more rights; one that has not reported holds and needs nothing.
     */
    fun orders(
        members: Set<PeerId>,
        reachable: Set<PeerId>,
        weightByTeam: Map<String, Int>,
        nowMillis: Long,
    ): Map<PeerId, List<GroupOrder>> {
        val orders = HashMap<PeerId, MutableList<GroupOrder>>()
        groups.forEach { (group, state) ->
            if (!state.changed || nowMillis - state.evaluatedAtMillis < timing.evaluateMillis) return@forEach
            state.changed = false
            state.evaluatedAtMillis = nowMillis
            state.reports.values.removeIf { nowMillis - it.atMillis > REPORT_LIFE_MILLIS }
            state.reports.keys.retainAll(members)
            state.evaluate(group, members.filter { it in reachable }, weightByTeam, nowMillis).forEach { (id, order) ->
                orders.getOrPut(id) { mutableListOf() } += order
            }
        }
        groups.values.removeIf { it.reports.isEmpty() }
        return orders
    }

    private class EntryReport(
        val sequence: Long,
        val stopping: Boolean,
        val group: GroupReport,
        val atMillis: Long,
    )

    private class HomeGroup {
        val reports = HashMap<PeerId, EntryReport>()
        var changed = false
        var evaluatedAtMillis = Long.MIN_VALUE / 2
        private var elsewhereAtMillis = Long.MIN_VALUE / 2

        fun evaluate(
            group: RightsGroup,
            open: List<PeerId>,
            weightByTeam: Map<String, Int>,
            nowMillis: Long,
        ): Map<PeerId, GroupOrder> {
            val entries =
                reports.map { (id, it) ->
                    EntryDemand(id, it.group.held, it.stopping || id !in open, it.group.teams)
                } + open.filter { it !in reports }.map { EntryDemand(it, held = 0, stopping = false, emptyList()) }
            val targets = rightsTargets(entries, weightByTeam)
            val gives = matchGives(entries, targets)
            val tellElsewhere = group is RightsGroup.Pool && nowMillis - elsewhereAtMillis >= ELSEWHERE_MILLIS
            if (tellElsewhere) elsewhereAtMillis = nowMillis
            val sums = teamSums()
            return reports
                .mapValues { (id, report) ->
                    GroupOrder(
                        group = group,
                        basedOn = report.sequence,
                        target = targets[id] ?: 0,
                        gives = gives[id].orEmpty(),
                        elsewhere = if (tellElsewhere) elsewhere(report, sums) else emptyList(),
                    )
                }.filterValues { it.gives.isNotEmpty() || it.elsewhere.isNotEmpty() }
        }

        private fun teamSums(): Map<String, TeamDemand> {
            val sums = HashMap<String, TeamDemand>()
            reports.values.flatMap { it.group.teams }.forEach { sums.merge(it.teamId, it, ::sum) }
            return sums
        }

        private fun elsewhere(
            report: EntryReport,
            sums: Map<String, TeamDemand>,
        ) = report.group.teams
            .filter { it.waiting > 0 || it.running > 0 }
            .map { team ->
                val sum = sums.getValue(team.teamId)
                val permille = PERMILLE * (team.waiting + team.running) / (sum.waiting + sum.running)
                TeamStarted(team.teamId, sum.started - team.started, permille)
            }
    }
}

private fun sum(
    one: TeamDemand,
    other: TeamDemand,
) = TeamDemand(one.teamId, one.waiting + other.waiting, one.running + other.running, one.started + other.started)

/** Pairs entries above their target with entries below; without waiting requests only for a clear imbalance. */
private fun matchGives(
    entries: List<EntryDemand>,
    targets: Map<PeerId, Int>,
): Map<PeerId, List<Give>> {
    val urgent = entries.any { it.waiting > 0 }
    val order = compareBy<EntryDemand>({ it.id.entryId }, { it.id.incarnation })
    val needs =
        entries
            .sortedWith(order)
            .associate { it.id to (targets[it.id] ?: 0) - it.held }
            .filter { (id, need) -> need > 0 && (urgent || isClear(need, targets.getValue(id))) }
            .toMutableMap()
    val gives = HashMap<PeerId, MutableList<Give>>()
    entries.sortedWith(order).forEach { entry ->
        var spare = entry.held - (targets[entry.id] ?: 0)
        for ((id, need) in needs.toList()) {
            val count = minOf(spare, need)
            if (count <= 0) continue
            gives.getOrPut(entry.id) { mutableListOf() } += Give(id, count)
            needs[id] = need - count
            spare -= count
        }
    }
    return gives
}

private fun isClear(
    need: Int,
    target: Int,
): Boolean = need >= maxOf(IDLE_MOVE_MIN, target / 2) || need == target
