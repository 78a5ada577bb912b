package org.verbenagauge.platform

import io.ktor.http.HttpStatusCode
import io.ktor.network.selector.SelectorManager
import io.ktor.server.application.ApplicationCallPipeline
import io.ktor.server.application.call
import io.ktor.server.cio.CIO
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.response.respondText
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.apache.logging.log4j.LogManager
import org.verbenagauge.entry.child
import org.verbenagauge.entry.clock.systemClock
import org.verbenagauge.entry.jobs.JobMetrics
import org.verbenagauge.entry.jobs.JobPorts
import org.verbenagauge.entry.jobs.JobRuntime
import org.verbenagauge.entry.jobs.engine.EngineLimits
import org.verbenagauge.entry.jobs.fleet.WavePorts
import org.verbenagauge.entry.jobs.owner.OwnerSettings
import org.verbenagauge.entry.logging.Event
import org.verbenagauge.entry.logging.EventLog
import org.verbenagauge.entry.operator.metricsRoutes
import org.verbenagauge.entry.peers.PeerAddress
import org.verbenagauge.entry.peers.PeerEndpoint
import org.verbenagauge.entry.peers.SocketPeerNetwork
import org.verbenagauge.entry.relay.EntryDirectory
import org.verbenagauge.entry.relay.StoreRelay
import org.verbenagauge.entry.supervise
import java.nio.file.Path
import java.util.concurrent.Executors

private const val SHUTDOWN_HOOK_PROPERTY = "io.ktor.server.engine.ShutdownHook"

