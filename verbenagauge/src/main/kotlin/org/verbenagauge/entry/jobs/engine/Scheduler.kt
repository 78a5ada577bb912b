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
    private val order: JobOrder,
    private val placement: Placement,
    private val copies: CopyPolicy,
    private val earlierRuns: EarlierRuns,
) {
    /** Starts what fits. */
    fun schedule(now: Long) {
        val configuration = state.configuration ?: return
        val workersByService =
            state.workers.values
                .filter { it.takesWork && !it.isFull }
                .groupBy { it.listed.serviceName }
        val jobsByService = state.jobs.values.groupBy { it.queue.serviceName }
        state.wantedByService.clear()
        jobsByService.forEach { (service, jobs) ->
            val workers = workersByService[service].orEmpty()
            val open =
                jobs.filter {
                    it.hasReadyTask() &&
                        (!it.mayHaveEarlierRuns || earlierRuns.areKnown(it.queue, now))
                }
            val recordedByQueue = HashMap<String, List<WorkerEntry>>()
            order.sorted(open, now).forEach { job ->
                val queueName = job.queue.name
                val recorded =
                    recordedByQueue.getOrPut(
                        queueName,
                    ) { workers.filter { state.roster.ensureRecorded(it, queueName) } }
                job.open.values.forEach { occurrence ->
                    occurrence.steps.filter { it.isOpen && !it.isDone }.forEach { step ->
                        val limit = configuration.teams[job.record.teamName]?.limit
                        StepPass(step, recorded, limit, now).run()
                    }
                }
            }
            // Copies take only what nothing else waits for.
            if (service !in state.wantedByService) runCopies(jobs, workers, configuration, now)
        }
    }

    private fun runCopies(
        jobs: List<JobEntry>,
        workers: List<WorkerEntry>,
        configuration: JobsConfiguration,
        now: Long,
    ) {
        jobs.filter { it.mayRunCopies }.forEach { job ->
            val limit = configuration.teams[job.record.teamName]?.limit
            val recorded = workers.filter { state.roster.ensureRecorded(it, job.queue.name) }
            job.open.values
                .flatMap { it.steps }
                .filter { it.isOpen && !it.isDone && it.specification.mayRunCopies }
                .forEach { StepPass(it, recorded, limit, now).runCopies() }
        }
    }

    private fun JobEntry.hasReadyTask() = tasks().any { it.phase == TaskPhase.READY }

    private inner class StepPass(
        private val step: StepEntry,
        private val workers: List<WorkerEntry>,
        private val limit: Amount?,
        private val now: Long,
    ) {
        private val specification: StepSpecification = step.specification
        private val job = step.occurrence.job

        fun run() {
            val ready = step.tasks.filter { it.phase == TaskPhase.READY }
            if (ready.isEmpty()) return
            val allowed = if (job.queue.advice == null) workers else advised() ?: return
            val started =
                if (specification.isGang) startGang(ready, allowed) else ready.indexOfFirst { !start(it, allowed) }
            if (started >= 0) want(ready.size - started)
        }

        // Notes room that is missing; a team at its limit misses none.
        private fun want(tasks: Int) {
            if (!state.quota.allows(job.record.teamName, specification.amount, limit)) return
            val room = if (specification.isFiller) specification.amount.copy(cpuMillis = 0) else specification.amount
            val sum = (1..tasks).fold(Amount()) { total, _ -> total + room }
            state.wantedByService.merge(job.queue.serviceName, sum, Amount::plus)
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

        // All members or none: placed one by one, and taken back when one finds no room. Returns -1 when they start.
        private fun startGang(
            ready: List<TaskEntry>,
            candidates: List<WorkerEntry>,
        ): Int {
            if (ready.size < step.tasks.size) return NONE_MISSING
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
                return 0
            }
            ready.forEach { it.checkpoint = checkpoint }
            tentative.forEach { send(it, ready.first { task -> task.id == it.taskId }) }
            return NONE_MISSING
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
        const val NONE_MISSING = -1
        const val ADVICE_REPEAT_MILLIS = 2_000L

        // The advisor's answer takes longer with each worker named.
        const val ADVISED_WORKERS = 30
    }
}
