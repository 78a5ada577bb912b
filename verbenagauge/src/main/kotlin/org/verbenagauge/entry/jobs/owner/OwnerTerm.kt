package org.verbenagauge.entry.jobs.owner

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.jobs.engine.EngineAction
import org.verbenagauge.entry.jobs.engine.JobEngine
import org.verbenagauge.entry.jobs.fleet.MachineListCache
import org.verbenagauge.entry.jobs.fleet.PoolMover
import org.verbenagauge.entry.jobs.fleet.WavePorts
import org.verbenagauge.entry.jobs.fleet.WaveRunner
import org.verbenagauge.entry.jobs.ports.OrderOutcome
import org.verbenagauge.entry.jobs.ports.PlacementAdvisor
import org.verbenagauge.entry.jobs.ports.RowStore
import org.verbenagauge.entry.jobs.ports.StartOrder
import org.verbenagauge.entry.jobs.ports.WorkerAddress
import org.verbenagauge.entry.jobs.ports.WorkerGateway
import org.verbenagauge.entry.jobs.ports.WorkerList
import org.verbenagauge.entry.logging.EventLog

/**
 * Interfaces of the owner to other systems.
 *
 * @property store tables of jobs, states, progress and roster.
 * @property workers sends orders to workers and lists their runs.
 * @property advisor advises on placement; null when there is none.
 * @property workerList reads the platform's list of workers.
 * @property waves what maintenance waves need; null when there are no machines to manage.
 */
internal class OwnerPorts(
    val store: RowStore,
    val workers: WorkerGateway,
    val advisor: PlacementAdvisor?,
    val workerList: WorkerList,
    val waves: WavePorts?,
)

