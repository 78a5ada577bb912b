package org.verbenagauge.entry.rights

import org.verbenagauge.entry.model.PeerId
import org.verbenagauge.entry.peers.RightsMessage
import org.verbenagauge.entry.state.control.RightsEdit

/** What the shell must do after an event of [RightsCore]. */
public sealed interface RightsAction {
    /** Send [message] to [to]; it may be lost. */
    public data class Send(
        val to: PeerId,
        val message: RightsMessage,
    ) : RightsAction

    /** Propose [edit] on top of [baseVersion] and hand the outcome back; one proposal at a time. */
    public data class Propose(
        val baseVersion: Long,
        val edit: RightsEdit,
        val operationId: String,
    ) : RightsAction

    /** Rights have become free, so that waiting requests may start. */
    public data object Gained : RightsAction
}

/** Outcome of a proposal. */
public enum class ProposalOutcome {
    /** The edit is in the change log. */
    STORED,

    /** The edit is not in the change log and never will be. */
    REFUSED,

    /** The edit may be in the change log, now or later. */
    UNKNOWN,
}

/**
 * Times that the decisions about rights rest on, all on the monotonic clock of the process that waits.
 *
 * @property runMarginMillis allowance for the end of a request past the longest run of its queue, and for
 *   clocks that run at different rates.
 * @property reportMillis shortest time between two reports of one group without new demand.
 * @property evaluateMillis shortest time between two evaluations of one group at its home.
 * @property resendMillis time after which unconfirmed rights are sent again.
 * @property takeOverMillis time that each lower rank leaves to the ranks above it to propose what is needed.
 */
public data class RightsTiming(
    val runMarginMillis: Long = 2_000,
    val reportMillis: Long = 250,
    val evaluateMillis: Long = 100,
    val resendMillis: Long = 200,
    val takeOverMillis: Long = 2_000,
)
