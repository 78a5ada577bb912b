package org.verbenagauge.entry.operator

import kotlinx.serialization.Serializable
import org.verbenagauge.entry.account.TeamUsage
import org.verbenagauge.entry.state.FleetView
import org.verbenagauge.entry.state.control.FleetState
import org.verbenagauge.entry.state.document.Configuration
import org.verbenagauge.entry.state.document.Pool
import org.verbenagauge.entry.state.document.Wave
import org.verbenagauge.entry.state.document.WaveCommand
import org.verbenagauge.entry.state.store.InstancePhase

/**
 * State of the fleet as one entry instance knows it.
 *
 * @property entryId entry instance that answers.
 * @property version last change that it holds.
 * @property documentVersion last change of the document.
 * @property inForceVersion last change that is in force on every entry that may act.
 * @property entries entry instances of the membership.
 * @property pools pools against their budgets.
 * @property waves maintenance waves.
 * @property teams teams against limit and share.
 */
@Serializable
public data class StatusView(
    val entryId: String,
    val version: Long,
    val documentVersion: Long,
    val inForceVersion: Long,
    val entries: List<EntryView>,
    val pools: List<PoolView>,
    val waves: List<WaveView>,
    val teams: List<TeamView>,
)

/** Entry instance [id] in [zoneId]. */
@Serializable
public data class EntryView(
    val id: String,
    val zoneId: String,
    val regionId: String,
)

/**
 * A pool against its availability budget.
 *
 * @property id pool.
 * @property instances instances that belong to it.
 * @property away instances that are out for maintenance or not live on the platform's list.
 * @property maxAway instances that the budget allows to be away.
 */
@Serializable
public data class PoolView(
    val id: String,
    val instances: Int,
    val away: Int,
    val maxAway: Int,
)

/**
 * A maintenance wave.
 *
 * @property id wave.
 * @property command what the operator wants of it.
 * @property finished instances that were maintained.
 * @property total instances that take part.
 * @property out instances that are out for it now.
 * @property hold evidence that stops it, or null.
 */
@Serializable
public data class WaveView(
    val id: String,
    val command: WaveCommand,
    val finished: Int,
    val total: Int,
    val out: Int,
    val hold: String?,
)

/**
 * A team against its limit and its share, as this entry instance saw it in the last minute.
 *
 * @property id team.
 * @property keys names of its keys.
 * @property maxRunning upper limit over the fleet.
 * @property shareWeight weight.
 * @property entitledPart part of the run time that the weight gives among the teams that ran anything.
 * @property usedPart part of the run time that the team had.
 * @property answered requests with an answer in the last minute.
 * @property meanRunning mean number of requests that ran at once on behalf of this entry.
 */
@Serializable
public data class TeamView(
    val id: String,
    val keys: List<String>,
    val maxRunning: Int,
    val shareWeight: Int,
    val entitledPart: Double,
    val usedPart: Double,
    val answered: Long,
    val meanRunning: Double,
)

/** Returns the state of the fleet from what the entry [entryId] knows. */
internal fun statusView(
    entryId: String,
    view: FleetView,
    inForceVersion: Long,
    usage: Map<String, TeamUsage>,
): StatusView {
    val control = view.control
    return StatusView(
        entryId = entryId,
        version = control.version,
        documentVersion = control.configurationVersion,
        inForceVersion = inForceVersion,
        entries = control.membership.members.map { EntryView(it.id.entryId, it.zoneId, it.regionId) },
        pools = control.configuration.pools.map { poolView(it, view) },
        waves = control.configuration.waves.map { waveView(it, control.fleet) },
        teams = teamViews(control.configuration, usage),
    )
}

private fun poolView(
    pool: Pool,
    view: FleetView,
): PoolView {
    val fleet = view.control.fleet
    val members =
        fleet.poolIdByInstance.keys
            .filter { fleet.homePoolId(it) == pool.id }
            .toSet()
    val live =
        view.listed
            .filter { it.phase == InstancePhase.LIVE }
            .map { it.id }
            .toSet()
    val away = members.count { it in fleet.stepByInstance || it !in live }
    return PoolView(pool.id, members.size, away, pool.budget.maxAwayOf(members.size))
}

private fun waveView(
    wave: Wave,
    fleet: FleetState,
): WaveView {
    val record = fleet.waves[wave.id]
    val members =
        fleet.poolIdByInstance.keys
            .filter { wave.instanceIds.isEmpty() || it in wave.instanceIds }
            .filter { wave.poolIds.isEmpty() || fleet.homePoolId(it) in wave.poolIds }
            .toSet()
    val finished = record?.finishedIds.orEmpty()
    val out = fleet.stepByInstance.keys.count { it in members }
    return WaveView(wave.id, wave.command, finished.size, (members + finished).size, out, record?.hold?.name)
}

private fun teamViews(
    configuration: Configuration,
    usage: Map<String, TeamUsage>,
): List<TeamView> {
    val active = configuration.teams.filter { (usage[it.id]?.ranMillis ?: 0) > 0 }
    val weights = active.sumOf { it.shareWeight }
    val ranMillis = active.sumOf { usage.getValue(it.id).ranMillis }
    return configuration.teams.map { team ->
        val used = usage[team.id]
        val isActive = used != null && team in active
        TeamView(
            id = team.id,
            keys = team.keys.map { it.id },
            maxRunning = team.maxRunning,
            shareWeight = team.shareWeight,
            entitledPart = if (isActive) team.shareWeight.toDouble() / weights else 0.0,
            usedPart = if (used != null && isActive) used.ranMillis.toDouble() / ranMillis else 0.0,
            answered = used?.answered ?: 0,
            meanRunning = used?.meanRunning ?: 0.0,
        )
    }
}
