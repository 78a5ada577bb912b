package org.verbenagauge.entry.state

import org.verbenagauge.entry.peers.PeerId
import org.verbenagauge.entry.peers.StateMessage

/** What happens to a [StateService]. */
internal sealed interface StateEvent {
    /** Time has passed. */
    data object Tick : StateEvent

    /** A peer has sent [message]. */
    class Received(
        val from: PeerId,
        val message: StateMessage,
    ) : StateEvent

    /** A change of this entry has been stored as [version]. */
    class Stored(
        val version: Long,
    ) : StateEvent

    /** A check of the table service that began at [askedAtMillis] has ended. */
    class StoreChecked(
        val outcome: ReadOutcome<Long>,
        val askedAtMillis: Long,
    ) : StateEvent

    /** The instance list shows [instances]. */
    class Listed(
        val instances: List<ListedInstance>,
    ) : StateEvent

    /** A proposal of this entry for the members has ended. */
    data object Proposed : StateEvent
}
