package org.verbenagauge.entry.state.control

import kotlinx.serialization.Serializable
import org.verbenagauge.entry.model.HolderId
import org.verbenagauge.entry.model.PeerId
import org.verbenagauge.entry.model.Resource
import org.verbenagauge.entry.model.ResourceCount

/**
 * An entry instance that holds rights or may have held some.
 *
 * @property id incarnation and its stay.
 * @property longestRunMillis longest run of any queue while the incarnation was a member.
 * @property surrenders number of its last surrender.
 * @property departedVersion version that removed it from the members, or null; it never counts again in this stay.
 */
@Serializable
public data class RightsHolder(
    val id: HolderId,
    val longestRunMillis: Long,
    val surrenders: Long = 0,
    val departedVersion: Long? = null,
)

/**
 * Numbers of one holder.
 *
 * @property holder incarnation.
 * @property counts numbers of the resources.
 */
@Serializable
public data class HolderCounts(
    val holder: PeerId,
    val counts: List<ResourceCount>,
)

/**
 * Rights as the change log grants them. A holder has its base grant, plus what it received from the
 * holders named here, minus what it sent to them.
 *
 * @property holders members, and former members whose rights are not recovered yet.
 * @property grants base grants of each resource; one may be negative, their sum never is.
 */
@Serializable
public data class RightsState(
    val holders: List<RightsHolder> = emptyList(),
    val grants: Map<Resource, List<Grant>> = emptyMap(),
) {
    /**
     * Base grant of one holder.
     *
     * @property holder incarnation.
     * @property count rights.
     */
    @Serializable
    public data class Grant(
        val holder: PeerId,
        val count: Int,
    )

    /** Rights of [resource] over all holders. */
    public fun granted(resource: Resource): Int = grants[resource].orEmpty().sumOf { it.count }

    /** Base grant of [resource] to [holder]. */
    public fun base(
        resource: Resource,
        holder: PeerId,
    ): Int = grants[resource].orEmpty().firstOrNull { it.holder == holder }?.count ?: 0

    /** Incarnations that may hold rights, with the start of their stay. */
    public fun members(): Map<PeerId, Long> =
        holders.filter { it.departedVersion == null }.associate {
            it.id.id to
                it.id.joinedVersion
        }

    /** Former members whose rights are not recovered yet. */
    public fun departed(): List<RightsHolder> = holders.filter { it.departedVersion != null }

    /** Takes up the members of [version], and the longest run while they are members. */
    internal fun following(
        members: List<PeerId>,
        version: Long,
        longestRunMillis: Long,
    ): RightsState {
        val known = holders.mapTo(HashSet()) { it.id.id }
        val followed =
            holders.map { holder ->
                when {
                    holder.departedVersion != null -> holder
                    holder.id.id !in members -> holder.copy(departedVersion = version)
                    else -> holder.copy(longestRunMillis = maxOf(holder.longestRunMillis, longestRunMillis))
                }
            } + members.filter { it !in known }.map { RightsHolder(HolderId(it, version), longestRunMillis) }
        return if (followed == holders) this else copy(holders = followed)
    }

    internal fun adding(
        holder: PeerId,
        counts: List<ResourceCount>,
    ): RightsState {
        val next = grants.toMutableMap()
        counts.forEach { (resource, count) ->
            val before = next[resource].orEmpty()
            val total = count + (before.firstOrNull { it.holder == holder }?.count ?: 0)
            val others = before.filter { it.holder != holder }
            val after = if (total == 0) others else others + Grant(holder, total)
            if (after.isEmpty()) next.remove(resource) else next[resource] = after
        }
        return copy(grants = next)
    }

    internal fun without(removed: Set<PeerId>): RightsState =
        RightsState(
            holders = holders.filter { it.id.id !in removed },
            grants =
                grants
                    .mapValues { (_, list) -> list.filter { it.holder !in removed } }
                    .filterValues { it.isNotEmpty() },
        )
}
