package org.verbenagauge.entry.rights

import org.jetbrains.lincheck.datastructures.Operation
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.model.HolderId
import org.verbenagauge.entry.model.PeerId
import org.verbenagauge.entry.model.Resource
import org.verbenagauge.entry.peers.PeerListener
import org.verbenagauge.entry.peers.PeerMessage
import org.verbenagauge.entry.peers.PeerNetwork
import org.verbenagauge.entry.state.control.RightsHolder
import org.verbenagauge.entry.state.control.RightsState

private const val GRANTED = 8
private const val TAKEN = 6

/** Rights shared between threads, for Lincheck; as many are taken at first as the threads may give back. */
class EscrowRightsModel {
    private val localId = PeerId("entry-1", 1)
    private val team = Resource.Team("large")
    private val rights =
        EscrowRights(
            network = NoPeers(localId),
            proposer = { ProposalOutcome.REFUSED },
            freshness = { true },
            inForce = { 0 },
            clock = StoppedClock,
            unlimited = emptySet(),
        )

    init {
        rights.update(
            RightsView(
                version = 2,
                rights =
                    RightsState(
                        holders = listOf(RightsHolder(HolderId(localId, 1), longestRunMillis = 1)),
                        grants = mapOf(team to listOf(RightsState.Grant(localId, GRANTED))),
                    ),
                limits = mapOf(team to GRANTED),
            ),
        )
        repeat(TAKEN) { rights.tryTake(team) }
    }

    @Operation
    fun tryTake(): Boolean = rights.tryTake(team)

    @Operation
    fun release() = rights.release(team)

    @Operation
    fun free(): Int = rights.free(team)
}

/** The same rights without any thread in mind. */
class NaiveRightsModel {
    private var free = GRANTED - TAKEN

    fun tryTake(): Boolean {
        if (free == 0) return false
        free--
        return true
    }

    fun release() {
        free++
    }

    fun free(): Int = free
}

private class NoPeers(
    override val localId: PeerId,
) : PeerNetwork {
    override fun reachable(): List<PeerId> = emptyList()

    override fun send(
        to: PeerId,
        message: PeerMessage,
    ): Boolean = false

    override fun subscribe(listener: PeerListener) = Unit
}

private object StoppedClock : Clock {
    override fun monotonicMillis(): Long = 0

    override fun wallMillis(): Long = 0
}
