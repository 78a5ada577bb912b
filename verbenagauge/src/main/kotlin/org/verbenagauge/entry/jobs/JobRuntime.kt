package org.verbenagauge.entry.jobs

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.verbenagauge.entry.child
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.jobs.engine.EngineLimits
import org.verbenagauge.entry.jobs.fleet.WavePorts
import org.verbenagauge.entry.jobs.front.JobAdmission
import org.verbenagauge.entry.jobs.front.JobCalls
import org.verbenagauge.entry.jobs.front.JobFront
import org.verbenagauge.entry.jobs.front.StateCatalogue
import org.verbenagauge.entry.jobs.model.JobsConfiguration
import org.verbenagauge.entry.jobs.owner.OwnerBroadcast
import org.verbenagauge.entry.jobs.owner.OwnerPorts
import org.verbenagauge.entry.jobs.owner.OwnerSettings
import org.verbenagauge.entry.jobs.owner.Ownership
import org.verbenagauge.entry.jobs.owner.TakeoverRank
import org.verbenagauge.entry.jobs.ports.PlacementAdvisor
import org.verbenagauge.entry.jobs.ports.RowStore
import org.verbenagauge.entry.jobs.ports.WorkerGateway
import org.verbenagauge.entry.jobs.ports.WorkerList
import org.verbenagauge.entry.logging.Event
import org.verbenagauge.entry.logging.EventLog
import org.verbenagauge.entry.peers.OwnerMessage
import org.verbenagauge.entry.peers.PeerNetwork
import org.verbenagauge.entry.supervise

/**
 * Outside systems that an entry which runs jobs talks to.
 *
 * @property store rows that all entries share.
 * @property workers orders to workers.
 * @property workerList list of workers.
 * @property advisor advice on placement, or null when there is none.
 */
public class JobPorts(
    public val store: RowStore,
    public val workers: WorkerGateway,
    public val workerList: WorkerList,
    public val advisor: PlacementAdvisor? = null,
)

