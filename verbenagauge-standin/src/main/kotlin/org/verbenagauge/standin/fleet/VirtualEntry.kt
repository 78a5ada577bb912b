package org.verbenagauge.standin.fleet

import org.verbenagauge.entry.fleet.FleetExecutor
import org.verbenagauge.entry.state.control.ControlState
import org.verbenagauge.entry.state.store.ListedInstance

/**
 * An entry instance in virtual time: it places work by its view, and drives when it has an executor.
 *
 * @property executor drives waves and moves, or null when the entry only places work.
 */
public class VirtualEntry(
    public val executor: FleetExecutor?,
) {
    /** Shared state that it places work by. */
    public var view: ControlState = ControlState()
        private set

    /** The platform's list as it read it last. */
    public var listed: List<ListedInstance> = emptyList()
        private set

    /** Until when it does nothing at all. */
    public var pausedUntilMillis: Long = 0

    private var confirmedAtMillis = 0L

    /** Whether it does nothing at all now. */
    public fun isPaused(nowMillis: Long): Boolean = nowMillis < pausedUntilMillis

    /** Whether its view counts as in force: what it has not confirmed within [staleMillis] it must not act on. */
    public fun isFresh(
        nowMillis: Long,
        staleMillis: Long,
    ): Boolean = nowMillis - confirmedAtMillis <= staleMillis

    /** Reads the shared state and the list from [platform], or nothing while it is down. */
    public fun poll(
        platform: VirtualPlatform,
        nowMillis: Long,
    ) {
        // While the platform is down nothing can change, so that what was known stays in force.
        if (!platform.isDown || view.version == platform.state.version) confirmedAtMillis = nowMillis
        val list = platform.list() ?: return
        view = platform.state
        listed = list
        executor?.update(view)
        executor?.listed(list, nowMillis)
    }

    /** Whether it may place new work on [instanceId] now. */
    public fun mayPlace(
        instanceId: String,
        nowMillis: Long,
        staleMillis: Long,
    ): Boolean = isFresh(nowMillis, staleMillis) && view.fleet.mayPlace(instanceId)
}
