package org.verbenagauge.entry.state.force

import org.verbenagauge.entry.model.PeerId
import org.verbenagauge.entry.peers.StateMessage

/** What the shell of [ForceCore] must do after an event. */
internal sealed interface ForceAction {
    /** Send [message] to [to]. */
    data class Send(
        val to: PeerId,
        val message: StateMessage,
    ) : ForceAction

    /** Send the changes after [afterVersion] to [to]. */
    data class SendChanges(
        val to: PeerId,
        val afterVersion: Long,
    ) : ForceAction

    /** Follow the changes that a peer has sent. */
    data class Follow(
        val encodedChanges: List<String>,
    ) : ForceAction

    /** Ask the table service for changes, then report the outcome. */
    data object CheckStore : ForceAction

    /** The members have removed this incarnation: take a new one. */
    data object RenewIncarnation : ForceAction
}
