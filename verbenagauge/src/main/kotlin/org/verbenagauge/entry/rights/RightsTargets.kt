package org.verbenagauge.entry.rights

import org.verbenagauge.entry.model.PeerId
import org.verbenagauge.entry.peers.TeamDemand
import kotlin.math.floor

private const val SHARE_EPSILON = 1e-9

/**
 * What one entry holds and needs of a group.
 *
 * @property held rights held.
 * @property stopping whether the entry must not get more rights.
 * @property teams demand of the teams.
 */
internal data class EntryDemand(
    val id: PeerId,
    val held: Int,
    val stopping: Boolean,
    val teams: List<TeamDemand>,
) {
    val waiting: Int get() = teams.sumOf { it.waiting }
}

/**
 * Returns how many of the rights that [entries] hold together each of them should hold.
 *
 * The rights are shared over the teams of the whole fleet by weighted max-min fairness, bounded by the
 * demand of each team; the part of a team is split over entries in proportion to its demand there. What
 * nobody needs is spread evenly.
 */
internal fun rightsTargets(
    entries: List<EntryDemand>,
    weightByTeam: Map<String, Int>,
): Map<PeerId, Int> {
    val total = entries.sumOf { it.held }
    val open = entries.filter { !it.stopping }
    if (open.isEmpty()) return emptyMap()
    val demandByTeam = HashMap<String, Double>()
    open.forEach { entry -> entry.teams.forEach { demandByTeam.merge(it.teamId, demandOf(it), Double::plus) } }
    val shareByTeam = maxMinShares(total.toDouble(), demandByTeam, weightByTeam)
    val spare = (total - shareByTeam.values.sum()) / open.size
    val exact =
        open.associate { entry ->
            entry.id to spare + entry.teams.sumOf { partOf(it, shareByTeam, demandByTeam) }
        }
    return roundToTotal(exact, total) + entries.filter { it.stopping }.associate { it.id to 0 }
}

private fun demandOf(team: TeamDemand): Double = (team.waiting + team.running).toDouble()

private fun partOf(
    team: TeamDemand,
    shareByTeam: Map<String, Double>,
    demandByTeam: Map<String, Double>,
): Double {
    val demand = demandOf(team)
    return if (demand == 0.0) 0.0 else shareByTeam.getValue(team.teamId) * demand / demandByTeam.getValue(team.teamId)
}

/** Weighted max-min shares of [capacity], none above its demand; a team without a weight has the weight 1. */
internal fun maxMinShares(
    capacity: Double,
    demandByTeam: Map<String, Double>,
    weightByTeam: Map<String, Int>,
): Map<String, Double> {
    val shares = HashMap<String, Double>()
    val weights = demandByTeam.keys.associateWith { (weightByTeam[it] ?: 1).toDouble() }
    var left = capacity
    var leftWeight = weights.values.sum()
    demandByTeam.keys.sortedBy { demandByTeam.getValue(it) / weights.getValue(it) }.forEach { teamId ->
        val weight = weights.getValue(teamId)
        val share = minOf(demandByTeam.getValue(teamId), left * weight / leftWeight)
        shares[teamId] = share
        left -= share
        leftWeight -= weight
    }
    return shares
}

/** Rounds [exact] by largest remainder, so that the sum is [total]. */
private fun roundToTotal(
    exact: Map<PeerId, Double>,
    total: Int,
): Map<PeerId, Int> {
    val rounded = exact.mapValues { floor(it.value + SHARE_EPSILON).toInt() }
    val missing = total - rounded.values.sum()
    val raised =
        exact.keys
            .sortedWith(compareBy({ rounded.getValue(it) - exact.getValue(it) }, { it.entryId }, { it.incarnation }))
            .take(maxOf(0, missing))
            .toSet()
    return rounded.mapValues { (id, count) -> if (id in raised) count + 1 else count }
}
