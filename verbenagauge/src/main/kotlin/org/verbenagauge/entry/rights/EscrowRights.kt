package org.verbenagauge.entry.rights

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.verbenagauge.entry.Child
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.model.Resource
import org.verbenagauge.entry.peers.PeerNetwork
import org.verbenagauge.entry.peers.RightsMessage
import org.verbenagauge.entry.state.force.Freshness
import org.verbenagauge.entry.state.force.InForce
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

private const val TICK_MILLIS = 50L

/** Proposes edits to the change log. */
internal fun interface RightsProposer {
    /** Proposes the edit of [proposal] and returns the settled outcome. */
    suspend fun propose(proposal: RightsAction.Propose): ProposalOutcome
}

/**
 * Rights that move between entries: a thread-safe shell around [RightsCore]. A right is only taken while
 * [freshness] says that this entry may act.
 *
 * @param unlimited resources without a limit.
 */
internal class EscrowRights(
    private val network: PeerNetwork,
    private val proposer: RightsProposer,
    private val freshness: Freshness,
    private val inForce: InForce,
    private val clock: Clock,
    private val unlimited: Set<Resource>,
) : Rights,
    FleetService,
    Child {
    private val lock = ReentrantLock()
    private var core = rightsCore(network.localId)
    private var view = RightsView()
    private val listeners = CopyOnWriteArrayList<() -> Unit>()
    private val proposals = Channel<RightsAction.Propose>(Channel.UNLIMITED)

    override val name: String = "rights"

    init {
        network.subscribe { from, message ->
            if (message is RightsMessage) handle { received(from, message, clock.monotonicMillis()) }
        }
    }

    override fun free(resource: Resource): Int =
        if (resource in unlimited) Int.MAX_VALUE else lock.withLock { core.free(resource) }

    override fun tryTake(resource: Resource): Boolean {
        if (!freshness.isFresh()) return false
        return resource in unlimited || lock.withLock { core.tryTake(resource) }
    }

    override fun release(resource: Resource) {
        if (resource !in unlimited) handle { release(resource, clock.monotonicMillis()) }
    }

    override fun reportDemand(
        poolId: String,
        teamId: String,
        waiting: Int,
    ): Unit = lock.withLock { core.waiting(poolId, teamId, waiting) }

    override fun reportStarted(
        poolId: String,
        teamId: String,
    ): Unit = lock.withLock { core.started(poolId, teamId) }

    override fun reportEnded(
        poolId: String,
        teamId: String,
    ): Unit = lock.withLock { core.ended(poolId, teamId) }

    override fun onGained(listener: () -> Unit) {
        listeners += listener
    }

    override fun startedElsewhere(
        poolId: String,
        teamId: String,
    ): Long = lock.withLock { core.startedElsewhere(poolId, teamId) }

    /** Takes up the shared state that is in force in this entry. */
    fun update(view: RightsView) {
        lock.withLock { this.view = view }
        handle { viewChanged(view) }
    }

    /** Hands all rights over to peers from now on, as they become free. */
    fun stop(): Unit = lock.withLock { core.stop() }

    /** Whether all rights have been handed over and confirmed. */
    fun isEmpty(): Boolean = lock.withLock { core.isEmpty() }

    override suspend fun run(): Unit =
        coroutineScope {
            launch { for (proposal in proposals) propose(proposal) }
            while (true) {
                val reachable = network.reachable().toSet()
                val inForceVersion = inForce.versionInForceEverywhere()
                handle { tick(reachable, inForceVersion, clock.monotonicMillis()) }
                delay(TICK_MILLIS)
            }
        }

    private suspend fun propose(proposal: RightsAction.Propose) {
        var outcome = ProposalOutcome.UNKNOWN
        try {
            outcome = proposer.propose(proposal)
        } finally {
            handle { proposed(outcome, clock.monotonicMillis()) }
        }
    }

    // Messages are sent under the lock, so that their totals leave in order; listeners are called outside it.
    private fun handle(event: RightsCore.() -> List<RightsAction>) {
        val gained =
            lock.withLock {
                renewIncarnation()
                val actions = core.event()
                actions.forEach(::perform)
                RightsAction.Gained in actions
            }
        if (gained) listeners.forEach { it() }
    }

    private fun renewIncarnation() {
        val localId = network.localId
        if (localId == core.localId) return
        core = core.renewed(localId)
        core.viewChanged(view)
    }

    private fun perform(action: RightsAction) {
        when (action) {
            is RightsAction.Send -> network.send(action.to, action.message)
            is RightsAction.Propose -> proposals.trySend(action)
            is RightsAction.Gained -> Unit
        }
    }
}
