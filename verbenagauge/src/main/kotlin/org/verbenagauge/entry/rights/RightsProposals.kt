package org.verbenagauge.entry.rights

import org.verbenagauge.entry.model.HolderId
import org.verbenagauge.entry.model.PeerId
import org.verbenagauge.entry.model.ResourceCount
import org.verbenagauge.entry.peers.RightsMessage
import org.verbenagauge.entry.state.control.HolderCounts
import org.verbenagauge.entry.state.control.RightsEdit

private const val ACCOUNT_REQUEST_MILLIS = 500L
private const val PROPOSAL_PAUSE_MILLIS = 500L
private const val MAX_GRANTED_RESOURCES = 200
private const val RUNS_AFTER_START = 2

/**
 * Decides what an entry proposes to the change log: surrenders of its own, the recovery of former members,
 * and grants of what nobody holds. Any member may propose any of these; ranks only avoid conflicts.
 */
internal class RightsProposals(
    private val localId: PeerId,
    private val ledger: RightsLedger,
    private val timing: RightsTiming,
) {
    private val stoppedAtMillis = HashMap<HolderId, Long>()
    private val accounts = HashMap<PeerId, HolderCounts>()
    private var accountsOf = emptySet<HolderId>()
    private var requestedAtMillis = Long.MIN_VALUE / 2
    private var neededSinceMillis: Long? = null
    private var inFlight: RightsAction.Propose? = null
    private var pausedUntilMillis = Long.MIN_VALUE / 2

    /** Handles that the ledger has a new view. */
    fun viewChanged() {
        val departed = departed()
        stoppedAtMillis.keys.retainAll(departed)
        if (departed != accountsOf) accounts.clear()
        accountsOf = departed
        neededSinceMillis = null
    }

    /** Answers [request] when this entry knows the same former members. */
    fun answer(request: RightsMessage.AccountRequest): RightsMessage.Account? {
        val departed = departed()
        if (!ledger.isMember || departed.isEmpty() || request.departed.toSet() != departed) return null
        return RightsMessage.Account(request.departed, ledger.accountWith(departed).counts)
    }

    /** Takes up the account of [from] with the former members. */
    fun account(
        from: PeerId,
        account: RightsMessage.Account,
    ) {
        if (account.departed.toSet() != accountsOf || from !in ledger.view.members) return
        accounts[from] = HolderCounts(from, account.counts)
    }

    /** Handles the [outcome] of the proposal in flight. */
    fun ended(
        outcome: ProposalOutcome,
        nowMillis: Long,
    ) {
        if (inFlight?.edit is RightsEdit.Surrender) ledger.endSurrender(outcome)
        inFlight = null
        pausedUntilMillis = nowMillis + PROPOSAL_PAUSE_MILLIS
    }

    /** Handles that every entry that may act has [version] or a later one. */
    fun inForce(
        version: Long,
        nowMillis: Long,
    ) {
        ledger.view.rights
            .departed()
            .filter { holder -> holder.departedVersion?.let { it <= version } ?: false }
            .forEach { stoppedAtMillis.putIfAbsent(it.id, nowMillis) }
    }

    /** Returns what to send and propose now; [reachable] are the peers that answered lately. */
    fun tick(
        reachable: Set<PeerId>,
        nowMillis: Long,
    ): List<RightsAction> {
        if (!ledger.isMember || inFlight != null) return emptyList()
        val surrender = ledger.nextSurrender()
        if (surrender != null) {
            return if (nowMillis < pausedUntilMillis) emptyList() else listOf(proposeSurrender(surrender))
        }
        if (!isNeeded()) {
            neededSinceMillis = null
            return emptyList()
        }
        val since = neededSinceMillis ?: nowMillis.also { neededSinceMillis = it }
        if (nowMillis - since < rank(reachable) * timing.takeOverMillis ||
            nowMillis < pausedUntilMillis
        ) {
            return emptyList()
        }
        return grant()?.let { listOf(propose(it, "grant")) } ?: recover(nowMillis)
    }

    private fun isNeeded() = departed().isNotEmpty() || missingGrants().any()

    private fun departed(): Set<HolderId> =
        ledger.view.rights
            .departed()
            .mapTo(HashSet()) { it.id }

    private fun rank(reachable: Set<PeerId>): Int =
        ledger.view.members
            .filter { it == localId || it in reachable }
            .sortedWith(compareBy({ it.entryId }, { it.incarnation }))
            .indexOf(localId)

    private fun missingGrants(): Sequence<ResourceCount> =
        ledger.view.limits
            .asSequence()
            .map { (resource, limit) -> ResourceCount(resource, limit - ledger.view.rights.granted(resource)) }
            .filter { it.count > 0 }

    private fun grant(): RightsEdit.GrantRights? {
        val members = ledger.view.members.sortedWith(compareBy({ it.entryId }, { it.incarnation }))
        val missing = missingGrants().sortedBy { it.resource.toString() }.take(MAX_GRANTED_RESOURCES).toList()
        if (missing.isEmpty()) return null
        val grants = missing.groupBy { members[it.resource.hashCode().mod(members.size)] }
        return RightsEdit.GrantRights(grants.map { HolderCounts(it.key, it.value) })
    }

    private fun recover(nowMillis: Long): List<RightsAction> {
        val members = ledger.view.members
        accounts[localId] = ledger.accountWith(accountsOf)
        if (accountsOf.isEmpty() || !haveEnded(nowMillis)) return emptyList()
        if (accounts.keys.containsAll(members)) {
            val reports = members.map { accounts.getValue(it) }.sortedBy { it.holder.toString() }
            return listOf(propose(RightsEdit.Recover(sortedDeparted(), reports), "recover"))
        }
        if (nowMillis - requestedAtMillis < ACCOUNT_REQUEST_MILLIS) return emptyList()
        requestedAtMillis = nowMillis
        return (members - accounts.keys).map { RightsAction.Send(it, RightsMessage.AccountRequest(sortedDeparted())) }
    }

    // Nothing that a former member started can be running any more: it starts nothing once its removal is in
    // force, an endpoint may begin as late as the entry would have waited for its answer, and then runs for as
    // long again.
    private fun haveEnded(nowMillis: Long): Boolean =
        ledger.view.rights.departed().all { holder ->
            val sinceMillis = stoppedAtMillis[holder.id] ?: return false
            nowMillis - sinceMillis >= RUNS_AFTER_START * holder.longestRunMillis + timing.runMarginMillis
        }

    private fun sortedDeparted() = accountsOf.sortedWith(compareBy({ it.id.entryId }, { it.id.incarnation }))

    private fun proposeSurrender(edit: RightsEdit.Surrender): RightsAction.Propose {
        ledger.beginSurrender(edit)
        return propose(edit, "surrender-${edit.number}")
    }

    private fun propose(
        edit: RightsEdit,
        kind: String,
    ): RightsAction.Propose {
        val version = ledger.view.version
        val operationId = "rights-${localId.entryId}-${localId.incarnation}-$kind-at-$version"
        return RightsAction.Propose(version, edit, operationId).also { inFlight = it }
    }
}
