package org.verbenagauge.entry.admission

import org.verbenagauge.entry.rights.FleetService

/** Requests that other entries have started for the teams that wait here, from one look to the next. */
internal class RemoteStarts(
    private val poolId: String,
    private val fleetService: FleetService,
) {
    private var startedByTeam = emptyMap<String, Long>()

    /**
     * Returns how many requests of each of [teamIds] have started since the last call. A team counts from when
     * it began to wait here: before that it has no claim that the service could lessen.
     */
    fun newStarts(teamIds: Set<String>): Map<String, Long> {
        val previousByTeam = startedByTeam
        startedByTeam = teamIds.associateWith { fleetService.startedElsewhere(poolId, it) }
        return startedByTeam
            .mapValues { (teamId, total) -> total - (previousByTeam[teamId] ?: total) }
            .filterValues { it > 0 }
    }
}
