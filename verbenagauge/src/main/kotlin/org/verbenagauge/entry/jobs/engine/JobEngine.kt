package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.jobs.model.Amount
import org.verbenagauge.entry.jobs.model.JobsConfiguration
import org.verbenagauge.entry.jobs.model.TaskId
import org.verbenagauge.entry.jobs.model.sizeProblem
import org.verbenagauge.entry.jobs.ports.ListedWorker
import org.verbenagauge.entry.jobs.ports.ListingOutcome
import org.verbenagauge.entry.jobs.ports.OrderOutcome
import org.verbenagauge.entry.jobs.ports.Renewal
import org.verbenagauge.entry.jobs.ports.StartOrder
import org.verbenagauge.entry.jobs.ports.StartRefusal
import org.verbenagauge.entry.jobs.ports.WorkerAddress
import org.verbenagauge.entry.jobs.records.JobRecord
import org.verbenagauge.entry.jobs.records.ProgressRecord
import org.verbenagauge.entry.jobs.records.RosterRecord
import org.verbenagauge.entry.load.ColdCapacityRule
import org.verbenagauge.entry.load.FullCapacity
import org.verbenagauge.entry.load.WarmUpCapacity

/**
 * Decides which task runs on which worker during one epoch of one owner. A deterministic state machine: it consumes
 * events with their timestamps and returns actions. It has no clock, thread or connection of its own and must be used
 * from a single coroutine.
 *
 * All `now` values are milliseconds of one monotonic clock.
 *
 * @param epoch epoch of the owner, sent as the fencing token with every order.
 * @param limits time limits and the decisions under load that are enabled.
 * @param now time at which the epoch begins; an earlier owner may still send orders after it, until its lease expires.
 */
