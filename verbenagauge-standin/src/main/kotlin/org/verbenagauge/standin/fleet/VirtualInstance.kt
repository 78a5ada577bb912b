package org.verbenagauge.standin.fleet

import org.verbenagauge.entry.state.control.InstancePlace
import org.verbenagauge.entry.state.store.InstancePhase
import org.verbenagauge.entry.state.store.ListedInstance

/**
 * A machine in virtual time.
 *
 * @property id name of the instance.
 * @property place failure domains.
 */
public class VirtualInstance(
    public val id: String,
    public val place: InstancePlace,
) {
    /** Phase as it truly is. */
    public var phase: InstancePhase = InstancePhase.LIVE
        private set

    /** Times that it has booted. */
    public var bootCount: Long = 1
        private set

    private var backAtMillis = Long.MAX_VALUE
    private val jobEndsMillis = ArrayList<Long>()

    /** Jobs that run here. */
    public val runningCount: Int get() = jobEndsMillis.size

    /** Takes the instance down in [phase] until [untilMillis]; all that runs on it is lost. */
    public fun goDown(
        phase: InstancePhase,
        untilMillis: Long,
    ) {
        this.phase = phase
        backAtMillis = untilMillis
        jobEndsMillis.clear()
    }

    /** Starts a job that runs until [endMillis]. */
    public fun start(endMillis: Long) {
        jobEndsMillis += endMillis
    }

    /** Moves the time on to [nowMillis]. */
    public fun advance(nowMillis: Long) {
        jobEndsMillis.removeAll { it <= nowMillis }
        if (phase == InstancePhase.LIVE || nowMillis < backAtMillis) return
        phase = InstancePhase.LIVE
        bootCount++
    }

    /** Returns the instance as the platform would list it now. */
    public fun listed(): ListedInstance =
        ListedInstance(
            id = id,
            host = "127.0.0.1",
            port = 1,
            zoneId = place.zoneId,
            rackId = place.rackId,
            regionId = "region-0",
            phase = phase,
            bootCount = bootCount,
            runningCount = runningCount,
        )
}
