package org.verbenagauge.entry.state

import org.verbenagauge.entry.model.PeerId
import org.verbenagauge.entry.peers.StateMessage

/** What happens to a [StateCore]. */
internal sealed interface StateEvent {
    /** Time has passed; [reachable] are the peers with a live connection. */
    class Tick(
        val reachable: List<PeerId>,
    ) : StateEvent

    /** A peer has sent [message]. */
    class Received(
        val from: PeerId,
        val message: StateMessage,
    ) : StateEvent

    /** A change of this entry has been stored as [version]. */
    class Stored(
        val version: Long,
    ) : StateEvent

    /**
     * A check of the table service that began at [askedAtMillis] has ended.
     *
     * @property version version at which every stored change was held, or null when there was no answer.
     */
    class StoreChecked(
        val version: Long?,
        val askedAtMillis: Long,
    ) : StateEvent

    /** A proposal of this entry for the members has ended. */
    data object Proposed : StateEvent

    /** This entry will not act any more. */
    data object Stopped : StateEvent
}
