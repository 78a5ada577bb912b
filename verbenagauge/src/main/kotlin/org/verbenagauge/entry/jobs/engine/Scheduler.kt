package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.jobs.model.Amount
import org.verbenagauge.entry.jobs.model.JobsConfiguration
import org.verbenagauge.entry.jobs.model.StepSpecification
import org.verbenagauge.entry.jobs.ports.StartOrder

/**
 * Starts ready tasks on workers with free capacity. The order of jobs, the choice of workers and the copying of slow
 * runs are decided by [JobOrder], [Placement] and [CopyPolicy].
 */
internal class Scheduler(
    private val state: EngineState,
    private val runs: RunTracker,
    private val ready: ReadyJobs,
    private val placement: Placement,
    private val copies: CopyPolicy,
    private val earlierRuns: EarlierRuns,
    private val doubts: SuspectJobs,
    private val waits: StartWaits,
    private val unreached: UnreachedJobs,
    private val advice: AdviceQueue,
    private val adviceReport: AdviceReport,
) {
    /**
     * Starts the ready tasks that fit on workers at [now]. Only with [isThorough], jobs behind many that find no room
     * are examined as well.
     */
    fun schedule(
        now: Long,
        isThorough: Boolean,
    ) {
        val configuration = state.configuration ?: return
        state.missingRoomByService.clear()
        state.unsettledRoomByService.clear()
        waits.beginPass()
        adviceReport.beginPass(now)
        if (isThorough) unreached.beginPass()
        ready.services.forEach { ServicePass(it, configuration, now).run(isThorough) }
        advice.send(now) { step, maxWorkers -> workersToAskFor(step, maxWorkers, now) }
    }

    /**
     * Starts copies of runs that are slow or on unresponsive workers, in services where no other task waits for
     * capacity.
     */
    fun runCopies(now: Long) {
        val configuration = state.configuration ?: return
        state.jobs.values
            .filter { it.mayRunCopies && it.queue.serviceName !in state.missingRoomByService }
            .forEach { job ->
                val limit = configuration.teams[job.record.teamName]?.limit
                val steps =
                    job.open.values
                        .flatMap { it.steps }
                        .filter { it.isOpen && !it.isDone && it.specification.mayRunCopies }
                if (steps.isEmpty()) return@forEach
                val recorded = availableWorkers(job.queue.serviceName).recordedFor(job.queue.name)
                val freeCapacity = FreeCapacity(recorded)
                steps.forEach { StepPass(it, recorded, limit, now, freeCapacity).runCopies() }
            }
    }

    private fun recordMissing(
        serviceName: String,
        missing: MissingCapacity,
    ) {
        state.missingRoomByService.merge(serviceName, missing, MissingCapacity::plus)
    }

    // A team at its limit could not use more capacity, so nothing is recorded for it. Returns whether it is recorded.
    private fun recordNeed(
        roomByService: MutableMap<String, MissingCapacity>,
        step: StepEntry,
        tasks: Int,
        limit: Amount?,
    ): Boolean {
        val job = step.occurrence.job
        if (!state.quota.allows(job.record.teamName, step.specification.amount, limit)) return false
        val need = MissingCapacity(step.room(tasks), requiredWorkers(step))
        roomByService.merge(job.queue.serviceName, need, MissingCapacity::plus)
        return true
    }

    // Tasks that must not share a worker need a minimum number of workers, however small they are; 0 if any number
    // will do.
    private fun requiredWorkers(step: StepEntry): Int {
        val perWorker = step.specification.maxPerWorker
        return if (perWorker == 0) 0 else (step.tasks.size + perWorker - 1) / perWorker
    }

    private fun availableWorkers(serviceName: String) =
        state.workersOf(serviceName).filter {
            it.isSchedulable &&
                state.roster.mayGrant(it.id) &&
                !it.hasRunOfUnknownSize &&
                !state.evacuatedZones.includes(it)
        }

    // Workers of which the advisor has not told whether they may run the step take at least half of the places, so that
    // each is asked for in the end.
    private fun workersToAskFor(
        step: StepEntry,
        maxWorkers: Int,
        now: Long,
    ): List<WorkerEntry> {
        val queue = step.occurrence.job.queue
        val (allowed, unknown) =
            availableWorkers(queue.serviceName)
                .recordedFor(queue.name)
                .filter { isWorthAsking(step, it, now) }
                .sortedByDescending { it.free.cpuMillis }
                .partition { step.advice.isAllowed(it) }
        val again = allowed.take(maxOf(maxWorkers / 2, maxWorkers - unknown.size))
        return again + unknown.take(maxWorkers - again.size)
    }

    private fun isWorthAsking(
        step: StepEntry,
        worker: WorkerEntry,
        now: Long,
    ): Boolean {
        val specification = step.specification
        return !step.advice.isDenied(worker) &&
            step.advice.ticket(worker, now) == null &&
            worker.hasRoomFor(specification) &&
            (specification.maxPerWorker == 0 || worker.countRunsOf(step) < specification.maxPerWorker) &&
            (specification.requiredLabel.isEmpty() || specification.requiredLabel in worker.listed.labels)
    }

    private fun List<WorkerEntry>.recordedFor(queueName: String) = filter { state.roster.ensureRecorded(it, queueName) }

    /** One pass over the waiting jobs of one service. */
    private inner class ServicePass(
        private val serviceName: String,
        private val configuration: JobsConfiguration,
        private val now: Long,
    ) {
        private val workers = availableWorkers(serviceName)
        private val recordedByQueue = HashMap<String, List<WorkerEntry>>()
        private val areRunsKnown = HashMap<String, Boolean>()
        private val capacityByQueue = HashMap<String, FreeCapacity>()
        private val visitedByTeam = HashMap<String, Amount>()
        private val reserved = ReservedWorkers(workers)
        private var mayRetry = true
        private val deferredRetries = ArrayList<Rank>()
        private val surplusWorkersByQueue = HashMap<String, List<WorkerEntry>>()
        private val surplusCapacityByQueue = HashMap<String, FreeCapacity>()

        fun run(isThorough: Boolean) {
            val pass = ready.beginPass(serviceName, now) ?: return
            var blockedJobs = 0
            while (blockedJobs < MAX_BLOCKED_JOBS) {
                if (!visit(pass.next() ?: break)) blockedJobs++
            }
            if (blockedJobs >= MAX_BLOCKED_JOBS) {
                if (isThorough) backfill(pass)
                recordUnvisitedJobs()
            } else {
                pass.endScan()
            }
            // Retries may use more than their part of the capacity while no other job waits for it.
            if (blockedJobs == 0) deferredRetries.forEach { start(it.job, isSurplus = it.surplusAccount != null) }
        }

        // Visits the jobs behind those that found no room, however many these are, as far as they may fit.
        private fun backfill(pass: ReadyPass) {
            val budget = BackfillBudget()
            val filter = BackfillFilter(workers, state.quota, configuration, budget)
            val surplusFilter by lazy(LazyThreadSafetyMode.NONE) {
                BackfillFilter(reserved.unreserved(workers), state.quota, configuration, budget)
            }
            while (budget.isLeft) {
                val rank = pass.scan(filter) { surplusFilter } ?: break
                val readyCount = rank.job.readyCount
                val hasCapacity = visit(rank)
                val hasStarted = rank.job.readyCount < readyCount
                if (!hasStarted) budget.takeVisit()
                if (hasStarted || !hasCapacity) {
                    filter.refresh()
                    if (rank.surplusAccount != null) surplusFilter.refresh()
                }
            }
            val first = pass.firstRemaining ?: return pass.endScan()
            unreached.record(serviceName, pass.remaining, first, now)
        }

        // Returns false if no worker has capacity for a task of the job.
        private fun visit(rank: Rank): Boolean {
            val job = rank.job
            if (job.mayHaveEarlierRuns && !areRunsKnown(job)) {
                recordWaiting(job)
                return true
            }
            if (job.retry != null && !mayRetry(job)) {
                deferredRetries += rank
                recordWait(job, StartWaitReason.OTHER_TASK) { "one task of the job is retried at a time" }
                return true
            }
            return start(job, isSurplus = rank.surplusAccount != null)
        }

        // Its tasks may start in a moment, so the pool has to keep its machines and grow for them now.
        private fun recordWaiting(job: JobEntry) {
            val limit = configuration.teams[job.record.teamName]?.limit
            waits.countEarlierRuns(job)
            job.open.values.flatMap { it.steps }.filter { it.readyCount > 0 }.forEach { step ->
                waits.record(step, StartWaitReason.EARLIER_RUNS, now) { earlierRuns.describeWait(job.queue, now) }
                recordNeed(state.unsettledRoomByService, step, step.readyCount, limit)
            }
        }

        private fun recordWait(
            job: JobEntry,
            reason: StartWaitReason,
            detail: () -> String,
        ) {
            if (!job.isLasting) return
            job.open.values.flatMap { it.steps }.filter { it.readyCount > 0 }.forEach {
                waits.record(it, reason, now, detail)
            }
        }

        private fun mayRetry(job: JobEntry): Boolean {
            if (job.retry?.phase != TaskPhase.READY) return false
            mayRetry = mayRetry && doubts.hasRetryCapacity(serviceName, workers)
            return mayRetry
        }

        private fun areRunsKnown(job: JobEntry) =
            areRunsKnown.getOrPut(job.queue.name) { earlierRuns.areKnown(job.queue, now) }

        // Returns false if no worker has capacity for a task. Tasks that wait for another reason, such as a missing
        // label, do not count towards the end of the pass.
        private fun start(
            job: JobEntry,
            isSurplus: Boolean,
        ): Boolean {
            val queueName = job.queue.name
            val teamName = job.record.teamName
            val recorded = recordedByQueue.getOrPut(queueName) { workers.recordedFor(queueName) }
            val candidates =
                if (isSurplus) surplusWorkersByQueue.getOrPut(queueName) { reserved.unreserved(recorded) } else recorded
            val freeCapacity =
                (if (isSurplus) surplusCapacityByQueue else capacityByQueue)
                    .getOrPut(queueName) { FreeCapacity(candidates) }
            val limit = configuration.teams[teamName]?.limit
            var hasCapacity = true
            job.open.values.forEach { occurrence ->
                occurrence.steps.filter { it.mayStartAny }.forEach { step ->
                    visitedByTeam.merge(teamName, step.room(step.readyCount), Amount::plus)
                    val pass = StepPass(step, candidates, limit, now, freeCapacity)
                    pass.run()
                    hasCapacity = hasCapacity && !pass.isBlockedByCapacity
                    if (pass.isBlockedByCapacity && !isSurplus) reserve(step, teamName, limit)
                }
            }
            return hasCapacity
        }

        private fun reserve(
            step: StepEntry,
            teamName: String,
            limit: Amount?,
        ) {
            if (!state.quota.allows(teamName, step.specification.amount, limit)) return
            val startsOneAtATime = step.occurrence.job.retry != null && !step.specification.isGang
            val readySinceMillis = step.tasks.first { it.phase == TaskPhase.READY }.readySinceMillis
            val tasks = if (startsOneAtATime) 1 else step.readyCount
            reserved.reserveFor(step.specification, tasks, readySinceMillis, now)
        }

        // Jobs that the pass did not reach need capacity as well, up to the limits of their teams.
        private fun recordUnvisitedJobs() {
            ready.waitingByTeam(serviceName).forEach { (teamName, waiting) ->
                val rest = waiting - (visitedByTeam[teamName] ?: Amount())
                val allowed = state.quota.remaining(teamName, configuration.teams[teamName]?.limit)
                val wanted = if (allowed == null) rest else rest.atMost(allowed)
                if (wanted.cpuMillis > 0) recordMissing(serviceName, MissingCapacity(wanted, workers = 0))
            }
        }
    }

    private inner class StepPass(
        private val step: StepEntry,
        private val workers: List<WorkerEntry>,
        private val limit: Amount?,
        private val now: Long,
        private val freeCapacity: FreeCapacity,
    ) {
        private val specification: StepSpecification = step.specification
        private val job = step.occurrence.job

        private val isAdvised = job.queue.advice != null

        private var lacksCapacity = false

        /** Whether a task of the step waits because no worker has capacity for it. */
        var isBlockedByCapacity = false
            private set

        fun run() {
            val allowed = if (isAdvised) workers.filter { step.advice.ticket(it, now) != null } else workers
            if (!freeCapacity.mayFit(specification)) {
                isBlockedByCapacity = true
                recordMissing(step.readyCount)
                recordWait(allowed)
                return
            }
            val ready = step.tasks.filter { it.phase == TaskPhase.READY && doubts.mayStart(it) }
            val missing = if (specification.isGang) startGang(ready, allowed) else startEach(ready, allowed)
            if (missing == 0) return recordGangWait()
            if (askAdvice()) return
            recordMissing(missing)
            isBlockedByCapacity = lacksCapacity && allowed.none { it.hasRoomFor(specification) }
            if (isBlockedByCapacity) freeCapacity.refresh()
            recordWait(allowed)
        }

        // Asks the advisor for workers that may start more tasks of the step; returns whether an answer is due.
        private fun askAdvice(): Boolean {
            if (!isAdvised) return false
            if (!state.quota.allows(job.record.teamName, specification.amount, limit)) return false
            if (!advice.isAsking(step) && workers.none { isWorthAsking(step, it, now) }) return false
            advice.add(step)
            waits.record(step, StartWaitReason.ADVICE, now) { describeAdvice() }
            adviceReport.record(step, now) { describeAdvice() }
            return true
        }

        private fun describeAdvice() =
            "${workers.size} workers, ${step.advice.knownCount} asked for, ${step.advice.allowedCount} allowed"

        private fun recordGangWait() {
            if (!specification.isGang || step.readyCount == 0) return
            waits.record(step, StartWaitReason.OTHER_TASK, now) { "${step.readyCount} of ${step.tasks.size} ready" }
        }

        private fun recordWait(allowed: List<WorkerEntry>) {
            val reason =
                when {
                    !lacksCapacity -> StartWaitReason.LIMIT
                    isBlockedByCapacity -> StartWaitReason.CAPACITY
                    else -> StartWaitReason.NO_ELIGIBLE_WORKER
                }
            waits.record(step, reason, now) {
                val known = state.workersOf(job.queue.serviceName).size
                "$known workers, ${allowed.size} usable, ${allowed.count {
                    it.hasRoomFor(
                        specification,
                    )
                }} with room"
            }
        }

        // A task that avoids the workers on which it failed does not block the others. Returns the number of tasks that
        // wait.
        private fun startEach(
            ready: List<TaskEntry>,
            candidates: List<WorkerEntry>,
        ): Int {
            var started = 0
            for (task in ready) {
                if (start(task, candidates)) {
                    started++
                } else if (candidates.none { it.hasRoomFor(specification) }) {
                    break
                }
            }
            return ready.size - started
        }

        private fun recordMissing(tasks: Int) {
            if (recordNeed(state.missingRoomByService, step, tasks, limit)) lacksCapacity = true
        }

        private fun start(
            task: TaskEntry,
            candidates: List<WorkerEntry>,
        ): Boolean {
            if (!state.quota.allows(job.record.teamName, task.amount, limit)) return false
            val worker = placement.choose(task, candidates, now) ?: return false
            order(task, worker, state.nextRunId())
            return true
        }

        /** Starts copies of runs of the step that are slow or on unresponsive workers, where they fit. */
        fun runCopies() {
            if (specification.isGang || specification.isLasting || isAdvised) return
            val expectedMillis = state.runTimes.expectMillis(job.queue.name, specification.estimatedMillis)
            step.tasks.filter { it.phase == TaskPhase.PLACED && it.copy == null }.forEach { task ->
                val run = task.run ?: return@forEach
                val worker = state.workers[run.workerId] ?: return@forEach
                if (copies.shouldCopy(run, worker, expectedMillis, now)) startCopy(task)
            }
        }

        private fun startCopy(task: TaskEntry) {
            if (!state.quota.allows(job.record.teamName, task.amount, limit)) return
            val worker = placement.choose(task, workers, now) ?: return
            val runId = state.nextRunId()
            val copy = Run(task.id, runId, worker.id, task.amount, job.record.teamName, specification, now)
            runs.addCopy(copy, task, worker)
            send(copy, task)
        }

        // Starts all members or none: members are placed one by one and withdrawn if one does not fit. Returns the
        // number of tasks that wait.
        private fun startGang(
            ready: List<TaskEntry>,
            candidates: List<WorkerEntry>,
        ): Int {
            if (ready.size < step.tasks.size) return 0
            val runId = state.nextRunId()
            val tentative = ArrayList<Run>()
            val checkpoint = ready.maxOf { it.checkpoint }
            val fits =
                ready.all { task ->
                    val worker =
                        if (state.quota.allows(job.record.teamName, task.amount, limit)) {
                            placement.choose(task, candidates, now)
                        } else {
                            null
                        }
                    if (worker != null) {
                        val run = Run(task.id, runId, worker.id, task.amount, job.record.teamName, specification, now)
                        runs.add(run, task, worker)
                        tentative += run
                    }
                    worker != null
                }
            if (!fits) {
                tentative.forEach { runs.markGone(it, "gang did not fit, start order not sent", now) }
                return ready.size
            }
            ready.forEach { it.checkpoint = checkpoint }
            tentative.forEach { send(it, ready.first { task -> task.id == it.taskId }) }
            return 0
        }

        private fun order(
            task: TaskEntry,
            worker: WorkerEntry,
            runId: Long,
        ) {
            val run = Run(task.id, runId, worker.id, task.amount, job.record.teamName, specification, now)
            runs.add(run, task, worker)
            send(run, task)
        }

        private fun send(
            run: Run,
            task: TaskEntry,
        ) {
            val worker = state.workers.getValue(run.workerId)
            val ticket = step.advice.ticket(worker, now).orEmpty()
            val leaseUntil = worker.estimatedClockMillis(now) + state.limits.leaseMillis
            worker.leaseUntilWorkerMillis = maxOf(worker.leaseUntilWorkerMillis, leaseUntil)
            val order =
                StartOrder(
                    taskId = task.id,
                    runId = run.runId,
                    payload = job.specification.payload,
                    leaseUntilWorkerMillis = leaseUntil,
                    fencingToken = state.epoch,
                    checkpoint = if (specification.isCheckpointing) task.checkpoint else "",
                    ticket = ticket,
                )
            run.isResumed = order.checkpoint.isNotEmpty()
            state.emit(EngineAction.Start(worker.listed.address, order))
            state.emit(EngineAction.Watch(worker.listed.address))
            state.note(
                NoteKind.RUN_ORDERED,
                task.id.toString(),
                "run ${run.runId} on ${worker.id}, free ${worker.free.cpuMillis}m, " +
                    "waited ${now - task.readySinceMillis} ms${earlierRunsPart(task)}, ${task.lastRunSummary}",
            )
        }

        private fun earlierRunsPart(task: TaskEntry): String {
            val waitMillis = earlierRuns.waitMillis(job, task.readySinceMillis)
            return if (waitMillis > 0) ", of which $waitMillis ms for earlier runs" else ""
        }
    }

    private companion object {
        // A pass visits so many jobs without room in order; behind them only those that may fit.
        const val MAX_BLOCKED_JOBS = 100
    }
}