internal class JobEngine(
    epoch: Long,
    private val limits: EngineLimits,
    now: Long,
    order: (RunTimes) -> JobOrder = limits.load.order(),
    placement: PackingPlacement = PackingPlacement(),
    copies: CopyPolicy? = null,
    coldRoom: ColdCapacityRule = if (limits.load.coldWorkers) WarmUpCapacity() else FullCapacity(),
) {
    val state = EngineState(epoch, limits, now)
    private val runs = RunTracker(state)
    private val health = WorkerHealth(state)
    private val accounts = AccountUsage(state)
    internal val ready = ReadyJobs(order(state.runTimes), state.runTimes, accounts)
    private val registry = JobRegistry(state, runs, ready, accounts)
    private val workers = WorkerRemover(state, runs)
    private val answers = OrderOutcomeHandler(state, runs, health, workers)
    private val doubts = SuspectJobs(state)
    private val lastingRestarts = LastingRestarts(state)
    private val listings = ListingReader(state, registry, runs, health, doubts, lastingRestarts)
    private val earlierRuns = EarlierRuns(state)
    private val waits = StartWaits(state)
    private val unreached = UnreachedJobs(state)
    private val adviceReport = AdviceReport(state)
    private val advice = AdviceQueue(state)
    private val scheduler =
        Scheduler(
            state,
            runs,
            ready,
            placement,
            copies ?: copyPolicy(state),
            earlierRuns,
            doubts,
            waits,
            unreached,
            advice,
            adviceReport,
        )
    private val stuckGuard = StuckGuard(state, runs, health)
    private val rescue = StragglerRescue(state, runs).takeIf { limits.load.stragglerRescue }
    private val paceGuard = PaceGuard(state)
    private val gangGuard = GangGuard(state, runs)
    private val evacuation = Evacuation(state, runs)
    private val leavingWorkers = LeavingWorkers(state, runs, earlierRuns, placement, doubts)
    private val coldWorkers = ColdWorkerLimiter(state, coldRoom)
    private val accountReport = AccountSurplusReport(state, accounts)
    private val silentWorkers = SilentWorkers(state)

    /** Whether new runs may be ordered; false while it is uncertain that the owner still holds its lease. */
    var mayStart = true

    init {
        accounts.onShareChanged = ready::rankChanged
        doubts.onSuspicionChanged = ready::rankChanged
        placement.rackOf = { state.workers[it]?.listed?.rack }
    }

    /** Applies [configuration] if its version is higher than the current one, also to the jobs that are known. */
    fun configure(
        configuration: JobsConfiguration,
        now: Long = state.startedAtMillis,
    ) {
        if (configuration.version <= (state.configuration?.version ?: -1)) return
        state.configuration = configuration
        accounts.configure(configuration)
        registry.reconfigure(now)
    }

    /**
     * Sets the evacuated availability zones to [zoneIds]. No run is started there until a later call omits the zone;
     * runs that are already there continue.
     */
    fun evacuate(
        zoneIds: Set<String>,
        now: Long,
    ) {
        val returnedIds = state.evacuatedZones.zoneIds - zoneIds
        evacuation.evacuate(zoneIds)
        evacuation.check(now)
        coldWorkers.onZonesReturned(returnedIds, now)
    }

    /** Whether [workerId] may be sent orders that grant leases; a recorded end of its leases is removed first. */
    fun mayGrant(workerId: String): Boolean = state.roster.mayGrant(workerId)

    /** Connections that [workerId] accepts from all callers together; 0 if not known. */
    fun connectionLimitOf(workerId: String): Long {
        val serviceName = state.workers[workerId]?.listed?.serviceName ?: return 0
        return state.configuration
            ?.services
            ?.get(serviceName)
            ?.connectionLimit ?: 0
    }

    /** Whether [order] is still to be sent to [workerId]: a copy of it may be there, or its run is to start there. */
    fun isStartDue(
        workerId: String,
        order: StartOrder,
    ): Boolean {
        val worker = state.workers[workerId] ?: return false
        val run = worker.runs[order.taskId]?.takeIf { it.runId == order.runId } ?: return false
        return run.phase == RunPhase.STARTING && (run.isUncertain || worker.listed.isReady)
    }

    /** Whether [workerId] must not get new runs because its availability zone is evacuated. */
    fun isEvacuated(workerId: String): Boolean = state.workers[workerId]?.let(state.evacuatedZones::includes) ?: false

    /** Adds a job that was accepted in an earlier epoch, with its stored [progress]; null if none was stored. */
    fun inherit(
        id: String,
        record: JobRecord,
        progress: ProgressRecord?,
        acceptedAtMillis: Long,
        now: Long,
    ) {
        if (isTooLarge(id, record)) return
        registry.accept(id, record, acceptedAtMillis, progress, mayHaveEarlierRuns = true, now = now)
        listings.applyDeferredListings(id, now)
    }

    /** Adds a job that had not been read when the epoch began. */
    fun accept(
        id: String,
        record: JobRecord,
        now: Long,
    ) {
        if (isTooLarge(id, record)) return
        // The earlier owner may also have read this job, and may send orders until its lease expires.
        val mayHaveEarlierRuns = state.jobsReadAsOfMillis <= state.startedAtMillis + limits.ownerLeaseMillis
        registry.accept(id, record, now, progress = null, mayHaveEarlierRuns = mayHaveEarlierRuns, now = now)
        listings.applyDeferredListings(id, now)
    }

    // A release that did not limit the size may have stored such a job. Loading it would crash this owner, and then
    // every owner that takes over.
    private fun isTooLarge(
        id: String,
        record: JobRecord,
    ): Boolean {
        val problem = sizeProblem(record.specification) ?: return false
        state.note(NoteKind.JOB_TOO_LARGE, id, problem)
        return true
    }

    /** Records that every job accepted before [asOfMillis] has been read. */
    fun markJobsRead(asOfMillis: Long) {
        state.jobsReadAsOfMillis = maxOf(state.jobsReadAsOfMillis, asOfMillis)
        state.endsOfUnreadJobs.discardListedBefore(state.jobsReadAsOfMillis)
    }

    /** Cancels the job [id]; returns false if it has ended or is unknown. */
    fun cancel(
        id: String,
        now: Long,
    ): Boolean = registry.cancel(id, now)

    /** Orders [run] to stop, so that its task can start on another worker. */
    fun stop(
        run: Run,
        now: Long,
    ) {
        runs.stop(run, now)
    }

    /**
     * Whether every worker that may hold a run has a row in the stored roster at [now]. Holds even if an earlier owner
     * stored no roster, once all leases of earlier owners have expired.
     */
    fun isRosterComplete(now: Long): Boolean = earlierRuns.haveLeasesExpired(now)

    /** Whether there are changes to store. */
    val hasChanges: Boolean get() = state.hasChanges || state.roster.hasChanges

    /** Adds or updates a worker from its entry [listed] in the platform's worker list. */
    fun upsertWorker(
        listed: ListedWorker,
        now: Long,
    ) {
        val known = state.workers[listed.address.workerId]
        if (state.isEndedIncarnation(listed)) return
        if (known == null) {
            val worker = WorkerEntry(listed, now)
            worker.coldness.recordColdMillis(listed.coldMillis, now)
            state.add(worker)
            state.emit(EngineAction.Watch(listed.address))
            recordInAdvance(worker)
            return
        }
        known.isListed = true
        known.coldness.recordColdMillis(listed.coldMillis, now)
        val isNewIncarnation = listed.bornUnixMillis != 0L && listed.bornUnixMillis != known.bornUnixMillis
        val isMoved = listed.address != known.listed.address
        state.relist(known, listed)
        // Answers from the previous address say nothing about the worker at the new one.
        if (isMoved) known.incarnationSinceMillis = now
        if (isNewIncarnation || isMoved) {
            known.hasAnswered = false
            recordInAdvance(known)
        }
        // Repeated with each list entry: a driver for the previous address may still have been active the last time.
        if (!known.hasAnswered || known.firstFailureMillis != null) state.emit(EngineAction.Watch(listed.address))
    }

    // Stores in advance that the worker may hold runs of these queues, so that the first task of a queue need not wait
    // for the store. Limited in number, because with many queues most are idle and their names would only enlarge the
    // rows.
    private fun recordInAdvance(worker: WorkerEntry) {
        val queueNames =
            state.configuration
                ?.queues
                .orEmpty()
                .asSequence()
                .filter { it.serviceName == worker.listed.serviceName }
                .take(MAX_QUEUES_RECORDED_IN_ADVANCE)
                .mapTo(LinkedHashSet()) { it.name }
        if (queueNames.isNotEmpty()) state.roster.ensureRecorded(worker, queueNames)
    }

    /** Adds a worker that may hold runs of earlier owners; it is queried even if the platform does not list it. */
    fun restoreWorker(
        workerId: String,
        record: RosterRecord,
        now: Long,
    ) {
        // An owner of a release without such records may have granted leases since.
        val leaseEnd = record.leaseEnd?.takeIf { it.epoch >= state.leaseEndsSinceEpoch }
        state.roster.restore(workerId, record.copy(leaseEnd = leaseEnd))
        val worker = WorkerEntry(restoredWorker(workerId, record), now)
        worker.isListed = false
        state.add(worker)
        state.emit(EngineAction.Watch(worker.listed.address))
    }

    // The platform's list supplies what the roster does not store; until then the worker gets no work.
    private fun restoredWorker(
        workerId: String,
        record: RosterRecord,
    ) = ListedWorker(
        address = WorkerAddress(workerId, record.host, record.port),
        serviceName = record.serviceName,
        zoneId = "",
        rack = "",
        labels = emptySet(),
        capacity = Amount(),
        isReady = false,
        bornUnixMillis = record.bornUnixMillis,
        machineId = record.machineId,
    )

    // A machine runs one worker at a time. When a worker answers, every other worker of its machine that was last seen
    // and last answered before that request was sent has ended. Start times prove nothing, since clocks may be set.
    private fun dropEarlierIncarnations(
        answering: WorkerEntry,
        sentAtMillis: Long,
        now: Long,
    ) {
        val machineId = answering.listed.machineId
        if (machineId.isEmpty()) return
        val machineWorkers = state.workersOn(machineId)
        if (machineWorkers.size < 2) return
        machineWorkers
            .filter { it !== answering }
            .filter { it.seenAtMillis < sentAtMillis && it.lastAnswerMillis < sentAtMillis }
            .toList()
            .forEach { workers.drop(it, "a newer worker on machine '$machineId' has answered", now) }
    }

    /** Records that the platform's list no longer contains [workerId]. */
    fun unlist(
        workerId: String,
        now: Long,
    ) {
        state.endedWorkers -= workerId
        val worker = state.workers[workerId] ?: return
        if (worker.isListed) worker.unlistedSinceMillis = now
        worker.isListed = false
        dropSettled(worker, now)
    }

    // Until the worker has reported all its runs and ends, and those are stored, it may hold runs of earlier owners or
    // the only record of how they ended.
    private fun dropSettled(
        worker: WorkerEntry,
        now: Long,
    ) {
        if (!worker.isListed && isSettled(worker)) workers.drop(worker, "the platform no longer lists it", now)
    }

    private fun isSettled(worker: WorkerEntry): Boolean {
        if (!worker.hasReportedAll || worker.runs.isNotEmpty()) return false
        return worker.storedEnd >= worker.seenEnd && !state.endsOfUnreadJobs.hasAny(worker)
    }

    /**
     * Changes of the roster for the next owner, the most useful ones first: the ends of leases that are not stored yet,
     * and the removal of workers that hold nothing, beginning with those not heard for longest. Valid while no order is
     * sent.
     */
    fun rosterForNextOwner(): List<RosterChange> {
        silentWorkers.recordUnheard()
        val settled =
            state.workers.values
                .filter { isSettled(it) && state.roster.isStored(it.id) }
                .sortedBy { it.lastAnswerMillis }
        val changes = state.roster.unstoredLeaseEnds() + settled.map { RosterChange(it.id, null) }
        // A worker that holds nothing is removed, also if the end of its leases is not stored yet.
        return changes.associateBy { it.workerId }.values.toList()
    }

    /** Records that the machine of [workerId] was shut down on request, so that nothing runs there any more. */
    fun handleMachineStopped(
        workerId: String,
        now: Long,
    ) {
        val worker = state.workers[workerId]
        worker?.let { workers.drop(it, "its machine was shut down", now) }
        state.endedWorkers[workerId] = worker?.listed?.bornUnixMillis
    }

    /**
     * Returns the next renewal to send to [workerId]; null if it needs none. Without [isProven], that is, as long as
     * the connection has not answered yet, the renewal grants no lease and acknowledges no ends.
     */
    fun renewal(
        workerId: String,
        waitMillis: Long,
        isProven: Boolean,
        now: Long,
    ): Renewal? {
        val worker = state.workers[workerId] ?: return null
        if (!worker.needsRenewal()) return null
        // After a call without a readable listing nothing is granted or acknowledged until the next readable one, so
        // that the leases of the runs there expire if none arrives.
        val isTrusted = isProven && worker.hasAnswered && worker.firstFailureMillis == null
        val canTrust = isTrusted && state.roster.mayGrant(workerId)
        val lease = (worker.estimatedClockMillis(now) + limits.leaseMillis).takeIf { canTrust }
        if (lease != null) worker.leaseUntilWorkerMillis = maxOf(worker.leaseUntilWorkerMillis, lease)
        val acknowledged = if (canTrust) worker.storedEnd else 0
        worker.acknowledgedEnd = maxOf(worker.acknowledgedEnd, acknowledged)
        val longestWaitMillis =
            when {
                canTrust -> waitMillis
                isTrusted -> minOf(waitMillis, ROW_WAIT_MILLIS)
                else -> 0
            }
        return Renewal(lease, state.epoch, acknowledged, longestWaitMillis)
    }

    // A worker that has not answered gets no work until it does, so it is queried again even if nothing runs there.
    private fun WorkerEntry.needsRenewal(): Boolean {
        val isSilent = isListed && firstFailureMillis != null
        return !hasAnswered || isSilent || runs.isNotEmpty() || storedEnd < seenEnd || !areEndsAcknowledged()
    }

    /**
     * Processes the outcome of a renewal of [workerId] that was sent to [askedAddress] at [sentAtMillis]; returns false
     * if the worker has seen a higher epoch.
     */
    fun handleListing(
        workerId: String,
        outcome: ListingOutcome,
        sentAtMillis: Long,
        now: Long,
        askedAddress: WorkerAddress? = null,
    ): Boolean {
        val worker = state.workers[workerId] ?: return true
        val isFenced = outcome is ListingOutcome.Refused && outcome.refusal == StartRefusal.FENCED
        if (!isFenced && askedAddress != null && askedAddress != worker.listed.address) return true
        when (outcome) {
            is ListingOutcome.Listed -> {
                listings.read(worker, outcome.listing, sentAtMillis, now)
                silentWorkers.recordAnswer(worker)
                dropEarlierIncarnations(worker, sentAtMillis, now)
            }

            is ListingOutcome.Failed -> worker.firstFailureMillis = worker.firstFailureMillis ?: now
            is ListingOutcome.Unreadable -> handleUnreadable(worker, outcome.cause, now)
            is ListingOutcome.Refused ->
                when (outcome.refusal) {
                    StartRefusal.FENCED -> return false
                    StartRefusal.OTHER_LIFE -> workers.drop(worker, "another worker answers at its address", now)
                    else -> worker.firstFailureMillis = worker.firstFailureMillis ?: now
                }
        }
        return true
    }

    // Logged once for each period without a readable listing.
    private fun handleUnreadable(
        worker: WorkerEntry,
        cause: String,
        now: Long,
    ) {
        if (worker.firstFailureMillis == null) state.note(NoteKind.LISTING_UNREADABLE, worker.id, cause)
        worker.firstFailureMillis = worker.firstFailureMillis ?: now
    }

    /**
     * Processes the outcome of a start order that was sent at [sentAtMillis]; returns false if the worker has seen a
     * higher epoch.
     */
    fun handleStartOutcome(
        workerId: String,
        order: StartOrder,
        outcome: OrderOutcome,
        now: Long,
        sentAtMillis: Long = now,
    ): Boolean = answers.applyStartOutcome(workerId, order, outcome, now, sentAtMillis)

    /**
     * Processes the outcome of a stop order that was sent at [sentAtMillis]; returns false if the worker has seen a
     * higher epoch.
     */
    fun handleStopOutcome(
        workerId: String,
        taskId: TaskId,
        runId: Long,
        outcome: OrderOutcome,
        now: Long,
        sentAtMillis: Long = now,
    ): Boolean = answers.applyStopOutcome(workerId, taskId, runId, outcome, now, sentAtMillis)

    /** Applies the advisor's [tickets] for the step [stepKey], by worker ID; null if the advisor did not answer. */
    fun handleAdvice(
        stepKey: String,
        tickets: Map<String, String>?,
        now: Long,
    ) = advice.handleAnswer(stepKey, tickets, now)

    /** Records that all processed ends up to the [marks] are stored. */
    fun markEndsStored(marks: List<EndWatermark>) {
        marks.forEach { mark ->
            val worker = state.workers[mark.workerId] ?: return@forEach
            // Each worker incarnation numbers its ends from the start again.
            if (worker.bornUnixMillis == mark.bornUnixMillis) worker.storedEnd = maxOf(worker.storedEnd, mark.number)
        }
    }

    /** Returns, for each worker, up to which end its processed ends may be acknowledged once they are stored. */
    fun acknowledgeableEnds(): List<EndWatermark> =
        state.workers.values.map {
            EndWatermark(it.id, it.bornUnixMillis, state.endsOfUnreadJobs.lastAcknowledgeable(it, it.seenEnd))
        }

    /**
     * Runs all time-dependent checks, schedules, and returns the resulting actions. The cost grows with the fleet size.
     * [unixMillis] is the wall-clock time and is used only for scheduled jobs.
     */
    fun decide(
        now: Long,
        unixMillis: Long,
    ): List<EngineAction> {
        registry.openDue(unixMillis, now)
        lastingRestarts.releaseDue(now)
        dropLapsed(now)
        listings.stopOrphanedRuns(now)
        runs.repeatStops(now)
        stuckGuard.check(now)
        health.machineMonitor?.updateSuspects(now)
        paceGuard.check(now)
        evacuation.check(now)
        coldWorkers.check(now)
        silentWorkers.check(now)
        gangGuard.check(earlierRuns, now)
        accountReport.logIfDue(now)
        if (mayStart) {
            scheduler.schedule(now, isThorough = true)
            scheduler.runCopies(now)
            rescue?.check(now)
            leavingWorkers.check(now)
        }
        return state.takeActions()
    }

    /** Schedules after the events since the last decision and returns the actions; makes no time-dependent checks. */
    fun react(now: Long): List<EngineAction> {
        if (mayStart) scheduler.schedule(now, isThorough = false)
        return state.takeActions()
    }

    // The runs of a silent worker count as running until every lease that it was sent has expired.
    private fun dropLapsed(now: Long) {
        state.workers.values.toList().forEach { worker ->
            dropSettled(worker, now)
            // Without any answer in this epoch nothing is known about the worker's clock.
            if (worker.bornUnixMillis == 0L) return@forEach dropUnanswering(worker, now)
            if (!worker.haveLeasesExpired(now, limits)) return@forEach
            worker.runs.values
                .filter { !worker.isListed || !mayStillStart(it) && !mayBeDone(it) }
                .forEach {
                    val evidence = "its lease has expired, last answer ${now - worker.lastAnswerMillis} ms ago"
                    state.note(
                        NoteKind.RUN_GIVEN_UP,
                        it.taskId.toString(),
                        "run ${it.runId} on ${worker.id}: $evidence",
                    )
                    runs.markGone(it, evidence, now)
                }
            val isDroppable = worker.hasAnswered || earlierRuns.haveLeasesExpiredSince(worker.unlistedSinceMillis, now)
            if (!worker.isListed && isDroppable && worker.runs.isEmpty()) {
                workers.drop(worker, "the platform does not list it and it does not answer", now)
            }
        }
    }

    private fun dropUnanswering(
        worker: WorkerEntry,
        now: Long,
    ) {
        val haveLeasesEnded =
            earlierRuns.haveLeasesEnded(worker, now) ||
                earlierRuns.haveLeasesExpiredSince(worker.unlistedSinceMillis, now)
        // Until the list has been read, a worker of the roster only seems to be missing from it.
        if (worker.isListed || !state.isWorkerListKnown || !haveLeasesEnded) return
        workers.drop(worker, "the platform does not list it, it has never answered, and every lease has expired", now)
    }

    // An order in flight may reach a later incarnation with the same ID, whose clock has started again.
    private fun mayStillStart(run: Run): Boolean {
        if (!run.isUncertain) return false
        return run.phase == RunPhase.STARTING || run.isStartAbandoned && run.stopConfirmedAtMillis == 0L
    }

    // Its end may be listed by a later incarnation, whose clock has started again, so an expired lease proves nothing.
    private fun mayBeDone(run: Run) = run.isUncertain && run.hasUnlistedEnd

    /** Number of machines that are suspected of being slow, failing or unstable. */
    val slowMachines: Int get() = health.machineMonitor?.suspectCount ?: 0

    /** Number of jobs that are suspected of causing their own failures. */
    val suspectJobs: Int get() = doubts.count

    /** Number of tasks that the engine holds, of jobs that are due. */
    val openTasks: Long get() = registry.openTasks

    /** Number of ready tasks that wait until the runs of earlier owners are known. */
    val tasksWaitingForEarlierRuns: Long get() = waits.tasksWaitingForEarlierRuns

    /** Number of waiting jobs that the last thorough scheduling pass left to the next one. */
    val unreachedJobs: Int get() = unreached.count

    /** Number of steps that wait for permission from the advisor. */
    val stepsAwaitingAdvice: Int get() = adviceReport.waitingSteps

    /** Number of jobs of which a part is due but not held yet, since the engine holds too many tasks. */
    val jobsWithWaitingOccurrences: Int get() = registry.jobsWithWaitingOccurrences

    /** Number of jobs that wait because no settings of their queue are known. */
    val jobsOfUnknownQueues: Int get() = registry.jobsOfUnknownQueues

    /** Number of jobs without a started run, by queue name. */
    fun pendingByQueue(): Map<String, Int> = state.pending.byQueue()

    private companion object {
        // Until the removal of the recorded end of its leases is stored, a worker is asked no more often than this.
        const val ROW_WAIT_MILLIS = 100L

        // More queues than usually share one pool. Further ones are recorded with their first task.
        const val MAX_QUEUES_RECORDED_IN_ADVANCE = 20
    }
}
