package org.verbenagauge.entry.state

import org.verbenagauge.entry.model.PeerId
import org.verbenagauge.entry.peers.StateMessage
import org.verbenagauge.entry.state.control.ControlState
import org.verbenagauge.entry.state.control.MembershipEdit

/** What the shell of [StateCore] must do after an event, in this order. */
internal sealed interface StateAction {
    /** Let all parts of this entry act on [control]. */
    data class Publish(
        val control: ControlState,
    ) : StateAction

    /** Send [message] to [to]. */
    data class Send(
        val to: PeerId,
        val message: StateMessage,
    ) : StateAction

    /** Ask the table service for changes, then report the outcome. */
    data object CheckStore : StateAction

    /** Propose [edit] on top of the head, then report the end. */
    data class Propose(
        val edit: MembershipEdit,
    ) : StateAction

    /** The members have removed this incarnation: call [StateCore.renew] with a new one. */
    data object RenewIncarnation : StateAction

    /** Report that a peer has sent a change that does not fit, for [problem]. */
    data class ReportBroken(
        val problem: String,
    ) : StateAction
}
