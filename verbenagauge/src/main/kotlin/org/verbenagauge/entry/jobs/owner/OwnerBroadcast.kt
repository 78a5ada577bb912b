package org.verbenagauge.entry.jobs.owner

import kotlinx.coroutines.delay
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.jobs.model.JobState
import org.verbenagauge.entry.model.PeerId
import org.verbenagauge.entry.peers.OwnerMessage
import org.verbenagauge.entry.peers.PeerMessage
import org.verbenagauge.entry.peers.PeerNetwork

/**
 * What the owner tells the other entries directly, ahead of the store: that it lives, and states that are stored. The
 * others count it as silent when its beats stop coming over a connection on which they came before.
 */
internal class OwnerBroadcast(
    private val network: PeerNetwork,
    private val clock: Clock,
    private val onStates: (Map<String, JobState>) -> Unit,
) {
    private var lastHeartbeatEpoch = 0L
    private var lastHeartbeatAtMillis = 0L

    /** Takes in [message] of [from]. */
    fun onMessage(
        from: PeerId,
        message: PeerMessage,
    ) {
        when (message) {
            is OwnerMessage.Beat -> onHeartbeat(message)
            is OwnerMessage.States -> onStates(knownStates(message.states))
            else -> Unit
        }
    }

    // A later release may know more states.
    private fun knownStates(states: Map<String, String>): Map<String, JobState> =
        states.mapNotNull { (jobId, name) -> stateByName[name]?.let { jobId to it } }.toMap()

    private fun onHeartbeat(heartbeat: OwnerMessage.Beat) {
        if (heartbeat.epoch < lastHeartbeatEpoch) return
        lastHeartbeatEpoch = heartbeat.epoch
        lastHeartbeatAtMillis = clock.monotonicMillis()
    }

    /** When the last beat of the owner of [epoch] came, if it was heard before and has been silent since. */
    fun heartbeatsStoppedAtMillis(epoch: Long): Long? =
        lastHeartbeatAtMillis.takeIf {
            lastHeartbeatEpoch == epoch &&
                clock.monotonicMillis() - it > HEARTBEAT_TIMEOUT_MILLIS
        }

    /** Tells that this entry is the owner of [epoch], until cancelled. */
    suspend fun sendHeartbeats(epoch: Long) {
        while (true) {
            network.sendToAll(OwnerMessage.Beat(epoch))
            delay(HEARTBEAT_INTERVAL_MILLIS)
        }
    }

    /** Tells states that are stored. */
    fun publishStates(states: Map<String, JobState>) {
        if (states.isNotEmpty()) network.sendToAll(OwnerMessage.States(states.mapValues { it.value.name }))
    }

    private companion object {
        val stateByName = JobState.entries.associateBy { it.name }
        const val HEARTBEAT_INTERVAL_MILLIS = 150L

        // Six beats: a pause of the collector or a lost packet is shorter.
        const val HEARTBEAT_TIMEOUT_MILLIS = 900L
    }
}
