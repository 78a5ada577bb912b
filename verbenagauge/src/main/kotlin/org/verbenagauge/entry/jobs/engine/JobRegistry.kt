package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.jobs.model.JobState
import org.verbenagauge.entry.jobs.model.QueueConfiguration
import org.verbenagauge.entry.jobs.records.JobRecord
import org.verbenagauge.entry.jobs.records.ProgressRecord
import java.util.BitSet

/** Adds jobs, opens their steps in dependency order and ends them. */
internal class JobRegistry(
    private val state: EngineState,
    private val runs: RunTracker,
    private val ready: ReadyJobs,
    private val accounts: AccountUsage,
) {
    private val listener =
        object : JobListener {
            override fun tasksChanged(
                step: StepEntry,
                readyChange: Int,
            ) = ready.changed(step, readyChange)

            override fun started(job: JobEntry) = state.pending.remove(job)
        }
    private val opener = OccurrenceOpener(state.limits.maxOpenTasks, ::open)

    private val idsOfUnknownQueues = HashSet<String>()

    /** Number of jobs that wait because no settings of their queue are known. */
    val jobsOfUnknownQueues: Int get() = idsOfUnknownQueues.size

    /** Number of tasks of all open occurrences. */
    val openTasks: Long get() = opener.openTasks

    /** Number of jobs with an occurrence that is due but not open, since too many tasks are. */
    val jobsWithWaitingOccurrences: Int get() = opener.waitingJobs

    /** Adds a job; [progress] is what an earlier owner stored, or null if nothing was stored. */
    fun accept(
        id: String,
        record: JobRecord,
        acceptedAtMillis: Long,
        progress: ProgressRecord?,
        mayHaveEarlierRuns: Boolean,
        now: Long,
    ) {
        if (id in state.jobs) return
        if (state.hasEnded(id)) return accounts.accepted(id, record, now)
        val queue = queueOf(record, known = null)
        val job = JobEntry(id, record, queue, acceptedAtMillis, mayHaveEarlierRuns)
        state.jobs[id] = job
        state.pending.add(job)
        state.pressure.accepted(job)
        job.listener = listener
        accounts.accepted(id, record, now)
        val share = if (job.share.isSurplus) ", surplus of account '${record.teamName}'" else ""
        val text = "queue '${queue.name}', inherited $mayHaveEarlierRuns, ${describe(record)}$share"
        state.note(NoteKind.JOB_TAKEN, id, text)
        if (job.isQueueUnknown) waitForQueue(job)
        if (progress != null) restore(job, progress, now)
        opener.add(job, now)
        endIfDone(job)
        failIfExhausted(job)
        if (id in state.earlyCancellations) cancel(id, now)
    }

    /** Applies the queue settings of the current configuration to the jobs that are already known. */
    fun reconfigure(now: Long) {
        state.jobs.values.toList().forEach { job ->
            val queue = queueOf(job.record, known = job.queue)
            if (queue != job.queue) changeQueue(job, queue, now)
        }
    }

    // Indexes by service and rank are derived from the settings, so the job leaves them and enters them again.
    private fun changeQueue(
        job: JobEntry,
        queue: QueueConfiguration,
        now: Long,
    ) {
        val previous = job.queue
        ready.remove(job)
        job.queue = queue
        idsOfUnknownQueues -= job.id
        ready.add(job)
        state.pressure.objectiveChanged(job)
        if (previous.serviceName != queue.serviceName) {
            job.open.values
                .flatMap { it.steps }
                .forEach { it.forgetAdvice() }
            val services = "from service '${previous.serviceName}' to '${queue.serviceName}'"
            state.note(NoteKind.JOB_SERVICE_CHANGED, job.id, "queue '${queue.name}' $services")
        }
        failIfExhausted(job)
        if (job.state.isFinal) stopRuns(job, now)
    }

    // The newest known settings. The configuration may be older than the job, or may no longer have its queue; the
    // accepted job still has to run.
    private fun queueOf(
        record: JobRecord,
        known: QueueConfiguration?,
    ): QueueConfiguration {
        val accepted = record.acceptedQueue
        val configuration = state.configuration
        val isNewer = accepted != null && accepted.configurationVersion > (configuration?.version ?: -1)
        val current = if (isNewer) null else configuration?.queue(record.queueName)
        return current ?: known ?: accepted?.toQueue(record.queueName) ?: unknownQueue(record.queueName)
    }

    private fun waitForQueue(job: JobEntry) {
        idsOfUnknownQueues += job.id
        val version = state.configuration?.version
        val detail = "queue '${job.queue.name}' is not in configuration $version and its settings are not stored"
        state.note(NoteKind.QUEUE_UNKNOWN, job.id, "$detail; the job waits for a configuration with the queue")
    }

    private fun describe(record: JobRecord): String =
        record.specification.steps.joinToString(prefix = "steps ") { step ->
            val kind = listOfNotNull("lasting".takeIf { step.isLasting }, "filler".takeIf { step.isFiller })
            "${step.taskCount}x${step.amount.cpuMillis}m/${step.estimatedMillis}ms$kind"
        }

    private fun restore(
        job: JobEntry,
        progress: ProgressRecord,
        now: Long,
    ) {
        if (progress.showsStart) {
            job.hasStarted = true
            job.state = JobState.ACTIVE
        }
        restoreDoneOccurrences(job, progress)
        val startedKeys = progress.doneTasks.filter { '.' in it } + progress.failedRuns.keys + progress.checkpoints.keys
        startedKeys
            .mapNotNullTo(HashSet()) { it.substringBefore('.').toIntOrNull() }
            .filter { it in 0 until job.specification.occurrenceCount && !job.doneOccurrences[it] }
            .forEach { open(job, it, now) }
        val done = progress.doneTasks.toSet()
        job.tasks().toList().forEach { task ->
            val key = task.id.localKey
            if (key in done) markDone(task)
            progress.failedRuns[key]?.forEach { task.addFailedRun(it) }
            task.checkpoint = progress.checkpoints[key].orEmpty()
        }
        job.open.values
            .toList()
            .forEach { openReadySteps(it, now) }
    }

    private fun restoreDoneOccurrences(
        job: JobEntry,
        progress: ProgressRecord,
    ) {
        if (job.isLasting) return
        job.doneOccurrences.or(BitSet.valueOf(progress.doneOccurrenceWords.toLongArray()))
        progress.doneTasks
            .filter { '.' !in it }
            .mapNotNull { it.toIntOrNull() }
            .filter { it in 0 until job.specification.occurrenceCount }
            .forEach { job.doneOccurrences.set(it) }
        job.doneOccurrences.clear(job.specification.occurrenceCount, Int.MAX_VALUE)
    }

    /** Opens occurrence [number] of [job] unless it was opened before. */
    fun open(
        job: JobEntry,
        number: Int,
        now: Long,
    ) {
        if (number in job.open || job.doneOccurrences[number]) return
        val occurrence = OccurrenceEntry(job, number)
        job.open[number] = occurrence
        opener.recordOpened(job)
        openReadySteps(occurrence, now)
    }

    /** Opens the occurrences that are due at [unixMillis], as far as the number of open tasks allows. */
    fun openDue(
        unixMillis: Long,
        now: Long,
    ) {
        opener.openDue(unixMillis, now)
    }

    /** Marks [task] as done, opens the steps that waited for it and ends its job if nothing is left. */
    fun completeTask(
        task: TaskEntry,
        now: Long,
    ) {
        if (task.phase == TaskPhase.DONE) return
        markDone(task)
        val occurrence = task.step.occurrence
        openReadySteps(occurrence, now)
        if (occurrence.isDone) {
            task.job.doneOccurrences.set(occurrence.number)
            if (task.job.open.remove(occurrence.number) != null) opener.recordClosed(task.job)
        }
        state.markChanged(task.job)
        endIfDone(task.job)
    }

    private fun markDone(task: TaskEntry) {
        // Also read from rows of releases that took a lasting task that ended as done for complete.
        if (task.phase == TaskPhase.DONE || task.step.specification.isLasting) return
        task.phase = TaskPhase.DONE
        task.step.doneCount++
        state.pressure.done(task)
    }

    private fun openReadySteps(
        occurrence: OccurrenceEntry,
        now: Long,
    ) {
        occurrence.steps.filter { !it.isOpen && dependenciesDone(it) }.forEach { step ->
            step.isOpen = true
            step.tasks.filter { it.phase == TaskPhase.BLOCKED }.forEach { markReady(it, now) }
        }
    }

    private fun dependenciesDone(step: StepEntry): Boolean =
        step.specification.dependsOn.all { dependency ->
            step.occurrence.steps
                .getOrNull(dependency)
                ?.isDone ?: true
        }

    private fun markReady(
        task: TaskEntry,
        now: Long,
    ) {
        task.phase = TaskPhase.READY
        task.readySinceMillis = now
    }

    private fun endIfDone(job: JobEntry) {
        val isDone = job.doneOccurrences.cardinality() >= job.specification.occurrenceCount
        if (isDone) end(job, JobState.COMPLETED)
    }

    /** Records a failed run of [task] and fails the job if no attempt is left. */
    fun recordFailure(
        task: TaskEntry,
        runId: Long,
    ) {
        // Tasks that last may fail any number of times, so their failed runs are neither counted nor kept.
        if (task.step.specification.isLasting) return state.markChanged(task.job)
        if (!task.addFailedRun(runId)) return
        state.markChanged(task.job)
        if (failures(task) >= task.job.queue.maxAttempts) end(task.job, JobState.FAILED)
    }

    // The number of attempts may have been lowered below that of the failed runs.
    private fun failIfExhausted(job: JobEntry) {
        val isExhausted =
            job.tasks().any { task ->
                val isWaiting = task.phase == TaskPhase.READY && task.failedRuns.isNotEmpty()
                isWaiting && !task.step.specification.isLasting && failures(task) >= job.queue.maxAttempts
            }
        if (isExhausted) end(job, JobState.FAILED)
    }

    // A gang fails as a whole, so the failed runs of all its members count.
    private fun failures(task: TaskEntry): Int {
        if (!task.step.specification.isGang) return task.failedRuns.size
        return task.step.tasks
            .flatMapTo(HashSet()) { it.failedRuns }
            .size
    }

    /** Cancels the job [id], now or as soon as it is read; returns false if it is unknown. */
    fun cancel(
        id: String,
        now: Long,
    ): Boolean {
        val job = state.jobs[id]
        if (job == null) {
            state.rememberEarlyCancellation(id)
            return false
        }
        end(job, JobState.CANCELLED)
        stopRuns(job, now)
        return true
    }

    private fun stopRuns(
        job: JobEntry,
        now: Long,
    ) {
        job.tasks().flatMap { it.runs }.forEach { runs.stop(it, now) }
    }

    private fun end(
        job: JobEntry,
        finalState: JobState,
    ) {
        if (job.state.isFinal) return
        job.state = finalState
        state.jobs.remove(job.id)
        job.listener = null
        ready.remove(job)
        opener.remove(job)
        idsOfUnknownQueues -= job.id
        state.pressure.ended(job)
        if (!job.hasStarted) state.pending.remove(job)
        state.markEnded(job)
        state.note(NoteKind.JOB_ENDED, job.id, "$finalState, queue '${job.queue.name}'")
    }

    // Lets the job be shown and cancelled; no worker belongs to its service.
    private fun unknownQueue(name: String) =
        QueueConfiguration(
            name = name,
            host = "",
            pathPrefix = "",
            serviceName = "",
            priority = Int.MAX_VALUE,
            maxAttempts = UNKNOWN_QUEUE_ATTEMPTS,
            slackFactor = 1.0,
            objectiveMillis = 0,
            isOpen = false,
        )

    private companion object {
        // No run may fail the job before the number of attempts of its queue is known.
        const val UNKNOWN_QUEUE_ATTEMPTS = Int.MAX_VALUE
    }
}
