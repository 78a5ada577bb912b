package org.verbenagauge.entry.rights

import org.verbenagauge.entry.model.Resource
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/**
 * Fixed split of every limit over the entries: the naive baseline.
 *
 * @param partOf part of the limit of a resource that this entry may use.
 */
public class SplitRights(
    private val partOf: (Resource) -> Int,
) : Rights {
    private val usedByResource = ConcurrentHashMap<Resource, AtomicInteger>()

    override fun free(resource: Resource): Int = maxOf(0, partOf(resource) - used(resource).get())

    override fun tryTake(resource: Resource): Boolean {
        val part = partOf(resource)
        return used(resource).getAndUpdate { if (it < part) it + 1 else it } < part
    }

    override fun release(resource: Resource) {
        used(resource).decrementAndGet()
    }

    override fun reportDemand(
        poolId: String,
        teamId: String,
        waiting: Int,
    ): Unit = Unit

    override fun onGained(listener: () -> Unit): Unit = Unit

    private fun used(resource: Resource): AtomicInteger = usedByResource.getOrPut(resource) { AtomicInteger() }
}

/** Returns the part of [limit] that falls to the entry [index] of [count]; the parts add up to [limit]. */
public fun fixedSplit(
    limit: Int,
    index: Int,
    count: Int,
): Int = limit / count + if (index < limit % count) 1 else 0
