package org.verbenagauge.entry.operator

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.verbenagauge.entry.logging.Event
import org.verbenagauge.entry.logging.EventLog

/** Tells logs and metrics what became of the changes that operators asked for. */
public class ChangeReporter(
    private val log: EventLog,
    registry: PrometheusRegistry,
) {
    private val changes =
        Counter
            .builder()
            .name("verbenagauge_operator_changes_total")
            .help("Changes that operators asked for, by outcome")
            .labelNames("outcome")
            .register(registry)

    internal fun report(
        request: ChangeRequest,
        outcome: AdminOutcome,
    ) {
        val problem = problemOf(outcome)
        val outcomeName = problem?.type?.substringAfterLast(':') ?: "accepted"
        changes.labelValues(outcomeName).inc()
        val what = "change '${request.operationId}' of '${authorOf(request.operator)}'"
        when (outcome) {
            is AdminOutcome.Accepted ->
                log.write(Event.OPERATOR_CHANGE_ACCEPTED, "$what is stored as version ${outcome.version}")
            else ->
                log.write(Event.OPERATOR_CHANGE_REFUSED, "$what: $outcomeName ${problem?.detail.orEmpty()}")
        }
    }
}
