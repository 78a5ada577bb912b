package org.verbenagauge.entry

import io.ktor.server.engine.EmbeddedServer
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.delay
import org.verbenagauge.entry.account.JobRecord
import org.verbenagauge.entry.account.TeamMeter
import org.verbenagauge.entry.account.entryAccount
import org.verbenagauge.entry.account.register
import org.verbenagauge.entry.admission.AdmissionTicker
import org.verbenagauge.entry.admission.JobService
import org.verbenagauge.entry.admission.OPEN_TEAM_ID
import org.verbenagauge.entry.admission.admissionMetrics
import org.verbenagauge.entry.caller.CallerLimits
import org.verbenagauge.entry.caller.callerListener
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.clock.systemClock
import org.verbenagauge.entry.fleet.FleetManager
import org.verbenagauge.entry.fleet.ListRecorder
import org.verbenagauge.entry.fleet.PoolDemand
import org.verbenagauge.entry.fleet.fleetManager
import org.verbenagauge.entry.idempotency.entryClaims
import org.verbenagauge.entry.listener.ListenerAddress
import org.verbenagauge.entry.listener.TlsIdentity
import org.verbenagauge.entry.listener.TlsOutcome
import org.verbenagauge.entry.listener.TlsReloader
import org.verbenagauge.entry.logging.Event
import org.verbenagauge.entry.logging.EventLog
import org.verbenagauge.entry.model.Resource
import org.verbenagauge.entry.operator.AdministrationParts
import org.verbenagauge.entry.operator.ChangeReporter
import org.verbenagauge.entry.operator.Health
import org.verbenagauge.entry.operator.administrationRoutes
import org.verbenagauge.entry.operator.operatorListener
import org.verbenagauge.entry.operator.statusView
import org.verbenagauge.entry.placement.EndpointClientLimits
import org.verbenagauge.entry.placement.endpointsByPool
import org.verbenagauge.entry.placement.httpEndpointClient
import org.verbenagauge.entry.placement.placementLog
import org.verbenagauge.entry.rights.entryRights
import org.verbenagauge.entry.rights.fixedSplit
import org.verbenagauge.entry.settings.EntrySettings
import org.verbenagauge.entry.state.FleetView
import org.verbenagauge.entry.state.control.ControlState
import org.verbenagauge.entry.state.document.QueueClass
import org.verbenagauge.entry.state.entryState
import org.verbenagauge.entry.state.log.InForceLog
import org.verbenagauge.entry.state.store.Platform
import org.verbenagauge.entry.state.store.httpPlatform

private const val STOP_POLL_MILLIS = 20L
private const val LISTENER_GRACE_MILLIS = 500L
private const val LISTENER_TIMEOUT_MILLIS = 2_000L
private const val MIN_ACCOUNT_CLOSE_MILLIS = 2_000L
private const val CONNECTIONS_PER_ENDPOINT = 64

