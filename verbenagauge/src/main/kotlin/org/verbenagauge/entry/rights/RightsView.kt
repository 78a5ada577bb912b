package org.verbenagauge.entry.rights

import org.verbenagauge.entry.model.PeerId
import org.verbenagauge.entry.model.Resource
import org.verbenagauge.entry.model.RightsGroup
import org.verbenagauge.entry.state.control.ControlState
import org.verbenagauge.entry.state.control.RightsState
import org.verbenagauge.entry.state.control.limits

/**
 * What the rights of an entry depend on, as of one version of the change log.
 *
 * @property version version of the change log.
 * @property rights base grants.
 * @property limits limits of all resources; a resource that is missing has the limit 0.
 * @property poolIdByInstance pool of each instance.
 * @property weightByTeam weight of each team when a pool is full.
 */
public data class RightsView(
    val version: Long = 0,
    val rights: RightsState = RightsState(),
    val limits: Map<Resource, Int> = emptyMap(),
    val poolIdByInstance: Map<String, String> = emptyMap(),
    val weightByTeam: Map<String, Int> = emptyMap(),
) {
    /** Incarnations that may hold rights, with the version from which they may. */
    val joinedVersions: Map<PeerId, Long> = rights.members()

    /** Incarnations that may hold rights. */
    val members: Set<PeerId> get() = joinedVersions.keys

    /** Limit of [resource]. */
    public fun limit(resource: Resource): Int = limits[resource] ?: 0

    /** Group that [resource] moves with, or null when nobody needs it. */
    public fun groupOf(resource: Resource): RightsGroup? =
        when (resource) {
            is Resource.Team -> RightsGroup.Team(resource.teamId)
            is Resource.Slot -> poolIdByInstance[resource.instanceId]?.let { RightsGroup.Pool(it) }
        }
}

/** Returns the part of [state] that rights depend on. */
public fun rightsView(state: ControlState): RightsView =
    RightsView(
        version = state.version,
        rights = state.rights,
        limits = state.limits(),
        poolIdByInstance = state.fleet.poolIdByInstance,
        weightByTeam = state.configuration.teams.associate { it.id to it.shareWeight },
    )
