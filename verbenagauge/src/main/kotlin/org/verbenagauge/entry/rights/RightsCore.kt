package org.verbenagauge.entry.rights

import org.verbenagauge.entry.model.PeerId
import org.verbenagauge.entry.model.Resource
import org.verbenagauge.entry.model.RightsGroup
import org.verbenagauge.entry.peers.GroupOrder
import org.verbenagauge.entry.peers.RightsMessage

private const val ORDER_LIFE_MILLIS = 1_000L

/**
 * Decides about the rights of one incarnation: which requests may start, which rights move to peers, and
 * what is proposed to the change log. It knows no clock and does no I/O; its caller handles one event at a
 * time and does what the actions say. Only [RightsLedger] and the edits keep the limits; all else decides
 * where rights are useful.
 */
public class RightsCore internal constructor(
    internal val localId: PeerId,
    private val timing: RightsTiming,
    private val ledger: RightsLedger,
    private val demand: LocalDemand,
    private val fleetCounts: FleetCounts,
) {
    private val proposals = RightsProposals(localId, ledger, timing)
    private val home = RightsHome(timing)
    private val homes = HomeTable(localId)
    private val outbox = TransferOutbox(ledger, timing.resendMillis)
    private val orders = HashMap<RightsGroup, ActiveOrder>()
    private val lastGiveByGroup = HashMap<RightsGroup, Long>()
    private var resourcesByGroup = emptyMap<RightsGroup, List<Resource>>()
    private var sequence = 0L
    private val stoppingPeers = HashSet<PeerId>()
    private var stopping = false

    /** Version of the change log that the rights rest on. */
    public val version: Long get() = ledger.view.version

    /** Whether this incarnation may hold rights. */
    public val isMember: Boolean get() = ledger.isMember

    /** Rights of [resource] that this incarnation holds. */
    public fun held(resource: Resource): Int = ledger.held(resource)

    /** Rights of [resource] in use. */
    public fun used(resource: Resource): Int = ledger.used(resource)

    /** Rights of [resource] that are free now. */
    public fun free(resource: Resource): Int = ledger.free(resource)

    /** Takes one right of [resource]; false when none is free. */
    public fun tryTake(resource: Resource): Boolean = ledger.tryTake(resource)

    /** Requests of [teamId] that other entries have started in [poolId]. */
    public fun startedElsewhere(
        poolId: String,
        teamId: String,
    ): Long = fleetCounts.startedElsewhere(poolId, teamId)

    /** Gives one right of [resource] back; one that an order gives to a peer leaves with the next tick. */
    public fun release(
        resource: Resource,
        nowMillis: Long,
    ): List<RightsAction> {
        ledger.release(resource)
        val group = ledger.view.groupOf(resource) ?: return emptyList()
        if (group !in orders && !stopping) return emptyList()
        giveAsOrdered(group, nowMillis)
        return emptyList()
    }

    /** Handles that [waiting] requests of [teamId] wait for [poolId]. */
    public fun waiting(
        poolId: String,
        teamId: String,
        waiting: Int,
    ): Unit = demand.waiting(poolId, teamId, waiting)

    /** Handles the start of a request of [teamId] in [poolId]. */
    public fun started(
        poolId: String,
        teamId: String,
    ) {
        demand.started(poolId, teamId)
        fleetCounts.started(poolId, teamId)
    }

    /** Handles the end of a request of [teamId] in [poolId]. */
    public fun ended(
        poolId: String,
        teamId: String,
    ): Unit = demand.ended(poolId, teamId)

    /** Takes up a later version of the change log; an earlier one is ignored. */
    public fun viewChanged(view: RightsView): List<RightsAction> {
        if (view.version <= ledger.view.version) return emptyList()
        ledger.apply(view)
        proposals.viewChanged()
        resourcesByGroup = groupResources()
        return listOf(RightsAction.Gained)
    }

    /** Handles [message] of [from]. */
    public fun received(
        from: PeerId,
        message: RightsMessage,
        nowMillis: Long,
    ): List<RightsAction> {
        if (!isMember || from !in ledger.view.members) return emptyList()
        return when (message) {
            is RightsMessage.Transfer -> receiveRights(from, message)
            is RightsMessage.Receipt -> nothing { ledger.confirm(from, message) }
            is RightsMessage.DemandReport -> nothing { home.report(from, message, nowMillis) }
            is RightsMessage.Order -> follow(from, message, nowMillis)
            is RightsMessage.AccountRequest ->
                listOfNotNull(
                    proposals.answer(message)?.let { RightsAction.Send(from, it) },
                )
            is RightsMessage.Account -> nothing { proposals.account(from, message) }
        }
    }

    /** Handles the outcome of the last proposal. */
    public fun proposed(
        outcome: ProposalOutcome,
        nowMillis: Long,
    ): List<RightsAction> {
        proposals.ended(outcome, nowMillis)
        return emptyList()
    }

    /** Gives all free rights to peers from now on, as they become free. */
    public fun stop() {
        stopping = true
    }

    /** Whether all rights have been handed over and confirmed. */
    public fun isEmpty(): Boolean =
        !isMember || (ledger.resources.all { ledger.held(it) == 0 } && ledger.unconfirmedPeers().isEmpty())

    /**
     * Sends what is due; to be called some 20 times a second.
     *
     * @param reachable peers that answered lately.
     * @param inForceVersion version that every entry that may still act has, or a later one.
     */
    public fun tick(
        reachable: Set<PeerId>,
        inForceVersion: Long,
        nowMillis: Long,
    ): List<RightsAction> {
        if (!isMember) return emptyList()
        proposals.inForce(inForceVersion, nowMillis)
        homes.update(ledger.view.members, reachable).forEach(demand::forget)
        if (stopping) giveAll(reachable)
        val reported = report(nowMillis)
        val ordered = order(reachable, nowMillis)
        return reported + ordered + outbox.due(stopping, nowMillis) + proposals.tick(reachable, nowMillis)
    }

    /**
     * Returns the core of the incarnation [id], which takes the place of this one in the same process. What
     * still runs counts as use of its rights, which it has none of yet.
     */
    internal fun renewed(id: PeerId): RightsCore =
        RightsCore(id, timing, RightsLedger(id, ledger.usedCounts()), demand.renewed(), fleetCounts)

    private fun receiveRights(
        from: PeerId,
        message: RightsMessage.Transfer,
    ): List<RightsAction> {
        val totals = ledger.receive(from, message) ?: return emptyList()
        outbox.received(from, totals)
        if (message.stopping) stoppingPeers += from
        return listOf(RightsAction.Gained)
    }

    private fun report(nowMillis: Long): List<RightsAction> {
        val heldByGroup = resourcesByGroup.mapValues { (_, list) -> list.sumOf(ledger::held) }.filterValues { it > 0 }
        val reports = demand.dueReports(heldByGroup, nowMillis)
        if (reports.isEmpty()) return emptyList()
        sequence++
        return reports.groupBy { homes.homeOf(it.group) }.mapNotNull { (to, groups) ->
            val message = RightsMessage.DemandReport(sequence, stopping, groups)
            if (to != localId) return@mapNotNull RightsAction.Send(to, message)
            home.report(localId, message, nowMillis)
            null
        }
    }

    private fun order(
        reachable: Set<PeerId>,
        nowMillis: Long,
    ): List<RightsAction> {
        val view = ledger.view
        return home.orders(view.members, reachable + localId, view.weightByTeam, nowMillis).flatMap { (to, groups) ->
            val message = RightsMessage.Order(groups)
            if (to == localId) follow(localId, message, nowMillis) else listOf(RightsAction.Send(to, message))
        }
    }

    private fun follow(
        from: PeerId,
        message: RightsMessage.Order,
        nowMillis: Long,
    ): List<RightsAction> {
        message.groups.forEach { order ->
            val group = order.group
            if (group is RightsGroup.Pool) fleetCounts.update(from, group.poolId, order.elsewhere)
            if (order.basedOn >= (lastGiveByGroup[group] ?: 0)) {
                orders[group] = ActiveOrder(order, nowMillis + ORDER_LIFE_MILLIS)
                giveAsOrdered(group, nowMillis)
            }
        }
        return outbox.due(stopping, nowMillis)
    }

    private fun giveAsOrdered(
        group: RightsGroup,
        nowMillis: Long,
    ) {
        val order = orders[group] ?: return
        if (order.endsAtMillis <= nowMillis || order.left.isEmpty()) {
            orders.remove(group)
            return
        }
        val resources = resourcesByGroup[group].orEmpty()
        var surplus = resources.sumOf(ledger::held) - order.target
        while (surplus > 0) {
            val to = order.left.maxByOrNull { it.value }?.key ?: return
            val resource = resources.filter { ledger.free(it) > 0 }.maxByOrNull(ledger::free) ?: return
            if (!give(to, resource, group, minOf(surplus, order.left.getValue(to), ledger.free(resource)))) {
                order.left.remove(to)
                continue
            }
            surplus = resources.sumOf(ledger::held) - order.target
        }
    }

    private fun give(
        to: PeerId,
        resource: Resource,
        group: RightsGroup,
        count: Int,
    ): Boolean {
        if (to == localId || to !in ledger.view.members) return false
        ledger.give(to, resource, count)
        outbox.changed(to)
        lastGiveByGroup[group] = ++sequence
        orders[group]?.gave(to, count)
        return true
    }

    private fun giveAll(reachable: Set<PeerId>) {
        val peers =
            ledger.view.members
                .filter { it in reachable && it != localId && it !in stoppingPeers }
                .sortedBy { it.toString() }
        if (peers.isEmpty()) return
        ledger.resources.filter { ledger.idle(it) > 0 && !ledger.isInExcess(it) }.forEach { resource ->
            val first = resource.hashCode().mod(peers.size)
            val count = ledger.idle(resource)
            peers.indices.forEach { index ->
                val part = fixedSplit(count, index, peers.size)
                if (part > 0) {
                    val to = peers[(first + index) % peers.size]
                    ledger.give(to, resource, part)
                    outbox.changed(to)
                }
            }
        }
    }

    private fun groupResources(): Map<RightsGroup, List<Resource>> =
        ledger.view.limits.keys
            .mapNotNull { resource -> ledger.view.groupOf(resource)?.let { it to resource } }
            .groupBy({ it.first }, { it.second })

    private fun nothing(effect: () -> Unit): List<RightsAction> {
        effect()
        return emptyList()
    }

    private class ActiveOrder(
        order: GroupOrder,
        val endsAtMillis: Long,
    ) {
        val target = order.target
        val left: MutableMap<PeerId, Int> = order.gives.associateTo(HashMap()) { it.to to it.count }

        fun gave(
            to: PeerId,
            count: Int,
        ) {
            left.computeIfPresent(to) { _, before -> (before - count).takeIf { it > 0 } }
        }
    }
}

/** Creates the decisions about the rights of the incarnation [localId]. */
public fun rightsCore(
    localId: PeerId,
    timing: RightsTiming = RightsTiming(),
): RightsCore = RightsCore(localId, timing, RightsLedger(localId), LocalDemand(timing), FleetCounts())
