package org.verbenagauge.entry.rights

import org.verbenagauge.entry.logging.Event
import org.verbenagauge.entry.logging.EventLog
import org.verbenagauge.entry.state.log.ChangeLog
import org.verbenagauge.entry.state.log.ProposeOutcome

/** Proposes edits of rights to [changes] in the name of [author]. */
internal class ChangeLogProposer(
    private val changes: ChangeLog,
    private val author: String,
    private val log: EventLog,
) : RightsProposer {
    override suspend fun propose(proposal: RightsAction.Propose): ProposalOutcome {
        val outcome = changes.propose(proposal.baseVersion, proposal.edit, author, proposal.operationId)
        log.write(Event.RIGHTS_PROPOSED, "'${proposal.operationId}': $outcome")
        return when (outcome) {
            is ProposeOutcome.Stored -> ProposalOutcome.STORED
            is ProposeOutcome.Conflict -> ProposalOutcome.REFUSED
            is ProposeOutcome.Invalid -> ProposalOutcome.REFUSED
            is ProposeOutcome.Unavailable -> ProposalOutcome.REFUSED
            is ProposeOutcome.Unknown -> ProposalOutcome.UNKNOWN
        }
    }
}
