package org.verbenagauge.entry.admission

import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.model.registry.PrometheusRegistry

/** Registers gauges of the requests that [jobs] holds with [registry]. */
internal fun admissionMetrics(
    registry: PrometheusRegistry,
    jobs: JobService,
) {
    GaugeWithCallback
        .builder()
        .name("verbenagauge_held_requests")
        .help("Requests that wait or run")
        .callback { it.call(jobs.heldCount.toDouble()) }
        .register(registry)
    GaugeWithCallback
        .builder()
        .name("verbenagauge_queued_requests")
        .help("Requests that wait")
        .callback { it.call(jobs.queuedCount.toDouble()) }
        .register(registry)
}
