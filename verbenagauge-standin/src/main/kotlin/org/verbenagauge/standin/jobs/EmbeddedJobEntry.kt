package org.verbenagauge.standin.jobs

import io.ktor.server.engine.EmbeddedServer
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.verbenagauge.entry.clock.systemClock
import org.verbenagauge.entry.jobs.JobMetrics
import org.verbenagauge.entry.jobs.JobPorts
import org.verbenagauge.entry.jobs.JobRuntime
import org.verbenagauge.entry.jobs.front.jobRoutes
import org.verbenagauge.entry.jobs.jobRuntime
import org.verbenagauge.entry.jobs.model.Amount
import org.verbenagauge.entry.jobs.model.JobsConfiguration
import org.verbenagauge.entry.jobs.model.QueueConfiguration
import org.verbenagauge.entry.jobs.model.ServiceConfiguration
import org.verbenagauge.entry.jobs.model.TeamConfiguration
import org.verbenagauge.entry.listener.ListenerAddress
import org.verbenagauge.entry.listener.httpListener
import org.verbenagauge.entry.logging.EventLog
import org.verbenagauge.entry.model.sha256Hex
import java.util.concurrent.Executors

private const val ENTRY_ID = "entry-0"
private const val SERVICE = "hall"
private const val WORKER_CORES = 4_000L
private const val WORKER_MEGABYTES = 8_192L
private const val TEAM_CORES = 12_000L
private const val MAX_BODY_BYTES = 65_536L
private const val STOP_MILLIS = 200L

/** An entry that runs jobs, with its store and workers in the same process. */
public class EmbeddedJobEntry internal constructor(
    private val service: JobRuntime,
) {
    private val executor =
        Executors.newSingleThreadExecutor { task ->
            Thread(task, "jobs").also { it.isDaemon = true }
        }
    private val dispatcher = executor.asCoroutineDispatcher()
    private val scope = CoroutineScope(SupervisorJob() + dispatcher)
    private var server: EmbeddedServer<*, *>? = null

    /** Serves callers at [host] and [port]; 0 takes a free one. Returns the port. */
    public fun start(
        host: String,
        port: Int,
    ): Int {
        service.start(scope)
        val listener = httpListener(ListenerAddress(host, port)) { jobRoutes(service.calls, dispatcher) }
        server = listener.start(wait = false)
        return runBlocking {
            listener.engine
                .resolvedConnectors()
                .first()
                .port
        }
    }

    /** Ends. */
    public fun stop() {
        scope.launch { service.stop() }
        server?.stop(STOP_MILLIS, STOP_MILLIS)
        scope.cancel()
        executor.shutdown()
    }
}

/** Creates an entry with [workerCount] simulated workers that takes [key] for one team and the queues of the demo. */
public fun embeddedJobEntry(
    workerCount: Int,
    key: String,
): EmbeddedJobEntry {
    val clock = systemClock()
    val metrics = JobMetrics(PrometheusRegistry())
    val pool = SimulatedPool(SERVICE, workerCount, Amount(WORKER_CORES, WORKER_MEGABYTES), clock)
    val ports = JobPorts(EmbeddedRowStore(), pool, pool)
    val service = jobRuntime(ENTRY_ID, ports, clock, EventLog(ENTRY_ID, metrics::event), metrics)
    service.configure(demoConfiguration(key))
    return EmbeddedJobEntry(service)
}

private fun demoConfiguration(key: String) =
    JobsConfiguration(
        version = 1,
        queues = listOf(queue("tallies", priority = 0), queue("reports", priority = 1)),
        services = mapOf(SERVICE to ServiceConfiguration(SERVICE, enforcesCapacity = false, isStandby = false)),
        teams =
            mapOf(
                DEMO_TEAM to
                    TeamConfiguration(DEMO_TEAM, setOf(sha256Hex(key)), weight = 1.0, Amount(cpuMillis = TEAM_CORES)),
            ),
        maxBodyBytes = MAX_BODY_BYTES,
    )

private fun queue(
    name: String,
    priority: Int,
) = QueueConfiguration(
    name = name,
    host = "",
    pathPrefix = "",
    serviceName = SERVICE,
    priority = priority,
    maxAttempts = 3,
    slackFactor = 2.0,
    objectiveMillis = 600,
    isOpen = false,
)
