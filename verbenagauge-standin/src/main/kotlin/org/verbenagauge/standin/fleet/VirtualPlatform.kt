package org.verbenagauge.standin.fleet

import org.verbenagauge.entry.state.control.ApplyOutcome
import org.verbenagauge.entry.state.control.ControlState
import org.verbenagauge.entry.state.control.Edit
import org.verbenagauge.entry.state.store.InstanceAction
import org.verbenagauge.entry.state.store.InstancePhase
import org.verbenagauge.entry.state.store.ListedInstance

/** Outcome of a proposal to [VirtualPlatform]. */
public enum class VirtualOutcome {
    STORED,
    CONFLICT,
    INVALID,
    DOWN,
}

/** The shared state, the instances and their lagging list, in virtual time. */
public class VirtualPlatform(
    instances: List<VirtualInstance>,
    private val rebootMillis: (VirtualInstance) -> Long,
    private val listLagMillis: Long,
) {
    /** Instances by their names. */
    public val instances: Map<String, VirtualInstance> = instances.associateBy { it.id }

    /** Whether the platform answers nothing. */
    public var isDown: Boolean = false

    /** Shared state after the last change. */
    public var state: ControlState = ControlState()
        private set

    private val operationIds = HashSet<String>()
    private val history = ArrayDeque<ListSnapshot>()

    /** Moves the time on to [nowMillis]. */
    public fun advance(nowMillis: Long) {
        instances.values.forEach { it.advance(nowMillis) }
        history.addLast(ListSnapshot(nowMillis, instances.values.map { it.listed() }))
        while (history.size > 1 && history[1].takenAtMillis <= nowMillis - listLagMillis) history.removeFirst()
    }

    /** Returns the list as it was some time ago, or null while the platform is down. */
    public fun list(): List<ListedInstance>? = if (isDown) null else history.first().listed

    /** Stores [edit] when the state is still at [baseVersion]. */
    public fun propose(
        baseVersion: Long,
        edit: Edit,
    ): VirtualOutcome {
        if (isDown) return VirtualOutcome.DOWN
        if (baseVersion != state.version) return VirtualOutcome.CONFLICT
        return when (val outcome = state.apply(edit, hash = "")) {
            is ApplyOutcome.Rejected -> VirtualOutcome.INVALID
            is ApplyOutcome.Applied -> {
                state = outcome.state
                VirtualOutcome.STORED
            }
        }
    }

    /** Whether the action [operationId] was done. */
    public fun knows(operationId: String): Boolean = operationId in operationIds

    /** Does [action] once for each [operationId]; returns whether it was the first time, null while down. */
    public fun act(
        instanceId: String,
        action: InstanceAction,
        operationId: String,
        nowMillis: Long,
    ): Boolean? {
        if (isDown) return null
        if (!operationIds.add(operationId)) return false
        val instance = instances.getValue(instanceId)
        if (action == InstanceAction.REBOOT) {
            instance.goDown(InstancePhase.REBOOTING, nowMillis + rebootMillis(instance))
        }
        return true
    }

    private class ListSnapshot(
        val takenAtMillis: Long,
        val listed: List<ListedInstance>,
    )
}
