package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.jobs.model.Amount
import org.verbenagauge.entry.jobs.model.JobState
import org.verbenagauge.entry.jobs.model.JobsConfiguration
import org.verbenagauge.entry.jobs.model.StepSpecification
import org.verbenagauge.entry.jobs.ports.StartOrder

/** Gives room to tasks whose turn has come. Knows no rule itself: order and choice are told by their interfaces. */
internal class Scheduler(
    private val state: EngineState,
    private val runs: RunKeeper,
    private val ready: ReadyJobs,
    private val placement: Placement,
    private val copies: CopyPolicy,
    private val earlierRuns: EarlierRuns,
    private val doubts: SuspectJobs,
) {
    /** Starts what fits. */
    fun schedule(now: Long) {
        val configuration = state.configuration ?: return
        state.wantedByService.clear()
        ready.services.forEach { ServicePass(it, configuration, now).run() }
    }

    /** Runs copies of what is slow or silent, where nothing else waits for the room. */
    fun runCopies(now: Long) {
        val configuration = state.configuration ?: return
        state.jobs.values
            .filter { it.mayRunCopies && it.queue.serviceName !in state.wantedByService }
            .forEach { job ->
                val limit = configuration.teams[job.record.teamName]?.limit
                val steps =
                    job.open.values
                        .flatMap { it.steps }
                        .filter { it.isOpen && !it.isDone && it.specification.mayRunCopies }
                if (steps.isEmpty()) return@forEach
                val recorded = takingWork(job.queue.serviceName).recordedFor(job.queue.name)
                val room = FreeRoom(recorded)
                steps.forEach { StepPass(it, recorded, limit, now, room).runCopies() }
            }
    }

    private fun want(
        serviceName: String,
        missing: MissingRoom,
    ) {
        state.wantedByService.merge(serviceName, missing, MissingRoom::plus)
    }

    private fun takingWork(serviceName: String) =
        state.workersOf(serviceName).filter {
            it.isSchedulable &&
                !it.hasRunOfUnknownSize &&
                !state.evacuated.includes(it)
        }

    private fun List<WorkerEntry>.recordedFor(queueName: String) = filter { state.roster.ensureRecorded(it, queueName) }

    /** One pass over the jobs of one service that wait. */
    private inner class ServicePass(
        private val serviceName: String,
        private val configuration: JobsConfiguration,
        private val now: Long,
    ) {
        private val workers = takingWork(serviceName)
        private val recordedByQueue = HashMap<String, List<WorkerEntry>>()
        private val areRunsKnown = HashMap<String, Boolean>()
        private val roomByQueue = HashMap<String, FreeRoom>()
        private val seenByTeam = HashMap<String, Amount>()
        private val held = HeldRoom(workers)
        private var mayRetry = true
        private val leftByQueue = HashMap<String, List<WorkerEntry>>()
        private val leftRoomByQueue = HashMap<String, FreeRoom>()

        fun run() {
            var withoutRoom = 0
            val heldBack = ArrayList<Rank>()
            for (rank in ready.inOrder(serviceName, now)) {
                val job = rank.job
                if (job.mayHaveEarlierRuns && !areRunsKnown(job)) continue
                if (job.retry != null && !mayRetry(job)) {
                    heldBack += rank
                    continue
                }
                if (!start(job, isSurplus = rank.surplusOf != null) && ++withoutRoom >= LOOKAHEAD) break
            }
            if (withoutRoom >= LOOKAHEAD) wantRest()
            // Room for which nobody else waits is not kept from them.
            if (withoutRoom == 0) heldBack.forEach { start(it.job, isSurplus = it.surplusOf != null) }
        }

        private fun mayRetry(job: JobEntry): Boolean {
            if (job.retry?.phase != TaskPhase.READY) return false
            mayRetry = mayRetry && doubts.hasRetryCapacity(serviceName, workers)
            return mayRetry
        }

        private fun areRunsKnown(job: JobEntry) =
            areRunsKnown.getOrPut(job.queue.name) { earlierRuns.areKnown(job.queue, now) }

        // False when no worker has room for a task. Tasks that wait for another cause, such as a label, end no pass.
        private fun start(
            job: JobEntry,
            isSurplus: Boolean,
        ): Boolean {
            val queueName = job.queue.name
            val teamName = job.record.teamName
            val recorded = recordedByQueue.getOrPut(queueName) { workers.recordedFor(queueName) }
            val candidates =
                if (isSurplus) leftByQueue.getOrPut(queueName) { held.leftOf(recorded) } else recorded
            val room =
                (if (isSurplus) leftRoomByQueue else roomByQueue).getOrPut(queueName) { FreeRoom(candidates) }
            val limit = configuration.teams[teamName]?.limit
            var hasRoom = true
            job.open.values.forEach { occurrence ->
                occurrence.steps.filter { it.readyCount > 0 && doubts.mayStartAny(it) }.forEach { step ->
                    seenByTeam.merge(teamName, step.room(step.readyCount), Amount::plus)
                    val pass = StepPass(step, candidates, limit, now, room)
                    pass.run()
                    hasRoom = hasRoom && !pass.isCrowdedOut
                    if (pass.isCrowdedOut && !isSurplus) hold(step, teamName, limit)
                }
            }
            return hasRoom
        }

        private fun hold(
            step: StepEntry,
            teamName: String,
            limit: Amount?,
        ) {
            if (!state.quota.allows(teamName, step.specification.amount, limit)) return
            val isOnlyOne = step.occurrence.job.retry != null && !step.specification.isGang
            held.holdFor(step.specification, if (isOnlyOne) 1 else step.readyCount)
        }

        // Jobs that were not looked at want room as well, as far as the limits of their teams go.
        private fun wantRest() {
            ready.waitingByTeam(serviceName).forEach { (teamName, waiting) ->
                val rest = waiting - (seenByTeam[teamName] ?: Amount())
                val allowed = state.quota.left(teamName, configuration.teams[teamName]?.limit)
                val wanted = if (allowed == null) rest else rest.atMost(allowed)
                if (wanted.cpuMillis > 0) want(serviceName, MissingRoom(wanted, workers = 0))
            }
        }
    }

    private inner class StepPass(
        private val step: StepEntry,
        private val workers: List<WorkerEntry>,
        private val limit: Amount?,
        private val now: Long,
        private val room: FreeRoom,
    ) {
        private val specification: StepSpecification = step.specification
        private val job = step.occurrence.job

        private var isShort = false

        /** Whether no worker has room for a task of the step. */
        var isCrowdedOut = false
            private set

        fun run() {
            val allowed = if (job.queue.advice == null) workers else advised() ?: return
            if (!room.mayFit(specification)) {
                isCrowdedOut = true
                want(step.readyCount)
                return
            }
            val ready = step.tasks.filter { it.phase == TaskPhase.READY && doubts.mayStart(it) }
            val missing = if (specification.isGang) startGang(ready, allowed) else startEach(ready, allowed)
            if (missing == 0) return
            want(missing)
            isCrowdedOut = isShort && allowed.none { it.hasRoomFor(specification) }
            if (isCrowdedOut) room.refresh()
        }

        // A task that avoids the workers on which it failed does not hold up the others. Returns how many have to wait.
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

        // Notes room that is missing; a team at its limit misses none.
        private fun want(tasks: Int) {
            if (!state.quota.allows(job.record.teamName, specification.amount, limit)) return
            isShort = true
            want(job.queue.serviceName, MissingRoom(step.room(tasks), workersApart()))
        }

        // Tasks that must not share a worker need as many workers as there are of them, however little each takes.
        private fun workersApart(): Int {
            val perWorker = specification.maxPerWorker
            return if (perWorker == 0) 0 else (step.tasks.size + perWorker - 1) / perWorker
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

        /** Runs copies of what is slow or silent, where room is left. */
        fun runCopies() {
            if (specification.isGang || specification.isLasting || job.queue.advice != null) return
            val expectedMillis = state.runTimes.expectMillis(job.queue.name, specification.estimatedMillis)
            step.tasks.filter { it.phase == TaskPhase.PLACED && it.copy == null }.forEach { task ->
                val run = task.run ?: return@forEach
                val worker = state.workers[run.workerId] ?: return@forEach
                if (copies.wantsCopy(run, worker, expectedMillis, now)) startCopy(task)
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

        // All members or none: placed one by one, and taken back when one finds no room. Returns how many have to wait.
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
                tentative.forEach { runs.gone(it, "never ordered", now) }
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
            val ticket =
                step.tickets
                    ?.byWorker
                    ?.get(worker.id)
                    .orEmpty()
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
            state.act(EngineAction.Start(worker.listed.address, order))
            state.act(EngineAction.Watch(worker.listed.address))
            state.note(
                NoteKind.RUN_ORDERED,
                task.id.toString(),
                "run ${run.runId} on ${worker.id}, free ${worker.free.cpuMillis}m, " +
                    "waited ${now - task.readySinceMillis} ms, ${task.lastRun}",
            )
            if (job.state == JobState.QUEUED) {
                job.state = JobState.ACTIVE
                state.changed(job)
            }
        }

        // Workers that the advisor allows; null while its answer is awaited.
        private fun advised(): List<WorkerEntry>? {
            val tickets = step.tickets
            val byWorker = tickets?.byWorker
            if (byWorker != null && now < tickets.validUntilMillis) return workers.filter { it.id in byWorker }
            val isAsked = tickets != null && byWorker == null && now - tickets.askedAtMillis < ADVICE_REPEAT_MILLIS
            if (!isAsked) {
                step.tickets = Tickets(now, null, 0)
                val named = workers.sortedByDescending { it.free.cpuMillis }.take(ADVISED_WORKERS)
                state.act(EngineAction.AskAdvice(step.key, named.map { it.id }))
            }
            return null
        }
    }

    private companion object {
        const val ADVICE_REPEAT_MILLIS = 2_000L

        // The advisor's answer takes longer with each worker named.
        const val ADVISED_WORKERS = 30

        // Smaller jobs behind those that find no room fill what is left over; a hundred fill any pool.
        const val LOOKAHEAD = 100
    }
}