/** Root supervisor of one entry instance. */
public class Entry internal constructor(
    private val settings: EntrySettings,
    platform: Platform,
    private val clock: Clock,
) {
    private val log = EventLog(settings.entry.id)
    private val supervisor = Supervisor(log)
    private val registry = PrometheusRegistry()
    private val answers =
        Counter
            .builder()
            .name("verbenagauge_answers_total")
            .help("Answers to callers by verdict and reason")
            .labelNames("verdict", "reason")
            .register(registry)

    private val teamMeter = TeamMeter()

    @Volatile private var stopping = false

    @Volatile private var lastView = FleetView(ControlState(), emptyList())

    private val instances = ListRecorder(platform.instances, clock)
    private val state =
        entryState(settings, Platform(platform.table, platform.objects, instances), clock, log, ::publish)

    /** Drives waves and moves. */
    public val fleet: FleetManager = fleetManager(settings, state, instances, ::demandOf, clock, log)

    private val account = entryAccount(settings.entry, state, clock, log)

    private val rights = entryRights(settings.entry, state, clock, log, Resource.Team(OPEN_TEAM_ID))
    private val claims = entryClaims(state.platform.table, clock, log)

    private val jobs =
        JobService(
            clock = clock,
            endpointClient =
                httpEndpointClient(
                    EndpointClientLimits(
                        connectTimeoutMillis = settings.limits.connectTimeoutMillis,
                        maxAnswerBytes = settings.limits.maxAnswerBytes,
                        maxConnectionsPerEndpoint = connectionsPerEndpoint(),
                    ),
                ),
            rights = rights.rights,
            fleetService = rights.fleetService,
            claims = claims.claims,
            freshness = state.service,
            observer = ::answered,
            maxJobs = settings.limits.maxJobs,
            maxQueuedPerPool = settings.limits.maxQueuedPerPool,
            notify = placementLog(log),
        )

    init {
        admissionMetrics(registry, jobs)
    }

    private val inForceLog = InForceLog(state.platform.table, state.service, settings.entry.id, clock)

    private val callerTls = settings.caller.tls?.let(::TlsIdentity)
    private val operatorTls = settings.operator.tls?.let(::TlsIdentity)

    private val callers: EmbeddedServer<*, *> =
        callerListener(
            ListenerAddress(settings.caller.host, settings.caller.port, callerTls),
            CallerLimits(settings.limits.maxBodyBytes, settings.limits.maxHeaderBytes),
            jobs,
        )

    private val operators: EmbeddedServer<*, *> =
        operatorListener(
            ListenerAddress(settings.operator.host, settings.operator.port, operatorTls),
            registry,
            ::health,
            administrationRoutes(
                AdministrationParts(
                    state.changes,
                    state.platform.table,
                    inForceLog,
                    state.service,
                    account::status,
                    ::fleetStatus,
                    clock,
                    ChangeReporter(log, registry),
                ),
                settings.administration,
                overTls = operatorTls != null,
            ),
        )

    /** Starts the listeners and the children of this supervisor. */
    public suspend fun start() {
        startTls("caller", callerTls)
        startTls("operator", operatorTls)
        operators.start(wait = false)
        callers.start(wait = false)
        state.register(registry)
        state.children.forEach(supervisor::start)
        account.register(registry)
        supervisor.start(account)
        supervisor.start(inForceLog)
        rights.child?.let(supervisor::start)
        supervisor.start(claims.child)
        supervisor.start(AdmissionTicker(jobs))
        supervisor.start(fleet)
        log.write(Event.ENTRY_STARTED, "entry '${settings.entry.id}' listens for callers on port ${callerPort()}")
    }

    /** Port of the caller listener. */
    public suspend fun callerPort(): Int =
        callers.engine
            .resolvedConnectors()
            .first()
            .port

    /** Port of the operator listener. */
    public suspend fun operatorPort(): Int =
        operators.engine
            .resolvedConnectors()
            .first()
            .port

    /** Waits until this entry has read the configuration for the first time. */
    public suspend fun awaitReady(): Unit = state.service.awaitReady()

    /** Health as the balancer sees it. */
    public fun health(): Health =
        when {
            stopping -> Health.STOPPING
            !state.service.isReady() -> Health.STARTING
            !state.service.isFresh() -> Health.STALE
            else -> Health.READY
        }

    /**
     * Stops gracefully: refuses new requests, waits for the held ones and for the balancer to turn away, then closes
     * the listeners.
     */
    public suspend fun stop() {
        stopping = true
        log.write(Event.ENTRY_STOPPING, "entry '${settings.entry.id}' stops with ${jobs.heldCount} requests held")
        val stopAtMillis = clock.monotonicMillis()
        val stopByMillis = stopAtMillis + settings.limits.stopTimeoutMillis
        jobs.stopAccepting(stopByMillis)
        while (jobs.heldCount > 0 && clock.monotonicMillis() < stopByMillis) delay(STOP_POLL_MILLIS)
        rights.handOver(clock)
        claims.close(clock)
        while (clock.monotonicMillis() < stopAtMillis + settings.limits.stopLingerMillis) delay(STOP_POLL_MILLIS)
        state.service.leave()
        callers.stopSuspend(LISTENER_GRACE_MILLIS, LISTENER_TIMEOUT_MILLIS)
        account.close(maxOf(stopByMillis, clock.monotonicMillis() + MIN_ACCOUNT_CLOSE_MILLIS))
        operators.stopSuspend(LISTENER_GRACE_MILLIS, LISTENER_TIMEOUT_MILLIS)
        supervisor.stop()
        log.write(Event.ENTRY_STOPPED, "entry '${settings.entry.id}' has stopped")
    }

    private fun startTls(
        listener: String,
        identity: TlsIdentity?,
    ) {
        if (identity == null) return
        val outcome = identity.load()
        require(outcome !is TlsOutcome.Invalid) { "tls of the $listener listener: $outcome" }
        supervisor.start(TlsReloader(listener, identity, log))
    }

    private suspend fun answered(record: JobRecord) {
        answers.labelValues(record.reason.verdict.headerValue, record.reason.code).inc()
        teamMeter.add(record, clock.monotonicMillis())
        account.answered(record)
    }

    private fun fleetStatus() =
        statusView(
            settings.entry.id,
            lastView,
            state.service.versionInForceEverywhere(),
            teamMeter.usage(clock.monotonicMillis()),
        )

    private fun demandOf(poolId: String) =
        PoolDemand(
            urgentWaiting = jobs.waitingCount(poolId, QueueClass.URGENT),
            deferrableWaiting = jobs.waitingCount(poolId, QueueClass.DEFERRABLE),
        )

    private fun publish(view: FleetView) {
        lastView = view
        account.changed(view.control)
        rights.update(view)
        jobs.update(view.control.configuration, endpointsByPool(view))
    }

    private fun connectionsPerEndpoint(): Int =
        maxOf(1, fixedSplit(CONNECTIONS_PER_ENDPOINT, settings.entry.index, settings.entry.count))
}

/** Creates an entry instance whose platform is reached over HTTP. */
public fun entry(settings: EntrySettings): Entry =
    Entry(settings, httpPlatform(settings.platform.baseUrl, settings.platform.timeoutMillis), systemClock())

/** Creates an entry instance on [platform] and [clock]. */
public fun entry(
    settings: EntrySettings,
    platform: Platform,
    clock: Clock,
): Entry = Entry(settings, platform, clock)
