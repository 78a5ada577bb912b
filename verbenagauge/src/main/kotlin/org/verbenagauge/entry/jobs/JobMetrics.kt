package org.verbenagauge.entry.jobs

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.verbenagauge.entry.logging.Event

private const val MILLIS_PER_SECOND = 1_000.0

/** Counters and latency histograms of one entry that runs jobs. */
public class JobMetrics(
    private val registry: PrometheusRegistry,
) {
    private val events =
        Counter
            .builder()
            .name("verbenagauge_events_total")
            .help("Log events, whether their line was written or omitted")
            .labelNames("event")
            .register(registry)

    private val calls =
        Histogram
            .builder()
            .name("verbenagauge_job_call_duration_seconds")
            .help("Time from a caller's call about a job to the answer")
            .classicOnly()
            .labelNames("call", "outcome")
            .register(registry)

    private val outgoing =
        Histogram
            .builder()
            .name("verbenagauge_outgoing_call_duration_seconds")
            .help("Time of calls to the store and to workers")
            .classicOnly()
            .labelNames("target", "outcome")
            .register(registry)

    private val connections =
        Gauge
            .builder()
            .name("verbenagauge_connections")
            .help("Connections to workers that this entry holds open")
            .labelNames("target")
            .register(registry)

    private val connectionsOpened =
        Counter
            .builder()
            .name("verbenagauge_connections_opened_total")
            .help("Connections to workers that this entry has opened")
            .labelNames("target")
            .register(registry)

    private val refused =
        Counter
            .builder()
            .name("verbenagauge_refused_jobs")
            .help("Jobs refused because of load")
            .labelNames("reason")
            .register(registry)

    /** Counts a job that was refused because of load, under the label [reason]. */
    public fun refused(reason: String) {
        refused.labelValues(reason).inc()
    }

    /** Counts [event]. */
    public fun event(event: Event) {
        events.labelValues(event.name).inc()
    }

    /** Records that a caller's [call] ended as [outcome] after [millis]. */
    public fun call(
        call: String,
        outcome: String,
        millis: Long,
    ) {
        calls.labelValues(call, outcome).observe(millis / MILLIS_PER_SECOND)
    }

    /** Records that an outgoing call to [target] ended as [outcome] after [millis]. */
    public fun outgoing(
        target: String,
        outcome: String,
        millis: Long,
    ) {
        outgoing.labelValues(target, outcome).observe(millis / MILLIS_PER_SECOND)
    }

    /** Counts a connection to [target] that was opened. */
    public fun connectionOpened(target: String) {
        connections.labelValues(target).inc()
        connectionsOpened.labelValues(target).inc()
    }

    /** Counts a connection to [target] that was closed here. */
    public fun connectionClosed(target: String) {
        connections.labelValues(target).dec()
    }

    /** Registers a gauge whose value is read by [read]. */
    public fun gauge(
        name: String,
        help: String,
        read: () -> Double,
    ) {
        GaugeWithCallback
            .builder()
            .name(name)
            .help(help)
            .callback { it.call(read()) }
            .register(registry)
    }
}
