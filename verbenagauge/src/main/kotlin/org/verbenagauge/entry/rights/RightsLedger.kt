package org.verbenagauge.entry.rights

import org.verbenagauge.entry.model.HolderId
import org.verbenagauge.entry.model.PeerId
import org.verbenagauge.entry.model.Resource
import org.verbenagauge.entry.model.ResourceCount
import org.verbenagauge.entry.peers.ResourceTotal
import org.verbenagauge.entry.peers.RightsMessage
import org.verbenagauge.entry.peers.Stays
import org.verbenagauge.entry.state.control.HolderCounts
import org.verbenagauge.entry.state.control.RightsEdit

/**
 * Rights that one incarnation holds and uses; every rule that keeps the sum of all rights within the limits
 * stands here and in the edits of the change log.
 *
 * A holder has its base grant, plus what it received, minus what it sent. Both are cumulative counters for
 * each ordered pair of incarnations: rights are subtracted before they are sent, and a repeated, late or
 * reordered message adds nothing.
 *
 * Method: escrow (O'Neil, The Escrow Transactional Method, 1986) with the transfers of bounded counters
 * (Balegas et al., Extending Eventually Consistent Cloud Databases for Enforcing Numeric Invariants, 2015).
 */
internal class RightsLedger(
    private val localId: PeerId,
    usedBefore: Map<Resource, Int> = emptyMap(),
) {
    private val cells = HashMap<Resource, Cell>()
    private val accounts = HashMap<PeerId, PeerAccount>()
    private var pending: PendingSurrender? = null
    private var joinedVersion: Long? = null

    init {
        usedBefore.forEach { (resource, count) -> cells[resource] = Cell().apply { used = count } }
    }

    var view = RightsView()
        private set

    /** Whether this incarnation may hold rights. */
    val isMember: Boolean get() = joinedVersion != null

    val resources: Set<Resource> get() = cells.keys

    fun held(resource: Resource): Int = cells[resource]?.held ?: 0

    fun used(resource: Resource): Int = cells[resource]?.used ?: 0

    fun usedCounts(): Map<Resource, Int> = cells.filterValues { it.used > 0 }.mapValues { it.value.used }

    /** Rights that a request may take now. */
    fun free(resource: Resource): Int = cells[resource]?.let { maxOf(0, it.usable - it.used) } ?: 0

    /** Rights that no request uses. */
    fun idle(resource: Resource): Int = cells[resource]?.let { maxOf(0, it.held - it.used) } ?: 0

    fun tryTake(resource: Resource): Boolean {
        val cell = cells[resource] ?: return false
        if (cell.used >= cell.usable) return false
        cell.used++
        return true
    }

    fun release(resource: Resource) {
        val cell = cells[resource] ?: return
        check(cell.used > 0) { "right of $resource given back that was not taken" }
        cell.used--
    }

    /** Takes up a later version of the change log; an earlier one is ignored. */
    fun apply(next: RightsView) {
        if (next.version <= view.version) return
        view = next
        // A later version shows whether the surrender took effect; when not, it never will.
        pending = null
        if (next.joinedVersions[localId] != joinedVersion) accounts.clear()
        joinedVersion = next.joinedVersions[localId]
        val holders = next.rights.holders.mapTo(HashSet()) { it.id }
        accounts.entries.removeIf { (peer, account) -> HolderId(peer, account.joinedVersion) !in holders }
        (cells.keys + next.rights.grants.keys).toList().forEach(::recompute)
        cells.values.removeIf { it.held == 0 && it.used == 0 }
    }

    /** Takes [count] unused rights away for [to]; they count there once a transfer of [unconfirmed] arrives. */
    fun give(
        to: PeerId,
        resource: Resource,
        count: Int,
    ) {
        require(isMember && to != localId && to in view.members) { "rights given to '$to' which is not a member" }
        require(count in 1..idle(resource)) { "$count rights of $resource given with ${idle(resource)} unused" }
        account(to).sent.merge(resource, count.toLong(), Long::plus)
        recompute(resource)
    }

    /** Rights sent to [to] that it has not confirmed. */
    fun unconfirmed(to: PeerId): List<ResourceTotal> =
        if (isMember) accounts[to]?.unconfirmed().orEmpty() else emptyList()

    /** Members that have not confirmed all rights sent to them. */
    fun unconfirmedPeers(): List<PeerId> =
        accounts.filter { it.key in view.members && it.value.unconfirmed().isNotEmpty() }.keys.toList()

    /** Whether more rights of [resource] are granted than its limit allows. */
    fun isInExcess(resource: Resource): Boolean = view.rights.granted(resource) > view.limit(resource)

    /** Adds the rights of [transfer] and returns what to confirm, or null when the message does not count here. */
    fun receive(
        from: PeerId,
        transfer: RightsMessage.Transfer,
    ): List<ResourceTotal>? {
        if (from !in view.members || transfer.stays != staysFrom(from)) return null
        val received = account(from).received
        transfer.totals.forEach { (resource, total) ->
            received.merge(resource, total, ::maxOf)
            recompute(resource)
        }
        return transfer.totals.map { ResourceTotal(it.resource, received.getValue(it.resource)) }
    }

    fun confirm(
        from: PeerId,
        receipt: RightsMessage.Receipt,
    ) {
        if (from !in view.members || receipt.stays != staysFrom(from)) return
        val confirmed = accounts[from]?.confirmed ?: return
        receipt.totals.forEach { confirmed.merge(it.resource, it.total, ::maxOf) }
    }

    /** Rights sent to [departed] less rights received from them; final once they are not members here. */
    fun accountWith(departed: Set<HolderId>): HolderCounts {
        val counts = HashMap<Resource, Long>()
        departed.mapNotNull { accounts[it.id] }.forEach { account ->
            account.sent.forEach { (resource, total) -> counts.merge(resource, total, Long::plus) }
            account.received.forEach { (resource, total) -> counts.merge(resource, -total, Long::plus) }
        }
        return HolderCounts(localId, counts.filterValues { it != 0L }.map { ResourceCount(it.key, it.value.toInt()) })
    }

    /** Surrender that this incarnation should propose now on top of the view, or null. */
    fun nextSurrender(): RightsEdit.Surrender? {
        pending?.let { return it.edit }
        if (!isMember) return null
        val counts = cells.keys.mapNotNull(::surplus)
        if (counts.isEmpty()) return null
        val number =
            view.rights.holders
                .first { it.id.id == localId }
                .surrenders + 1
        return RightsEdit.Surrender(localId, number, counts.sortedBy { it.resource.toString() })
    }

    /** Stops using the rights of [edit], which is about to be proposed on top of the view. */
    fun beginSurrender(edit: RightsEdit.Surrender) {
        if (pending != null) return
        pending = PendingSurrender(edit)
        edit.counts.forEach { recompute(it.resource) }
    }

    /** Handles the outcome of a proposal of a surrender. */
    fun endSurrender(outcome: ProposalOutcome) {
        val proposed = pending ?: return
        when (outcome) {
            ProposalOutcome.STORED, ProposalOutcome.UNKNOWN -> proposed.uncertain = true
            ProposalOutcome.REFUSED -> if (!proposed.uncertain) cancel(proposed)
        }
    }

    private fun cancel(proposed: PendingSurrender) {
        pending = null
        proposed.edit.counts.forEach { recompute(it.resource) }
    }

    private fun surplus(resource: Resource): ResourceCount? {
        val excess = view.rights.granted(resource) - view.limit(resource)
        if (excess <= 0) return null
        val cell = cells.getValue(resource)
        val count = minOf(excess, cell.held - maxOf(cell.used, cell.usable))
        return if (count > 0) ResourceCount(resource, count) else null
    }

    private fun recompute(resource: Resource) {
        val cell = cells.getOrPut(resource) { Cell() }
        cell.held = if (isMember) computeHeld(resource) else 0
        cell.usable = usable(resource, cell.held)
    }

    private fun computeHeld(resource: Resource): Int {
        val moved = accounts.values.sumOf { (it.received[resource] ?: 0) - (it.sent[resource] ?: 0) }
        val given =
            pending
                ?.edit
                ?.counts
                ?.firstOrNull { it.resource == resource }
                ?.count ?: 0
        return view.rights.base(resource, localId) + moved.toInt() - given
    }

    // While more is granted than a lowered limit allows, each holder uses its part of the limit only.
    private fun usable(
        resource: Resource,
        held: Int,
    ): Int {
        val granted = view.rights.granted(resource)
        val limit = view.limit(resource)
        return if (granted > limit) (held.toLong() * limit / granted).toInt() else held
    }

    /** Stays of messages to the member [peer]. */
    fun staysTo(peer: PeerId) = Stays(joinedVersion ?: 0, view.joinedVersions.getValue(peer), peer.incarnation)

    private fun staysFrom(peer: PeerId) =
        joinedVersion?.let { Stays(view.joinedVersions.getValue(peer), it, localId.incarnation) }

    private fun account(peer: PeerId) = accounts.getOrPut(peer) { PeerAccount(view.joinedVersions.getValue(peer)) }

    private class Cell {
        var held = 0
        var used = 0
        var usable = 0
    }

    private class PeerAccount(
        val joinedVersion: Long,
    ) {
        val sent = HashMap<Resource, Long>()
        val received = HashMap<Resource, Long>()
        val confirmed = HashMap<Resource, Long>()

        fun unconfirmed(): List<ResourceTotal> =
            sent.filter { it.value > (confirmed[it.key] ?: 0) }.map { ResourceTotal(it.key, it.value) }
    }

    private class PendingSurrender(
        val edit: RightsEdit.Surrender,
    ) {
        var uncertain = false
    }
}
