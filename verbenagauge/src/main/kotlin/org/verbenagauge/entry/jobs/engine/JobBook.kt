package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.jobs.model.Amount
import org.verbenagauge.entry.jobs.model.JobState
import org.verbenagauge.entry.jobs.model.QueueConfiguration
import org.verbenagauge.entry.jobs.model.StepSpecification
import org.verbenagauge.entry.jobs.model.TaskId
import org.verbenagauge.entry.jobs.records.JobRecord
import org.verbenagauge.entry.jobs.records.ProgressRecord
import org.verbenagauge.entry.load.ShareStatus

/** How far one task is. */
internal enum class TaskPhase {
    /** Waits for other steps or for its time. */
    BLOCKED,

    /** May start. */
    READY,

    /** Has a run on a worker. */
    PLACED,

    /** Done for good. */
    DONE,
}

/** One task and its runs. */
internal class TaskEntry(
    val id: TaskId,
    val step: StepEntry,
) {
    var phase = TaskPhase.BLOCKED
        set(value) {
            if (field == value) return
            val wasReady = field == TaskPhase.READY
            field = value
            step.phaseChanged(wasReady, isReady = value == TaskPhase.READY)
        }
    var run: Run? = null

    /** Second run of the same task, where the caller allows copies. */
    var copy: Run? = null

    /** Runs that take room for the task. */
    val runs: List<Run> get() = listOfNotNull(run, copy)
    var checkpoint = ""
    var readySinceMillis = 0L

    /** How the last run that is known came to its end, for the log. */
    var lastRun = "no run is known"

    /** Runs that ended as failed. */
    val failedRuns = sortedSetOf<Long>()

    /** Whether a run was stopped on a slow machine to go on elsewhere. */
    var isRescued = false

    /** Workers on which runs of this task failed or stood still. */
    val failedOn = HashSet<String>()

    val amount: Amount get() = step.specification.amount
    val job: JobEntry get() = step.occurrence.job
}

/** One step of one occurrence. */
internal class StepEntry(
    val occurrence: OccurrenceEntry,
    val index: Int,
    val specification: StepSpecification,
) {
    val tasks =
        List(specification.taskCount) { TaskEntry(TaskId(occurrence.job.id, occurrence.number, index, it), this) }
    var doneCount = 0

    /** Tasks that may start. */
    var readyCount = 0
        private set
    var isOpen = false
    var tickets: Tickets? = null
    val isDone: Boolean get() = doneCount == tasks.size
    val key: String get() = "${occurrence.job.id}.${occurrence.number}.$index"

    /** Room that [tasks] tasks take; fillers use only the processor that others leave over. */
    fun room(tasks: Int): Amount {
        val one = specification.amount
        val cpuMillis = if (specification.isFiller) 0 else one.cpuMillis
        return Amount(cpuMillis * tasks, one.memoryMegabytes * tasks, one.gpus * tasks)
    }

    /** Takes note that a task that [wasReady] to start [isReady] now. */
    fun phaseChanged(
        wasReady: Boolean,
        isReady: Boolean,
    ) {
        val change = (if (isReady) 1 else 0) - (if (wasReady) 1 else 0)
        readyCount += change
        occurrence.job.readyCount += change
        occurrence.job.listener?.tasksChanged(this, change)
    }
}

/** Is told when tasks of a job change. */
internal interface JobListener {
    /** A task of [step] has changed; [readyChange] more of them may start. */
    fun tasksChanged(
        step: StepEntry,
        readyChange: Int,
    )

    /** The first run of [job] was ordered or found. */
    fun started(job: JobEntry)
}

/** Permissions of the advisor for one step; [byWorker] is null while the answer is awaited. */
internal class Tickets(
    val askedAtMillis: Long,
    val byWorker: Map<String, String>?,
    val validUntilMillis: Long,
)

/** One occurrence of a job. */
internal class OccurrenceEntry(
    val job: JobEntry,
    val number: Int,
) {
    val steps =
        job.record.specification.steps
            .mapIndexed { index, step -> StepEntry(this, index, step) }
    val isDone: Boolean get() = steps.all { it.isDone }
}

