package org.verbenagauge.entry.rights

import org.verbenagauge.entry.model.PeerId
import org.verbenagauge.entry.model.Resource

/** One incarnation in a schedule. */
internal class FuzzNode(
    val id: PeerId,
    val core: RightsCore,
    private val clockRate: Double,
    private val startedAtMillis: Long,
) {
    val jobs = mutableListOf<FuzzJob>()
    var crashed = false

    /** Incarnation that took the place of this one in the same process. */
    var successor: FuzzNode? = null
    var pausedUntilMillis = 0L
    var cutOffUntilMillis = 0L

    /** Until when the freshness rule lets this incarnation start work; only a removal bounds it. */
    var mayStartUntilMillis = Long.MAX_VALUE
    var removedVersion = Long.MAX_VALUE
    private var nowMillis = startedAtMillis

    fun at(nowMillis: Long): FuzzNode = apply { this.nowMillis = nowMillis }

    fun clockMillis(): Long = ((nowMillis - startedAtMillis) * clockRate).toLong()

    fun isFresh(): Boolean = !crashed && nowMillis <= mayStartUntilMillis

    fun isAwake(): Boolean = !isGone() && nowMillis >= pausedUntilMillis

    fun isGone(): Boolean = crashed || successor != null

    /** Incarnation that lives in the same process now. */
    fun latest(): FuzzNode = successor?.latest() ?: this

    fun running(resource: Resource): Int = jobs.count { it.team == resource || it.slot == resource }

    fun usable(resource: Resource): Int = if (isFresh()) core.held(resource) else 0
}

/** A request that runs; its endpoint goes on with it when the entry dies. */
internal class FuzzJob(
    val team: Resource,
    val slot: Resource,
    val endsAtMillis: Long,
)
