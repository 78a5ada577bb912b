package org.verbenagauge.entry.fleet

import org.verbenagauge.entry.state.control.FleetState
import org.verbenagauge.entry.state.control.InstanceStep

/**
 * What this entry has seen of a step with its own eyes and on its own clock; a new driver begins anew.
 *
 * @property inForceSinceMillis when it first saw the removal from placement in force everywhere, or null.
 * @property appliedAtMillis when the platform first took each action, by operation id.
 * @property askedOperationIds actions that the platform has not answered yet.
 * @property healthySinceMillis since when every probe found the instance healthy, or null.
 */
internal class StepMemory {
    var inForceSinceMillis: Long? = null
    val appliedAtMillis = HashMap<String, Long>()
    val askedOperationIds = HashSet<String>()
    var healthySinceMillis: Long? = null
}

/** Memories of all steps. */
internal class StepMemories {
    private val byInstance = HashMap<String, RememberedStep>()

    /** Returns the memory of [step] of [instanceId]. */
    fun of(
        instanceId: String,
        step: InstanceStep,
    ): StepMemory {
        val known = byInstance[instanceId]
        if (known != null && known.takenOutVersion == step.takenOutVersion) return known.memory
        val fresh = StepMemory()
        byInstance[instanceId] = RememberedStep(step.takenOutVersion, fresh)
        return fresh
    }

    /** Returns the memory of the step of [instanceId] that is known, or null. */
    fun known(instanceId: String): StepMemory? = byInstance[instanceId]?.memory

    /** Drops what is known of steps that have ended. */
    fun retain(fleet: FleetState) {
        byInstance.keys.retainAll(fleet.stepByInstance.keys)
    }

    private class RememberedStep(
        val takenOutVersion: Long,
        val memory: StepMemory,
    )
}