/** Takes jobs of callers and, while this entry is the owner, runs them. Used from one coroutine dispatcher of one thread. */
public class JobRuntime internal constructor(
    entryId: String,
    ports: JobPorts,
    waves: WavePorts?,
    private val clock: Clock,
    private val log: EventLog,
    private val metrics: JobMetrics,
    cores: Double = 0.0,
    limits: () -> EngineLimits,
) {
    private val takeoverRank = TakeoverRank(entryId, cores)
    private var evacuatedZoneIds: Set<String> = emptySet()
    private var reachableCores: () -> Collection<Double> = { emptyList() }
    private val catalogue = StateCatalogue(ports.store, clock)
    private val ownership =
        Ownership(
            entryId = entryId,
            ports = OwnerPorts(ports.store, ports.workers, ports.advisor, ports.workerList, waves),
            catalogue = catalogue,
            clock = clock,
            settings = OwnerSettings(),
            limits = limits,
            log = log,
            rank = { takeoverRank.rank(reachableCores()) },
        )

    private val admission = JobAdmission(catalogue, clock, isEnabled = { limits().load.admission })

    /** Calls of callers. */
    public val calls: JobCalls = JobCalls(JobFront(ports.store, catalogue, clock), clock, log, metrics, admission)

    /** Whether this entry decides on placement now. */
    public val isOwner: Boolean get() = ownership.isOwner

    /** Time since the store last answered this entry. */
    public val storeSilenceMillis: Long get() = catalogue.silenceMillis()

    /** Runs the parts in [scope] until it is cancelled. */
    public fun start(scope: CoroutineScope) {
        scope.launch { supervise(child("state catalogue", catalogue::run), log) }
        scope.launch { supervise(ownership, log) }
        registerGauges()
    }

    /** Gives the duty of the owner up and takes none any more. */
    public fun stop() {
        ownership.stop()
    }

    /** Takes in a newer configuration; an older one changes nothing. */
    public fun configure(newer: JobsConfiguration) {
        val old = calls.configuration?.version
        if (old != null && newer.version <= old) return
        calls.configure(newer)
        ownership.configure(newer)
        log.write(Event.CONFIGURATION_IN_FORCE, "version ${newer.version} after $old, ${newer.queues.size} queues")
    }

    /** Starts nothing more in the availability zones [zoneIds], the evacuated ones; those left out are taken back. */
    public fun evacuate(zoneIds: Set<String>) {
        (zoneIds - evacuatedZoneIds).forEach { log.write(Event.ZONE_EVACUATED, it, "nothing more starts there") }
        (evacuatedZoneIds - zoneIds).forEach { log.write(Event.ZONE_RETURNED, it, "it takes work again") }
        if (zoneIds == evacuatedZoneIds) return
        evacuatedZoneIds = zoneIds
        ownership.evacuate(zoneIds)
    }

    /**
     * Uses [network] for direct news between entries; messages are taken in by [scope]. [coresOf] tells the processor of an
     * entry's machine in cores, or null.
     */
    internal fun connect(
        network: PeerNetwork,
        scope: CoroutineScope,
        coresOf: (entryId: String) -> Double?,
    ) {
        reachableCores = { network.reachable().mapNotNull { coresOf(it.entryId) } }
        val broadcast = OwnerBroadcast(network, clock) { it.forEach(catalogue::recordState) }
        network.subscribe { from, message ->
            if (message is OwnerMessage) scope.launch { broadcast.onMessage(from, message) }
        }
        ownership.broadcast = broadcast
    }

    private fun registerGauges() {
        metrics.gauge("verbenagauge_owner", "1 while this entry decides on placement") { if (isOwner) 1.0 else 0.0 }
        metrics.gauge(
            "verbenagauge_event_age_seconds",
            "Longest wait of an event for its decision in the last five seconds",
        ) {
            ownership.longestEventAgeMillis() / MILLIS_PER_SECOND
        }
        metrics.gauge("verbenagauge_decision_seconds", "Longest decision in the last five seconds") {
            ownership.longestDecisionMillis() / MILLIS_PER_SECOND
        }
        metrics.gauge(
            "verbenagauge_slow_machines",
            "Machines that the owner takes for slow, failing or not staying up",
        ) {
            ownership.slowMachines().toDouble()
        }
        metrics.gauge("verbenagauge_configuration_version", "Version of the configuration in force here") {
            calls.configuration?.version?.toDouble() ?: 0.0
        }
        metrics.gauge("verbenagauge_zones_evacuated", "Availability zones in which nothing starts, as read here") {
            evacuatedZoneIds.size.toDouble()
        }
        metrics.gauge("verbenagauge_store_silence_seconds", "Time since the store last answered this entry") {
            catalogue.silenceMillis() / MILLIS_PER_SECOND
        }
        metrics.gauge(
            "verbenagauge_expected_wait_seconds",
            "Longest expected wait of a queue, as the owner last told",
        ) {
            val pressureByQueue =
                admission
                    .pressureView()
                    ?.pressure
                    ?.byQueue
                    .orEmpty()
            (pressureByQueue.values.maxOfOrNull { it.surplusWaitMillis } ?: 0) / MILLIS_PER_SECOND
        }
        metrics.gauge(
            "verbenagauge_pressure_age_seconds",
            "Age of what the owner last told of load; 0 when nothing is told",
        ) {
            (admission.pressureView()?.ageMillis ?: 0) / MILLIS_PER_SECOND
        }
        metrics.gauge("verbenagauge_pending_jobs", "Accepted jobs without a started task, as the owner last told") {
            val pendingByQueue = catalogue.owner?.record?.pendingByQueue
            pendingByQueue?.values?.sum()?.toDouble() ?: 0.0
        }
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}

/** Creates the service of the entry [entryId] for a deployment without machines to manage. */
public fun jobRuntime(
    entryId: String,
    ports: JobPorts,
    clock: Clock,
    log: EventLog,
    metrics: JobMetrics,
): JobRuntime = JobRuntime(entryId, ports, waves = null, clock, log, metrics) { EngineLimits() }
