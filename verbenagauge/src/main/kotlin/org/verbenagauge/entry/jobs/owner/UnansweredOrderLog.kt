package org.verbenagauge.entry.jobs.owner

import org.verbenagauge.entry.jobs.ports.OrderOutcome
import org.verbenagauge.entry.logging.Event
import org.verbenagauge.entry.logging.EventLog

/** Logs the workers whose orders get no answer: at most one line in two seconds for each, with the number of orders. */
internal class UnansweredOrderLog(
    private val log: EventLog,
) {
    private val reports = HashMap<String, Report>()

    /** Records the [outcome] of an order to [workerId]. */
    fun record(
        workerId: String,
        outcome: OrderOutcome,
        now: Long,
    ) {
        val cause =
            when (outcome) {
                is OrderOutcome.Unanswered -> outcome.cause
                is OrderOutcome.NotSent -> outcome.cause
                is OrderOutcome.Done, is OrderOutcome.Refused, is OrderOutcome.Withheld -> return
            }
        val report = reports.getOrPut(workerId) { Report() }
        report.orderCount++
        if (now < report.nextLineMillis) return
        log.write(Event.ORDERS_UNANSWERED, workerId, "${report.orderCount} orders without an answer, the last: $cause")
        report.orderCount = 0
        report.nextLineMillis = now + LINE_INTERVAL_MILLIS
    }

    /** Forgets all workers but those with [workerIds]. */
    fun retain(workerIds: Set<String>) {
        reports.keys.retainAll(workerIds)
    }

    private class Report {
        var orderCount = 0
        var nextLineMillis = Long.MIN_VALUE
    }

    private companion object {
        const val LINE_INTERVAL_MILLIS = 2_000L
    }
}
