package org.verbenagauge.entry.rights

import org.verbenagauge.entry.model.PeerId
import org.verbenagauge.entry.model.Resource
import org.verbenagauge.entry.peers.ResourceTotal
import org.verbenagauge.entry.peers.RightsMessage

/** Sends rights that were given away, again until they are confirmed, and the receipts of rights received. */
internal class TransferOutbox(
    private val ledger: RightsLedger,
    private val resendMillis: Long,
) {
    private val changed = LinkedHashSet<PeerId>()
    private val receipts = LinkedHashMap<PeerId, HashMap<Resource, ResourceTotal>>()
    private var resentAtMillis = Long.MIN_VALUE / 2

    /** Handles that rights were given to [to]. */
    fun changed(to: PeerId) {
        changed += to
    }

    /** Keeps [totals] for the next receipt to [to]. */
    fun received(
        to: PeerId,
        totals: List<ResourceTotal>,
    ) {
        val kept = receipts.getOrPut(to) { HashMap() }
        totals.forEach { kept[it.resource] = it }
    }

    /** Messages to send now; [stopping] tells the receivers whether this entry stops. */
    fun due(
        stopping: Boolean,
        nowMillis: Long,
    ): List<RightsAction> {
        if (nowMillis - resentAtMillis >= resendMillis) {
            resentAtMillis = nowMillis
            changed += ledger.unconfirmedPeers()
        }
        if (changed.isEmpty() && receipts.isEmpty()) return emptyList()
        val members = ledger.view.members
        val sends =
            changed.filter { it in members && ledger.unconfirmed(it).isNotEmpty() }.map { to ->
                RightsAction.Send(to, RightsMessage.Transfer(ledger.staysTo(to), ledger.unconfirmed(to), stopping))
            } +
                receipts.filterKeys { it in members }.map { (to, totals) ->
                    RightsAction.Send(to, RightsMessage.Receipt(ledger.staysTo(to), totals.values.toList()))
                }
        changed.clear()
        receipts.clear()
        return sends
    }
}