/** A job that has not ended. */
internal class JobEntry(
    val id: String,
    val record: JobRecord,
    val queue: QueueConfiguration,
    val acceptedAtMillis: Long,
    val mayHaveEarlierRuns: Boolean,
) {
    /** Occurrences that were opened and are not done, by number. */
    val open = sortedMapOf<Int, OccurrenceEntry>()
    val doneOccurrences = HashSet<Int>()
    var state = JobState.QUEUED

    /** Told of changes of tasks while the job is kept. */
    var listener: JobListener? = null

    /** Tasks that may start. */
    var readyCount = 0

    /** Whether it lies within what its account may send. */
    var share = ShareStatus.WITHIN_SHARE

    /** The one task that is tried again while the job is in doubt; null while it is not. */
    var retry: TaskEntry? = null

    /** Whether a run was ever ordered; kept while the job waits again. */
    var hasStarted = false
        set(value) {
            if (value && !field) listener?.started(this)
            field = value
        }
    val specification get() = record.specification
    val isLasting = record.specification.isLasting
    val hasGang = record.specification.steps.any { it.isGang }
    val mayRunCopies = record.specification.steps.any { it.mayRunCopies }

    /** Time by which callers expect the job to be completed, as far as [times] tell its work. */
    fun objectiveAtMillis(times: RunTimes): Long {
        val chainMillis = specification.longestChainMillis { expectMillis(it, times) }
        return acceptedAtMillis + queue.objectiveMillis + (queue.slackFactor * chainMillis).toLong()
    }

    /** Expected work of the longest chain of steps that are not done. */
    fun remainingMillis(times: RunTimes): Long {
        val steps = open[open.keys.firstOrNull() ?: 0]?.steps
        return specification.longestChainMillis { if (steps?.get(it)?.isDone == true) 0 else expectMillis(it, times) }
    }

    /** Expected work of all tasks that are not done, in core milliseconds times a thousand. */
    fun remainingWork(times: RunTimes): Long {
        val steps = open[open.keys.firstOrNull() ?: 0]?.steps
        return specification.steps.withIndex().sumOf { (index, step) ->
            val openTasks = step.taskCount - (steps?.get(index)?.doneCount ?: 0)
            openTasks * step.amount.cpuMillis * expectMillis(index, times)
        }
    }

    private fun expectMillis(
        step: Int,
        times: RunTimes,
    ) = times.expectMillis(queue.name, specification.steps[step].estimatedMillis)

    fun tasks(): Sequence<TaskEntry> =
        open.values.asSequence().flatMap { occurrence -> occurrence.steps.asSequence().flatMap { it.tasks } }

    fun task(id: TaskId): TaskEntry? =
        open[id.occurrence]
            ?.steps
            ?.getOrNull(id.step)
            ?.tasks
            ?.getOrNull(id.index)

    /** Returns what has to be stored of the progress. */
    fun progress(): ProgressRecord {
        val done = ArrayList<String>()
        doneOccurrences.forEach { done += "$it" }
        val failed = HashMap<String, List<Long>>()
        val checkpoints = HashMap<String, String>()
        tasks().forEach { task ->
            val key = task.id.localKey
            if (task.phase == TaskPhase.DONE) done += key
            if (task.failedRuns.isNotEmpty() && task.phase != TaskPhase.DONE) failed[key] = task.failedRuns.toList()
            if (task.checkpoint.isNotEmpty() && task.phase != TaskPhase.DONE) checkpoints[key] = task.checkpoint
        }
        return ProgressRecord(done, failed, checkpoints)
    }
}

/** How far one run is on its worker. */
internal enum class RunPhase {
    /** Ordered, not confirmed: it may or may not run. */
    STARTING,

    /** Confirmed by the worker. */
    RUNNING,

    /** Ordered to stop; it may still run. */
    STOPPING,
}

/** A run that takes room on a worker, or may do so. */
internal class Run(
    val taskId: TaskId,
    val runId: Long,
    val workerId: String,
    val amount: Amount,
    val teamName: String,
    val specification: StepSpecification,
    val orderedAtMillis: Long,
) {
    var phase = RunPhase.STARTING
    var confirmedAtMillis = 0L
    var stopOrderedAtMillis = 0L
    var stopConfirmedAtMillis = 0L

    /** Whether its job is not read yet; such a run is neither counted for a task nor stopped. */
    var isOfUnreadJob = false

    /** Whether it is not known what it takes, so that nothing is placed beside it. */
    var takesAll = false

    /** Whether a copy of the order to start got no answer, so that it may be carried out late. */
    var isUncertain = false
    var percent = 0

    /** Whether it went on from a saved state, so that its duration is not that of its task. */
    var isResumed = false

    /** Its speed of late. */
    val speed = RunSpeed()
    var progressAtMillis = orderedAtMillis
    var figure = 0L
    var pacePercentage = FULL_PACE
    var wasAtWork = false

    /** Room that the run takes; fillers use only what others leave over. */
    val room: Amount get() = if (specification.isFiller) amount.copy(cpuMillis = 0) else amount
}

/** Percentage at which a run is not slowed. */
internal const val FULL_PACE = 100
