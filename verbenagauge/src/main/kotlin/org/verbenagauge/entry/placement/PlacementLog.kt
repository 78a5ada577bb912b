package org.verbenagauge.entry.placement

import org.verbenagauge.entry.logging.Event
import org.verbenagauge.entry.logging.EventLog

/** Returns a handler that writes each notice to [log]. */
internal fun placementLog(log: EventLog): (PlacementNotice) -> Unit =
    { notice ->
        when (notice) {
            is PlacementNotice.Ejected ->
                log.write(Event.ENDPOINT_EJECTED, "endpoint '${notice.instanceId}' is failing and has been ejected")
            is PlacementNotice.Restored ->
                log.write(Event.ENDPOINT_RESTORED, "endpoint '${notice.instanceId}' accepts work again")
            is PlacementNotice.Draining ->
                log.write(Event.ENDPOINT_DRAINING, "endpoint '${notice.instanceId}' is draining")
            is PlacementNotice.BudgetExhausted ->
                log.write(
                    Event.EJECTION_BUDGET_EXHAUSTED,
                    "endpoint '${notice.instanceId}' is failing, but the pool's budget.maxAway is used up",
                )
            is PlacementNotice.FaultyJob ->
                log.write(
                    Event.JOB_FAILS_EVERYWHERE,
                    "the job of request ${notice.requestId} failed on ${notice.instanceIds.sorted()}",
                )
        }
    }
