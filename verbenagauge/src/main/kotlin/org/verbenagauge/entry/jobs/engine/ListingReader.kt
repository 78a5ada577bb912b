package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.jobs.model.Amount
import org.verbenagauge.entry.jobs.model.StepSpecification
import org.verbenagauge.entry.jobs.model.TaskId
import org.verbenagauge.entry.jobs.ports.EndKind
import org.verbenagauge.entry.jobs.ports.ListedEnd
import org.verbenagauge.entry.jobs.ports.ListedRun
import org.verbenagauge.entry.jobs.ports.WorkerListing

/** Applies worker listings to the engine state: ended runs, current runs, and runs that are missing from a listing. */
internal class ListingReader(
    private val state: EngineState,
    private val registry: JobRegistry,
    private val runs: RunTracker,
    private val health: WorkerHealth,
    private val suspectJobs: SuspectJobs,
    private val lastingRestarts: LastingRestarts,
) {
    /** Applies [listing], which [worker] returned for a request sent at [sentAtMillis]. */
    fun read(
        worker: WorkerEntry,
        listing: WorkerListing,
        sentAtMillis: Long,
        now: Long,
    ) {
        health.machineMonitor?.recordAnswer(worker, listing.bornUnixMillis, now)
        if (worker.bornUnixMillis != listing.bornUnixMillis) resetForNewIncarnation(worker, listing, now)
        if (!worker.hasAnswered) {
            worker.hasAnswered = true
            worker.leaseUntilWorkerMillis = longestLeaseEnd(listing)
            val lists = "${listing.running.size} runs and ${listing.ended.size} ends listed"
            state.note(
                NoteKind.WORKER_HEARD,
                worker.id,
                "epoch ${state.epoch}, started at ${listing.bornUnixMillis}, $lists",
            )
        }
        if (listing.hasAllEnds) worker.isFullyListed = true
        worker.recordClock(listing.clockMillis, now)
        listing.ended.sortedBy { it.number }.forEach { end ->
            if (end.number > worker.seenEnd) {
                worker.seenEnd = end.number
                applyEnd(worker, end, now)
            }
        }
        listing.running.forEach { runs(worker, it, now) }
        removeMissingRuns(worker, listing, sentAtMillis, now)
        health.machineMonitor?.recordProgress(worker, listing.clockMillis, now)
    }

    // Runs of the previous incarnation are missing from the listing, but start orders in flight may still reach the new
    // one.
    private fun resetForNewIncarnation(
        worker: WorkerEntry,
        listing: WorkerListing,
        now: Long,
    ) {
        if (worker.bornUnixMillis != 0L) {
            worker.incarnationSinceMillis = now
            state.note(NoteKind.WORKER_RESTARTED, worker.id, "restarted with ${worker.runs.size} known runs")
        }
        worker.bornUnixMillis = listing.bornUnixMillis
        worker.seenEnd = 0
        worker.storedEnd = 0
        worker.acknowledgedEnd = 0
        worker.leaseUntilWorkerMillis = longestLeaseEnd(listing)
        stopUncertainRuns(worker, now)
    }

    // A copy of an unanswered start order may still reach the new incarnation, which knows neither the run nor an
    // earlier stop.
    private fun stopUncertainRuns(
        worker: WorkerEntry,
        now: Long,
    ) {
        worker.runs.values
            .filter { it.isUncertain && it.phase != RunPhase.STARTING }
            .forEach { run ->
                run.stopConfirmedAtMillis = 0
                run.stopOrderedAtMillis = now - state.limits.stopRepeatMillis
                runs.stop(run, now)
            }
    }

    // Orders sent before this incarnation was known, or by earlier owners, may have granted leases.
    private fun longestLeaseEnd(listing: WorkerListing): Long = listing.clockMillis + state.limits.longestLeaseMillis

    private fun applyEnd(
        worker: WorkerEntry,
        end: ListedEnd,
        now: Long,
    ) {
        val id = end.taskId ?: return
        val run = worker.runs[id]?.takeIf { it.runId <= end.runId }
        val isUnread = state.isUnreadJob(id.jobId)
        if (isUnread) state.endsOfUnreadJobs.add(EndOfUnreadJob(worker.id, worker.bornUnixMillis, end, now))
        val task = taskOf(id, now)
        if (end.kind != EndKind.DONE || task?.step?.specification?.isLasting == true) {
            state.note(NoteKind.RUN_ENDED, id.toString(), "run ${end.runId} on ${worker.id}: ${end.kind}")
        }
        if (run != null) runs.markGone(run, "ended ${end.kind}", now)
        if (task == null) return
        runs.recordStart(task.job)
        val step = task.step.specification
        when {
            // Nothing is left to resume of a run that is done.
            step.isLasting && end.kind == EndKind.DONE -> task.checkpoint = ""
            end.checkpoint.isNotEmpty() -> task.checkpoint = end.checkpoint
        }
        when {
            step.isCompletedBy(end.kind) -> {
                noteDuplicateRun(task, end, worker)
                health.recordSuccess(worker)
                suspectJobs.recordCompletion(task, worker, now)
                if (run != null && run.runId == end.runId) {
                    recordRunTime(worker, task, run, now)
                }
                // Members of a gang complete together, so one such end completes all of them.
                val done = if (step.isGang) task.step.tasks else listOf(task)
                done.forEach { finish(it, now) }
            }

            end.kind == EndKind.FAILED -> fail(worker, task, end.runId, now)

            else -> state.markChanged(task.job)
        }
        val hasEndedByItself = end.kind == EndKind.DONE || end.kind == EndKind.FAILED
        if (run != null && hasEndedByItself) lastingRestarts.recordEnd(task, run, now)
    }

    private fun fail(
        worker: WorkerEntry,
        task: TaskEntry,
        runId: Long,
        now: Long,
    ) {
        // The task can succeed, so the failure says something about the worker only.
        if (task.phase == TaskPhase.DONE) return health.recordFailure(worker, task, now)
        val isWorkersFault = suspectJobs.recordFailure(task, runId, worker, now)
        if (isWorkersFault) health.recordFailure(worker, task, now) else task.addFailedWorker(worker.id)
        registry.recordFailure(task, runId)
        if (task.job.state.isFinal) stopAllRuns(task.job, now)
    }

    // The clock of an earlier owner may have been ahead: an occurrence that is not due on this machine may already have
    // run.
    private fun taskOf(
        id: TaskId,
        now: Long,
    ): TaskEntry? {
        val job = state.jobs[id.jobId] ?: return null
        if (id.occurrence in 0 until job.specification.occurrenceCount) registry.open(job, id.occurrence, now)
        return job.task(id)
    }

    /** Applies the runs and ends of the job [jobId] that workers listed before the job was read from the store. */
    fun applyDeferredListings(
        jobId: String,
        now: Long,
    ) {
        state.runsOfUnreadJobs.take(jobId).forEach { run ->
            val worker = state.workers[run.workerId]
            if (worker != null && worker.runs[run.taskId] === run) adoptDeferredRun(run, worker, now)
        }
        state.endsOfUnreadJobs.take(jobId).forEach { unread ->
            state.workers[unread.workerId]?.let { applyEnd(it, unread.end, now) }
        }
    }

    private fun adoptDeferredRun(
        found: Run,
        worker: WorkerEntry,
        now: Long,
    ) {
        val task = taskOf(found.taskId, now)
        if (task == null) {
            found.isOfUnreadJob = false
            runs.stop(found, now)
            return
        }
        runs.detach(found, worker)
        val listed = ListedRun(found.taskId, found.runId, checkpoint = "", found.percent, found.figure)
        adopt(worker, listed, now)
    }

    /** Stops runs of jobs that are still unknown after every job that may have been started was read from the store. */
    fun stopOrphanedRuns(now: Long) {
        val unwanted =
            state.runsOfUnreadJobs.takeMatching {
                !state.isUnreadJob(it.taskId.jobId) || it.orderedAtMillis < state.jobsReadAsOfMillis
            }
        unwanted.filter { state.workers[it.workerId]?.runs?.get(it.taskId) === it }.forEach {
            it.isOfUnreadJob = false
            runs.stop(it, now)
        }
    }

    private fun noteDuplicateRun(
        task: TaskEntry,
        end: ListedEnd,
        worker: WorkerEntry,
    ) {
        if (task.step.specification.mayRunCopies || task.step.specification.isGang) return
        val other = task.run
        if (task.phase != TaskPhase.DONE && other == null) return
        val beside = other?.let { "run ${it.runId} on ${it.workerId}, ${it.phase}" } ?: "an earlier completion"
        state.note(NoteKind.RUN_DOUBLED, task.id.toString(), "run ${end.runId} is done on ${worker.id} beside $beside")
    }

    private fun recordRunTime(
        worker: WorkerEntry,
        task: TaskEntry,
        run: Run,
        now: Long,
    ) {
        val queue = task.job.queue.name
        val estimateMillis = task.step.specification.estimatedMillis
        val tookMillis = now - run.orderedAtMillis
        val expected = state.runTimes.expectMillis(queue, estimateMillis)
        val machineMonitor = health.machineMonitor
        if (machineMonitor != null) {
            machineMonitor.recordCompletion(worker, task, run, tookMillis, now)
        } else if (expected > 0 && state.runTimes.isKnown(queue)) {
            health.recordRunTime(worker, tookMillis.toDouble() / expected, now)
        }
        if (isRepresentative(worker, task, run)) state.runTimes.learn(queue, tookMillis, estimateMillis)
    }

    // The distribution of run times uses only runs from start to end on healthy machines next to their data; the mean
    // uses all runs.
    private fun isRepresentative(
        worker: WorkerEntry,
        task: TaskEntry,
        run: Run,
    ): Boolean {
        if (!state.limits.load.runTimeSpreads) return true
        val dataRack = task.step.specification.dataRack
        return !run.isResumed && !worker.isSuspect && (dataRack.isEmpty() || dataRack == worker.listed.rack)
    }

    private fun finish(
        task: TaskEntry,
        now: Long,
    ) {
        val others = task.runs
        registry.completeTask(task, now)
        task.run = null
        task.copy = null
        others.forEach { runs.stop(it, now) }
    }

    private fun stopAllRuns(
        job: JobEntry,
        now: Long,
    ) {
        job.tasks().flatMap { it.runs }.forEach { runs.stop(it, now) }
    }

    private fun runs(
        worker: WorkerEntry,
        listed: ListedRun,
        now: Long,
    ) {
        val known = worker.runs[listed.taskId]
        if (known != null && known.runId == listed.runId) {
            update(known, listed, now)
            return
        }
        if (known != null && known.runId > listed.runId) return
        adopt(worker, listed, now)
    }

    private fun update(
        run: Run,
        listed: ListedRun,
        now: Long,
    ) {
        if (run.phase == RunPhase.STARTING) {
            run.phase = RunPhase.RUNNING
            run.confirmedAtMillis = now
        }
        runs.recordShown(run)
        if (listed.percent != run.percent) run.progressAtMillis = now
        run.percent = listed.percent
        run.figure = listed.figure
        if (listed.percent >= FULL_PERCENT) run.hasStartedUp = true
        if (listed.checkpoint.isNotEmpty()) runs.taskOf(run.taskId)?.checkpoint = listed.checkpoint
    }

    // Adopts a run that an earlier owner started or that was given up: kept if its task has no other run, otherwise
    // stopped.
    private fun adopt(
        worker: WorkerEntry,
        listed: ListedRun,
        now: Long,
    ) {
        val task = taskOf(listed.taskId, now)
        val specification = task?.step?.specification ?: UNKNOWN_STEP
        val team =
            task
                ?.job
                ?.record
                ?.teamName
                .orEmpty()
        // The demand of a run of an unknown job is not known, so it reserves the whole capacity. The capacity of an
        // unlisted worker is not known either.
        val amount = if (task == null) worker.listed.capacity else specification.amount
        val run = Run(listed.taskId, listed.runId, worker.id, amount, team, specification, now)
        run.reservesWholeWorker = task == null
        val isWanted = task != null && task.run == null && task.phase != TaskPhase.DONE
        runs.add(run, task.takeIf { isWanted }, worker)
        update(run, listed, now)
        noteFoundRun(run, task, isWanted)
        run.isOfUnreadJob = state.isUnreadJob(listed.taskId.jobId)
        if (run.isOfUnreadJob) state.runsOfUnreadJobs.add(run)
        if (!isWanted && !run.isOfUnreadJob) runs.stop(run, now)
    }

    private fun noteFoundRun(
        run: Run,
        task: TaskEntry?,
        isWanted: Boolean,
    ) {
        val found = "run ${run.runId} found on ${run.workerId}"
        val other = task?.runs?.firstOrNull { it !== run }
        when {
            isWanted -> state.note(NoteKind.RUN_ADOPTED, run.taskId.toString(), found)
            task == null -> state.note(NoteKind.RUN_ADOPTED, run.taskId.toString(), "$found; no open task")
            else -> {
                val beside = other?.let { "run ${it.runId} on ${it.workerId}, ${it.phase}" } ?: "${task.phase}"
                state.note(NoteKind.RUN_DOUBLED, run.taskId.toString(), "$found beside $beside")
            }
        }
    }

    // Removes runs that were confirmed before the listing was requested and that it shows neither as running nor as
    // ended.
    private fun removeMissingRuns(
        worker: WorkerEntry,
        listing: WorkerListing,
        sentAtMillis: Long,
        now: Long,
    ) {
        // The run may be among the ends that did not fit into the listing.
        if (!listing.hasAllEnds) return
        val listed = listing.running.mapTo(HashSet()) { it.taskId to it.runId }
        worker.runs.values.toList().forEach { run ->
            val mustBeListed =
                when (run.phase) {
                    RunPhase.STARTING -> false
                    RunPhase.RUNNING -> run.confirmedAtMillis < sentAtMillis
                    RunPhase.STOPPING -> run.stopConfirmedAtMillis in 1 until sentAtMillis
                }
            if (mustBeListed && (run.taskId to run.runId) !in listed) {
                state.note(NoteKind.RUN_LOST, run.taskId.toString(), "run ${run.runId} is not listed by ${worker.id}")
                runs.markGone(run, "not listed", now)
            }
        }
    }

    private companion object {
        const val FULL_PERCENT = 100
        val UNKNOWN_STEP = StepSpecification(taskCount = 1, amount = Amount())
    }
}
