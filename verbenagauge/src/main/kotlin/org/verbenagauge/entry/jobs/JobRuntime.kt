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
import org.verbenagauge.entry.jobs.front.PendingCounts
import org.verbenagauge.entry.jobs.front.StateCatalogue
import org.verbenagauge.entry.jobs.model.JobsConfiguration
import org.verbenagauge.entry.jobs.owner.OwnerBroadcast
import org.verbenagauge.entry.jobs.owner.OwnerLease
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
 * External systems that an entry which runs jobs calls.
 *
 * @property store rows shared by all entries.
 * @property workers sends orders to workers.
 * @property advisor advises on placement; null when the deployment has no advisor.
 */
public class JobPorts(
    public val store: RowStore,
    public val workers: WorkerGateway,
    public val workerList: WorkerList,
    public val advisor: PlacementAdvisor? = null,
)

/** Accepts jobs of callers and, while this entry is the owner, runs them. Used on one single-threaded dispatcher. */
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

    // Null before the operator's rows were read.
    private var evacuatedZoneIds: Set<String>? = null
    private var reachableCores: () -> Collection<Double> = { emptyList() }
    private val catalogue = StateCatalogue(ports.store, clock, log)
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

    private val pendingCounts = PendingCounts(catalogue, clock)

    /** Handles the calls of callers. */
    public val calls: JobCalls =
        JobCalls(JobFront(ports.store, catalogue, clock), pendingCounts, clock, log, metrics, admission)

    /** Whether this entry is the owner, which decides on placement. */
    public val isOwner: Boolean get() = ownership.isOwner

    /** Time since the store last answered this entry, in milliseconds. */
    public val storeSilenceMillis: Long get() = catalogue.silenceMillis()

    /** Starts all components in [scope]; they run until it is cancelled. */
    public fun start(scope: CoroutineScope) {
        scope.launch { supervise(child("state catalogue", catalogue::run), log) }
        scope.launch { supervise(ownership, log) }
        registerGauges()
    }

    /** Releases the ownership and does not take it again. */
    public fun stop() {
        ownership.stop()
    }

    /** Applies [newer] if its version is higher than that of the current configuration, and ignores it otherwise. */
    public fun configure(newer: JobsConfiguration) {
        val old = calls.configuration?.version
        if (old != null && newer.version <= old) return
        calls.configure(newer)
        ownership.configure(newer)
        log.write(Event.CONFIGURATION_IN_FORCE, "version ${newer.version} after $old, ${newer.queues.size} queues")
    }

    /** Evacuates the availability zones [zoneIds]: nothing starts there. Zones that it no longer contains return. */
    public fun evacuate(zoneIds: Set<String>) {
        val old = evacuatedZoneIds.orEmpty()
        evacuatedZoneIds = zoneIds
        (zoneIds - old).forEach { log.write(Event.ZONE_EVACUATED, it, "no more tasks start there") }
        (old - zoneIds).forEach { log.write(Event.ZONE_RETURNED, it, "tasks may start there again") }
        if (zoneIds == old) return
        ownership.evacuate(zoneIds)
    }

    /**
     * Uses [network] for direct messages between entries, which are handled in [scope]. [coresOf] returns the number of
     * cores of an entry's machine, or null when it is not known.
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
        metrics.gauge("verbenagauge_owner", "1 while this entry is the owner") { if (isOwner) 1.0 else 0.0 }
        metrics.gauge(
            "verbenagauge_event_age_seconds",
            "Longest time from an event to its decision in the last five seconds",
        ) {
            ownership.longestEventAgeMillis() / MILLIS_PER_SECOND
        }
        metrics.gauge("verbenagauge_decision_seconds", "Longest decision in the last five seconds") {
            ownership.longestDecisionMillis() / MILLIS_PER_SECOND
        }
        metrics.gauge(
            "verbenagauge_slow_machines",
            "Machines that the owner considers slow, failing or not staying up",
        ) {
            ownership.slowMachines().toDouble()
        }
        metrics.gauge("verbenagauge_suspect_jobs", "Jobs of which the owner retries only one task at a time") {
            ownership.suspectJobs().toDouble()
        }
        metrics.gauge(
            "verbenagauge_jobs_of_unknown_queues",
            "Jobs that wait because the owner knows no settings of their queue",
        ) {
            ownership.jobsOfUnknownQueues().toDouble()
        }
        metrics.gauge("verbenagauge_open_tasks", "Tasks that the owner holds, of jobs that are due") {
            ownership.openTasks().toDouble()
        }
        metrics.gauge(
            "verbenagauge_tasks_waiting_for_earlier_runs",
            "Ready tasks that wait until the owner knows the runs of earlier owners",
        ) {
            ownership.tasksWaitingForEarlierRuns().toDouble()
        }
        metrics.gauge(
            "verbenagauge_unreached_jobs",
            "Waiting jobs that the last thorough scheduling pass of the owner left to the next one",
        ) {
            ownership.unreachedJobs().toDouble()
        }
        metrics.gauge(
            "verbenagauge_steps_awaiting_advice",
            "Steps that wait for permission from the advisor to run on a worker",
        ) {
            ownership.stepsAwaitingAdvice().toDouble()
        }
        metrics.gauge(
            "verbenagauge_jobs_with_waiting_occurrences",
            "Jobs of which a part is due but not held by the owner, since it holds too many tasks",
        ) {
            ownership.jobsWithWaitingOccurrences().toDouble()
        }
        metrics.gauge("verbenagauge_owner_row_bytes", "Size of the owner's row, as last read by this entry") {
            catalogue.owner
                ?.record
                ?.let { OwnerLease.encode(it).size }
                ?.toDouble() ?: Double.NaN
        }
        metrics.gauge("verbenagauge_configuration_version", "Version of the configuration in force at this entry") {
            calls.configuration?.version?.toDouble() ?: Double.NaN
        }
        metrics.gauge("verbenagauge_zones_evacuated", "Evacuated availability zones, as read by this entry") {
            evacuatedZoneIds?.size?.toDouble() ?: Double.NaN
        }
        metrics.gauge("verbenagauge_store_silence_seconds", "Time since the store last answered this entry") {
            catalogue.silenceMillis() / MILLIS_PER_SECOND
        }
        metrics.gauge(
            "verbenagauge_expected_wait_seconds",
            "Longest expected wait of a queue, as last reported by the owner",
        ) {
            val pressure = admission.pressureView()?.pressure
            if (pressure == null) {
                Double.NaN
            } else {
                (pressure.byQueue.values.maxOfOrNull { it.surplusWaitMillis } ?: 0) / MILLIS_PER_SECOND
            }
        }
        metrics.gauge(
            "verbenagauge_pressure_age_seconds",
            "Age of the owner's last load report; NaN when there is none",
        ) {
            admission.pressureView()?.let { it.ageMillis / MILLIS_PER_SECOND } ?: Double.NaN
        }
        metrics.gauge(
            "verbenagauge_pending_jobs",
            "Accepted jobs without a started task, as counted by the owner; NaN when that is not known",
        ) { pendingCounts.total()?.toDouble() ?: Double.NaN }
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}

/** Creates the job runtime of the entry [entryId] for a deployment without machines to manage. */
public fun jobRuntime(
    entryId: String,
    ports: JobPorts,
    clock: Clock,
    log: EventLog,
    metrics: JobMetrics,
): JobRuntime = JobRuntime(entryId, ports, waves = null, clock, log, metrics) { EngineLimits() }
