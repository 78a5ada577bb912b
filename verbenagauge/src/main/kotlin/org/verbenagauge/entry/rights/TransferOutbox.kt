package org.verbenagauge.entry.rights

import org.verbenagauge.entry.peers.PeerId
import org.verbenagauge.entry.peers.RightsMessage

/** Sends rights that were given away, and sends them again until they are confirmed. */
internal class TransferOutbox(
    private val ledger: RightsLedger,
    private val resendMillis: Long,
) {
    private val changed = LinkedHashSet<PeerId>()
    private var resentAtMillis = Long.MIN_VALUE / 2

    /** Handles that rights were given to [to]. */
    fun changed(to: PeerId) {
        changed += to
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
        if (changed.isEmpty()) return emptyList()
        val sends =
            changed.mapNotNull { to ->
                val totals = ledger.unconfirmed(to)
                if (totals.isEmpty() || to !in ledger.view.members) return@mapNotNull null
                RightsAction.Send(to, RightsMessage.Transfer(ledger.staysTo(to), totals, stopping))
            }
        changed.clear()
        return sends
    }
}
