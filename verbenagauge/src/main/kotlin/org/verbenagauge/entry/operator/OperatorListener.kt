package org.verbenagauge.entry.operator

import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.response.respondBytes
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.routing
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.verbenagauge.entry.listener.ListenerAddress
import org.verbenagauge.entry.listener.httpListener
import java.io.ByteArrayOutputStream

/** Health of an entry instance as the balancer sees it. */
public enum class Health(
    public val text: String,
) {
    READY("ready"),
    STARTING("starting"),
    STALE("stale"),
    STOPPING("stopping"),
}

/** Creates the HTTP listener for operators. */
public fun operatorListener(
    address: ListenerAddress,
    registry: PrometheusRegistry,
    health: () -> Health,
    administration: AdministrationRoutes,
): EmbeddedServer<*, *> =
    httpListener(address) {
        healthRoutes(health)
        metricsRoutes(registry)
        administration.install(this)
    }

/** Installs the health address: 200 when the balancer should send requests here, else 503. */
public fun Application.healthRoutes(health: () -> Health) {
    routing {
        get("/health") {
            val current = health()
            val status = if (current == Health.READY) HttpStatusCode.OK else HttpStatusCode.ServiceUnavailable
            call.respondText(current.text + "\n", status = status)
        }
    }
}

/** Installs the metrics address in the Prometheus text format. */
public fun Application.metricsRoutes(registry: PrometheusRegistry) {
    val writer = PrometheusTextFormatWriter.builder().build()
    routing {
        get("/metrics") {
            val buffer = ByteArrayOutputStream()
            writer.write(buffer, registry.scrape())
            call.respondBytes(
                buffer.toByteArray(),
                io.ktor.http.ContentType
                    .parse(writer.contentType),
            )
        }
    }
}
