package org.verbenagauge.entry.jobs.owner

import kotlinx.coroutines.delay
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.jobs.model.JobState
import org.verbenagauge.entry.model.PeerId
import org.verbenagauge.entry.peers.OwnerMessage
import org.verbenagauge.entry.peers.PeerMessage
import org.verbenagauge.entry.peers.PeerNetwork

/**
 * Exchanges the owner's heartbeats and stored job states directly with the other entries, ahead of the store. An
 * owner counts as silent when its heartbeats stop arriving over a connection on which they arrived before.
 */
internal class OwnerBroadcast(
    private val network: PeerNetwork,
    private val clock: Clock,
    private val onStates: (Map<String, JobState>) -> Unit,
) {
    private var lastHeartbeatEpoch = 0L
    private var lastHeartbeatAtMillis = 0L

    /** Handles [message] from the peer [from]. */
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

    // A newer release may send states that this one does not know.
    private fun knownStates(states: Map<String, String>): Map<String, JobState> =
        states.mapNotNull { (jobId, name) -> stateByName[name]?.let { jobId to it } }.toMap()

    private fun onHeartbeat(heartbeat: OwnerMessage.Beat) {
        if (heartbeat.epoch < lastHeartbeatEpoch) return
        lastHeartbeatEpoch = heartbeat.epoch
        lastHeartbeatAtMillis = clock.monotonicMillis()
    }

    /**
     * Returns when the last heartbeat of the owner of [epoch] arrived, or null when none has arrived or heartbeats
     * still arrive.
     */
    fun heartbeatsStoppedAtMillis(epoch: Long): Long? =
        lastHeartbeatAtMillis.takeIf {
            lastHeartbeatEpoch == epoch &&
                clock.monotonicMillis() - it > HEARTBEAT_TIMEOUT_MILLIS
        }

    /** Sends heartbeats as the owner of [epoch] until cancelled. */
    suspend fun sendHeartbeats(epoch: Long) {
        while (true) {
            network.sendToAll(OwnerMessage.Beat(epoch))
            delay(HEARTBEAT_INTERVAL_MILLIS)
        }
    }

    /** Sends [states], which are already stored, to all other entries. */
    fun publishStates(states: Map<String, JobState>) {
        if (states.isNotEmpty()) network.sendToAll(OwnerMessage.States(states.mapValues { it.value.name }))
    }

    private companion object {
        val stateByName = JobState.entries.associateBy { it.name }
        const val HEARTBEAT_INTERVAL_MILLIS = 150L

        // Six heartbeats; a garbage collection pause or a lost packet is shorter.
        const val HEARTBEAT_TIMEOUT_MILLIS = 900L
    }
}
