package org.verbenagauge.entry.admission

import org.verbenagauge.entry.rights.FleetService

/** Counts the requests that other entries start for the teams that wait here, from one call to the next. */
internal class RemoteStarts(
    private val poolId: String,
    private val fleetService: FleetService,
) {
    private var startedByTeam = emptyMap<String, Long>()

    /**
     * Returns how many requests of each of [teamIds] other entries have started since the last call, without teams
     * that had no starts. A team is counted only from the first call that includes it: starts from before it waited
     * here must not be charged against its share.
     */
    fun newStarts(teamIds: Set<String>): Map<String, Long> {
        val previousByTeam = startedByTeam
        startedByTeam = teamIds.associateWith { fleetService.startedElsewhere(poolId, it) }
        return startedByTeam
            .mapValues { (teamId, total) -> total - (previousByTeam[teamId] ?: total) }
            .filterValues { it > 0 }
    }
}