/** One term of one owner: the engine, the feeds that supply it and the drivers that carry out its actions. */
internal class OwnerTerm(
    private val ports: OwnerPorts,
    private val lease: OwnerLease,
    private val engine: JobEngine,
    private val cleaner: EndedJobCleaner,
    progressRows: ProgressRows,
    private val workVersion: Long,
    private val clock: Clock,
    private val settings: OwnerSettings,
    private val log: EventLog,
    private val broadcast: OwnerBroadcast?,
) {
    private val signal = Channel<Unit>(Channel.CONFLATED)
    private val drivers = HashMap<String, WorkerDriver>()
    private val endReason = CompletableDeferred<String>()
    private val writer = OwnerWriter(lease, engine, clock, settings, cleaner, progressRows)
    private val lanes = OrderLanes(ports.workers, clock, engine::connectionLimitOf)
    private val unansweredOrders = UnansweredOrderLog(log)
    private var unusedCheckAtMillis = Long.MIN_VALUE / 2
    private var releaseRequested = false

    /** Latency of the decisions of this term. */
    val decisionLatency = DecisionLatency()

    /** Ends the term; [run] then releases ownership in the store. */
    fun release() {
        releaseRequested = true
        endReason.complete("released")
    }

    /** Makes the engine decide soon. */
    fun wake() {
        decisionLatency.recordEvent(clock.monotonicMillis())
        signal.trySend(Unit)
    }

    /** Runs until ownership is lost or released; returns the reason. */
    suspend fun run(): String =
        try {
            runParts()
        } finally {
            closeConnections()
        }

    private suspend fun runParts(): String =
        coroutineScope {
            val tasks =
                launch {
                    launch {
                        WorkFollower(
                            ports.store,
                            engine,
                            clock,
                            workVersion,
                            log,
                            cleaner::recordRefusal,
                            cleaner::recordUnusedCancellation,
                            ::wake,
                        ).run()
                    }
                    launch { WorkerFollower(ports.workerList, engine, clock, ::wake).run() }
                    launch { decideLoop(this) }
                    cleaner.onJobRemoved = engine.state::forgetEnd
                    cleaner.onCancellationRemoved = engine.state::forgetEarlyCancellation
                    launch { cleaner.run() }
                    broadcast?.let { launch { it.sendHeartbeats(engine.state.epoch) } }
                    ports.waves?.let { waves ->
                        val cache = MachineListCache(waves.machines, clock)
                        engine.state.pressure.machinesUp = cache::machinesUp
                        launch { waveRunner(waves, cache).run() }
                        launch { poolMover(waves, cache).run() }
                    }
                    launch {
                        val lost =
                            writer.run { states ->
                                broadcast?.publishStates(states)
                                wake()
                            }
                        endReason.complete("owner row is held by '${lost.to?.entryId}', epoch ${lost.to?.epoch}")
                    }
                }
            val reason = endReason.await()
            tasks.cancel()
            closeConnections()
            tasks.join()
            // The next owner relies on it that no order is sent after the release.
            if (releaseRequested) {
                lease.release(engine.rosterForNextOwner().map(::rosterRow))
            }
            reason
        }

    private fun closeConnections() {
        drivers.values.forEach { it.close() }
        lanes.close()
    }

    private fun waveRunner(
        waves: WavePorts,
        cache: MachineListCache,
    ) = WaveRunner(waves, cache, engine, clock, log, mayOrder = writer::isLeaseValid, onFenced = ::endFenced)

    private fun poolMover(
        waves: WavePorts,
        cache: MachineListCache,
    ) = PoolMover(
        gateway = waves.machines,
        cache = cache,
        engine = engine,
        clock = clock,
        log = log,
        mayOrder = writer::isLeaseValid,
        onFenced = ::endFenced,
        ordersPerSecond = waves.ordersPerSecond,
    )

    private fun endFenced(subject: String) {
        endReason.complete("$subject has seen a higher epoch than ${engine.state.epoch}")
    }

    private suspend fun decideLoop(scope: CoroutineScope) {
        var fullDecisionAtMillis = Long.MIN_VALUE / 2
        while (true) {
            withTimeoutOrNull(TICK_MILLIS) { signal.receive() }
            val now = clock.monotonicMillis()
            engine.mayStart = writer.isLeaseValid()
            if (now - fullDecisionAtMillis >= FULL_DECISION_INTERVAL_MILLIS) {
                fullDecisionAtMillis = now
                engine.decide(now, clock.wallMillis()).forEach { execute(scope, it) }
                drivers.values.removeIf { it.isClosed }
                closeUnusedConnections(now)
            } else {
                engine.react(now).forEach { execute(scope, it) }
            }
            if (engine.hasChanges) writer.wake()
            // Collects events of a short time for one decision, of a longer time on a machine short of processor
            // time.
            val endMillis = clock.monotonicMillis()
            decisionLatency.recordDecision(now, endMillis)
            val durationMillis = endMillis - now
            delay((durationMillis * IDLE_RATIO).coerceIn(MIN_BATCH_MILLIS, MAX_BATCH_MILLIS))
        }
    }

    private fun closeUnusedConnections(now: Long) {
        if (now - unusedCheckAtMillis < UNUSED_CHECK_INTERVAL_MILLIS) return
        unusedCheckAtMillis = now
        // A driver that has nothing to list waits and does not see that its worker is gone.
        drivers.values.filter { it.isObsolete }.forEach { it.close() }
        drivers.values.removeIf { it.isClosed }
        lanes.closeUnused(drivers.values.mapTo(HashSet()) { it.address })
        unansweredOrders.retain(drivers.keys)
    }

    private fun execute(
        scope: CoroutineScope,
        action: EngineAction,
    ) {
        when (action) {
            is EngineAction.Start -> scope.launch { start(action) }
            is EngineAction.Stop -> scope.launch { stop(action) }
            is EngineAction.Pace -> scope.launch { pace(action) }
            is EngineAction.Watch -> watch(scope, action.address)
            is EngineAction.AskAdvice -> scope.launch { advise(action) }
            is EngineAction.Note ->
                log.write(eventOf(action.note.kind), action.note.subject, action.note.detail)
        }
    }

    private suspend fun start(action: EngineAction.Start) {
        val sentAtMillis = clock.monotonicMillis()
        val workerId = action.address.workerId
        val outcome =
            send(action.address, {
                whyStartIsWithheld(workerId, action.order)
            }) { ports.workers.start(action.address, action.order) }
        if (outcome !is OrderOutcome.Done && outcome !is OrderOutcome.Refused) delay(ORDER_RETRY_MILLIS)
        val isOwner = engine.handleStartOutcome(workerId, action.order, outcome, clock.monotonicMillis(), sentAtMillis)
        endIfFenced(isOwner, workerId)
        wake()
    }

    private fun whyStartIsWithheld(
        workerId: String,
        order: StartOrder,
    ): OrderOutcome.Withheld? =
        when {
            !engine.isStartDue(workerId, order) -> notDue
            !writer.isLeaseValid() -> leaseUncertain
            engine.isEvacuated(workerId) -> zoneEvacuated
            !engine.mayGrant(workerId) -> workerSilent
            else -> null
        }

    private suspend fun stop(action: EngineAction.Stop) {
        val sentAtMillis = clock.monotonicMillis()
        val outcome =
            send(action.address, ::whyOrderIsWithheld) {
                ports.workers.stop(action.address, action.taskId, action.runId, engine.state.epoch)
            }
        val now = clock.monotonicMillis()
        val workerId = action.address.workerId
        endIfFenced(
            engine.handleStopOutcome(workerId, action.taskId, action.runId, outcome, now, sentAtMillis),
            workerId,
        )
    }

    private suspend fun pace(action: EngineAction.Pace) {
        send(action.address, ::whyOrderIsWithheld) {
            ports.workers.pace(action.address, action.taskId, action.runId, action.percentage, engine.state.epoch)
        }
    }

    private fun whyOrderIsWithheld(): OrderOutcome.Withheld? = leaseUncertain.takeIf { !writer.isLeaseValid() }

    private suspend fun send(
        address: WorkerAddress,
        withhold: () -> OrderOutcome.Withheld?,
        order: suspend () -> OrderOutcome,
    ): OrderOutcome {
        val outcome = lanes.laneOf(address).send(withhold, order)
        unansweredOrders.record(address.workerId, outcome, clock.monotonicMillis())
        return outcome
    }

    private suspend fun advise(action: EngineAction.AskAdvice) {
        val tickets = ports.advisor?.ticketsFor(action.stepKey, action.workerIds)
        engine.handleAdvice(action.stepKey, tickets, clock.monotonicMillis())
        wake()
    }

    private fun watch(
        scope: CoroutineScope,
        address: WorkerAddress,
    ) {
        if (drivers[address.workerId]?.address != address) drivers.remove(address.workerId)?.close()
        val driver =
            drivers.getOrPut(address.workerId) {
                WorkerDriver(address, ports.workers.listings(address), engine, clock, settings).also {
                    scope.launch { drive(it) }
                }
            }
        driver.wake()
    }

    private suspend fun drive(driver: WorkerDriver) {
        driver.run(writer, ::wake)
        if (driver.isFenced) endIfFenced(false, driver.workerId)
    }

    private fun endIfFenced(
        isOwner: Boolean,
        workerId: String,
    ) {
        if (!isOwner) endFenced("worker '$workerId'")
    }

    private companion object {
        val notDue = OrderOutcome.Withheld("its run is no longer to start")
        val leaseUncertain = OrderOutcome.Withheld("the owner's lease may have expired")
        val zoneEvacuated = OrderOutcome.Withheld("the worker's zone is evacuated")
        val workerSilent = OrderOutcome.Withheld("the worker is silent, and the end of its leases is stored")
        const val TICK_MILLIS = 100L

        // State that changes with time alone changes in steps of tenths of a second.
        const val FULL_DECISION_INTERVAL_MILLIS = 50L

        // Less than a round trip to a worker.
        const val MIN_BATCH_MILLIS = 3L
        const val MAX_BATCH_MILLIS = 50L

        // Leaves most of the processor time to answers and orders.
        const val IDLE_RATIO = 4L
        const val ORDER_RETRY_MILLIS = 80L
        const val UNUSED_CHECK_INTERVAL_MILLIS = 1_000L
    }
}
