package org.verbenagauge.entry.rights

import org.verbenagauge.entry.model.Resource

/** Sees everything and knows which number of rights may be in use at most. */
internal class RightsOracle {
    private val allowed = HashMap<Resource, Int>()

    /** An operator's change of a limit has been accepted; a lowered one is not in force yet. */
    fun limitChanged(
        resource: Resource,
        limit: Int,
    ) {
        allowed.merge(resource, limit, ::maxOf)
    }

    /** The change log reports which limits are in force. */
    fun reported(view: RightsView) {
        allowed.keys.forEach { resource ->
            val inForce = view.rights.granted(resource) <= view.limit(resource)
            if (inForce) allowed[resource] = view.limit(resource)
        }
    }

    /** Returns what is wrong, or null. */
    fun problem(nodes: Collection<FuzzNode>): String? =
        allowed.keys.firstNotNullOfOrNull { resource ->
            val running = nodes.sumOf { it.running(resource) }
            val usable = nodes.sumOf { maxOf(it.usable(resource), it.running(resource)) }
            val limit = allowed.getValue(resource)
            when {
                running > limit -> "$running running with $resource above the limit $limit in force"
                usable > limit -> "$usable rights of $resource exist above the limit $limit in force"
                else -> null
            }
        }

    /** Returns which rights are lost for good, or null; to be asked when all is calm. */
    fun lost(
        view: RightsView,
        nodes: Collection<FuzzNode>,
    ): String? =
        allowed.keys.firstNotNullOfOrNull { resource ->
            val held = nodes.filter { it.id in view.members }.sumOf { it.core.held(resource) }
            val limit = view.limit(resource)
            if (held == limit) null else "$held rights of $resource held with all calm, limit $limit"
        }
}