/** One entry on the platform: wires the parts of the product to the platform's services. */
public class PlatformEntry(
    private val settings: PlatformEntrySettings,
    private val settingsFile: Path? = null,
) {
    @Volatile private var limits = settings.limits

    @Volatile private var load = settings.load

    /** Time from the signal to stop until the process is killed. */
    public val stopMillis: Long get() = limits.stopMillis

    private val clock = systemClock()
    private val registry = PrometheusRegistry()
    private val metrics = JobMetrics(registry)
    private val log = EventLog(settings.entry.id, metrics::event)
    private val executor =
        Executors.newSingleThreadExecutor { task -> Thread(task, "entry").also { it.isDaemon = true } }
    private val dispatcher = executor.asCoroutineDispatcher()

    // One message or call that fails unexpectedly ends alone.
    private val failures =
        CoroutineExceptionHandler {
            _,
            e,
            ->
            log.write(Event.UNEXPECTED_FAILURE, e.stackTraceToString().take(MOST_TRACE_CHARS))
        }
    private val scope = CoroutineScope(SupervisorJob() + dispatcher + failures)
    private val selector = SelectorManager(Dispatchers.IO)
    private val waves =
        WaveRows { log.write(Event.DOCUMENT_UNREADABLE, it, "what was read before stays in force") }
    private val link = StoreLink(selector, address(settings.platform.store), clock, scope, log, metrics)
    private val store = PlatformStore(link)
    private val peerAddress = parseHostPort(settings.listeners.peers)
    private val directory =
        peerAddress?.let {
            EntryDirectory(store, clock, PeerAddress(it.host, it.port, settings.entry.id), settings.limits.cores, log)
        }
    private val machines =
        parseHostPort(settings.platform.machines)?.let { PlatformMachines(settings.entry.id, selector, it, clock) }
    private val advisor = parseHostPort(settings.platform.advisor)?.let { PlatformAdvisor(selector, it, clock) }
    private val jobs =
        JobRuntime(
            entryId = settings.entry.id,
            ports =
                JobPorts(
                    store = store,
                    workers = PlatformWorkers(selector, clock, metrics),
                    workerList = PlatformWorkerList(store, log),
                    advisor = advisor,
                ),
            waves = machines?.let(::wavePorts),
            clock = clock,
            log = log,
            metrics = metrics,
            cores = settings.limits.cores,
            limits = { engineLimits(limits) },
        )
    private val documents = OperatorDocuments(store, log, jobs::configure, waves::take, jobs::evacuate)
    private val callerServer = server(settings.listeners.caller) { clientRoutes(jobs.calls, dispatcher) }
    private val metricsServer =
        settings.listeners.metrics.ifEmpty { null }?.let {
            server(
                it,
            ) { metricsRoutes(registry) }
        }
    private val readinessServer = server(settings.listeners.readiness) { readiness() }

    @Volatile private var isStopping = false

    /** Starts listeners and parts. */
    public fun start() {
        System.setProperty(SHUTDOWN_HOOK_PROPERTY, "false")
        scope.launch { supervise(child("operator documents", documents::run), log) }
        jobs.start(scope)
        scope.launch { closeIdleConnections() }
        directory?.let { scope.launch { connectPeers(it) } }
        callerServer.start(wait = false)
        readinessServer.start(wait = false)
        metricsServer?.start(wait = false)
        settingsFile?.let(::watch)
        log.write(
            Event.ENTRY_STARTED,
            "zone ${settings.entry.zoneId}, caller ${settings.listeners.caller}, store ${settings.platform.store}",
        )
    }

    /** Gives duties up, finishes what was taken in, and ends. */
    public fun stop() {
        isStopping = true
        log.write(Event.ENTRY_STOPPING, "owner ${jobs.isOwner}")
        runBlocking {
            withContext(dispatcher) { jobs.stop() }
            delay(STOP_LINGER_MILLIS)
        }
        callerServer.stop(GRACE_MILLIS, TIMEOUT_MILLIS)
        readinessServer.stop(0, 0)
        metricsServer?.stop(0, 0)
        log.write(Event.ENTRY_STOPPED, "done")
        scope.cancel()
        log.flush()
        LogManager.shutdown()
    }

    private fun engineLimits(current: DeploymentLimits): EngineLimits {
        val standard = EngineLimits()
        return standard.copy(
            leaseMillis = minOf(standard.leaseMillis, current.leaseMaxMillis),
            longestLeaseMillis = current.leaseMaxMillis,
            ownerLeaseMillis = OwnerSettings().leaseMillis,
            load = load,
        )
    }

    private fun watch(file: Path) {
        val watch =
            SettingsWatch(file, log, settings) {
                limits = it.limits
                load = it.load
            }
        watch.listen()
        scope.launch { supervise(child("settings watch", watch::run), log) }
    }

    // A burst of calls leaves connections behind that nothing uses afterwards.
    private suspend fun closeIdleConnections() {
        while (true) {
            delay(IDLE_CHECK_INTERVAL_MILLIS)
            link.closeIdleConnections()
            machines?.closeIdleConnections()
            advisor?.closeIdleConnections()
        }
    }

    private suspend fun connectPeers(directory: EntryDirectory) {
        val address = checkNotNull(peerAddress) { "listeners.peers is not set" }
        scope.launch { supervise(child("entry directory", directory::run), log) }
        val endpoint = PeerEndpoint(address.host, address.port, directory.secret())
        val network = SocketPeerNetwork(settings.entry.id, endpoint, clock, log, addresses = directory::peers)
        val relay = StoreRelay(network, scope, link::direct)
        relay.start()
        link.relay = relay
        jobs.connect(network, scope, directory::coresOf)
        supervise(child("peers", network::run), log)
    }

    private fun wavePorts(machines: PlatformMachines) =
        WavePorts(
            machines = machines,
            store = store,
            reports = platformWaveReports,
            waves = { waves.requested },
            ordersPerSecond = settings.limits.machineOrders,
        )

    private fun io.ktor.server.application.Application.readiness() {
        intercept(ApplicationCallPipeline.Call) {
            val status = if (isReady()) HttpStatusCode.OK else HttpStatusCode.ServiceUnavailable
            call.respondText("", status = status)
        }
    }

    // Without the store nothing can be taken in; another entry may still reach it.
    private fun isReady(): Boolean =
        !isStopping && jobs.calls.configuration != null && jobs.storeSilenceMillis < READY_SILENCE_MILLIS

    private fun server(
        listen: String,
        module: io.ktor.server.application.Application.() -> Unit,
    ): EmbeddedServer<*, *> {
        val address = address(listen)
        return embeddedServer(CIO, port = address.port, host = address.host, module = module)
    }

    private fun address(text: String): HostPort = checkNotNull(parseHostPort(text)) { "'$text' is not host:port" }

    private companion object {
        // The balancer asks once a second and turns away after two misses.
        const val STOP_LINGER_MILLIS = 2_200L
        const val GRACE_MILLIS = 200L
        const val TIMEOUT_MILLIS = 1_000L
        const val READY_SILENCE_MILLIS = 2_500L
        const val IDLE_CHECK_INTERVAL_MILLIS = 2_000L

        // The first frames name the place.
        const val MOST_TRACE_CHARS = 1_500
    }
}
