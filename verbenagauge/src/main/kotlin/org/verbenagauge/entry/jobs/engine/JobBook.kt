package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.jobs.model.Amount
import org.verbenagauge.entry.jobs.model.JobState
import org.verbenagauge.entry.jobs.model.QueueConfiguration
import org.verbenagauge.entry.jobs.model.StepSpecification
import org.verbenagauge.entry.jobs.model.TaskId
import org.verbenagauge.entry.jobs.ports.EndKind
import org.verbenagauge.entry.jobs.records.JobRecord
import org.verbenagauge.entry.jobs.records.ProgressRecord
import org.verbenagauge.entry.jobs.records.TaskNumbers
import org.verbenagauge.entry.load.ShareStatus
import java.util.BitSet

/** Scheduling state of one task. */
internal enum class TaskPhase {
    /** Waits for steps that it depends on, or, if it lasts, for the end of a pause after short runs. */
    BLOCKED,

    /** May start. */
    READY,

    /** Has a run on a worker. */
    PLACED,

    /** Completed; never runs again. */
    DONE,
}

/** One task of a step, with its current runs. */
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

    /** Second, concurrent run of the same task; only for steps whose caller allows copies. */
    var copy: Run? = null

    /** Runs of this task that occupy room on workers. */
    val runs: List<Run> get() = listOfNotNull(run, copy)
    var checkpoint = ""
    var readySinceMillis = 0L

    /** How the last known run ended, for the log. */
    var lastRunSummary = "no run is known"

    // Most tasks never fail, and an owner holds very many tasks.
    private var failures: Failures? = null

    private class Failures {
        val runIds = sortedSetOf<Long>()
        val workerIds = HashSet<String>()
        var shortRuns = 0
    }

    /** Number of its last runs in a row that ended soon after their start. */
    val shortRuns: Int get() = failures?.shortRuns ?: 0

    /** Records whether its last run has ended soon after its start. */
    fun recordLifetime(isShort: Boolean) {
        if (isShort || failures != null) failures().shortRuns = if (isShort) shortRuns + 1 else 0
    }

    /** Run numbers of the failed runs, in ascending order. */
    val failedRuns: Set<Long> get() = failures?.runIds ?: emptySet()

    /** IDs of workers on which runs of this task failed or got stuck. */
    val failedWorkerIds: Set<String> get() = failures?.workerIds ?: emptySet()

    /** Records that the run [runId] failed; returns false if that was known. */
    fun addFailedRun(runId: Long): Boolean = failures().runIds.add(runId)

    /** Records that a run of this task failed or got stuck on the worker [workerId]. */
    fun addFailedWorker(workerId: String) {
        failures().workerIds += workerId
    }

    private fun failures() = failures ?: Failures().also { failures = it }

    /** Whether a run was stopped on a slow machine so that the task continues on another one. */
    var isRescued = false

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

    /** Number of tasks that may start. */
    var readyCount = 0
        private set

    /** Whether any of its tasks is ready and, in a job of which one task is retried, belongs to the step of that task. */
    val mayStartAny: Boolean get() = readyCount > 0 && occurrence.job.retry.let { it == null || it.step === this }
    var isOpen = false
    val isDone: Boolean get() = doneCount == tasks.size
    val key: String get() = "${occurrence.job.id}.${occurrence.number}.$index"

    /** What the advisor has told about the step. */
    val advice: StepAdvice get() = knownAdvice ?: StepAdvice().also { knownAdvice = it }

    // Most steps need no advice, and an owner holds very many.
    private var knownAdvice: StepAdvice? = null

    /** Discards what the advisor has told about the step. */
    fun forgetAdvice() {
        knownAdvice = null
    }

    /**
     * Room that [tasks] tasks occupy; fillers reserve no processor time, since they use only what others leave idle.
     */
    fun room(tasks: Int): Amount {
        val one = specification.amount
        val cpuMillis = if (specification.isFiller) 0 else one.cpuMillis
        return Amount(cpuMillis * tasks, one.memoryMegabytes * tasks, one.gpus * tasks)
    }

    /**
     * Updates the ready counts after a task changed phase; [wasReady] and [isReady] tell whether it could and can
     * start.
     */
    fun phaseChanged(
        wasReady: Boolean,
        isReady: Boolean,
    ) {
        val change = (if (isReady) 1 else 0) - (if (wasReady) 1 else 0)
        readyCount += change
        occurrence.job.readyTasksChanged(change)
        occurrence.job.listener?.tasksChanged(this, change)
    }
}

/** Receives changes of the tasks of a job. */
internal interface JobListener {
    /** Called when a task of [step] has changed; [readyChange] is the change in the number of ready tasks. */
    fun tasksChanged(
        step: StepEntry,
        readyChange: Int,
    )

    /** Called when a worker has shown the first run of [job]. */
    fun started(job: JobEntry)
}

/** One occurrence of a job; a scheduled job has one for each repetition. */
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
    queue: QueueConfiguration,
    val acceptedAtMillis: Long,
    val mayHaveEarlierRuns: Boolean,
) {
    /** Newest known settings of its queue; the name never changes. */
    var queue = queue

    /** Whether no settings of its queue are known, so that none of its tasks can start. */
    val isQueueUnknown get() = queue.serviceName.isEmpty()

    /** Opened occurrences that are not done, by number. */
    val open = sortedMapOf<Int, OccurrenceEntry>()
    val doneOccurrences = BitSet()
    val numbers = TaskNumbers(record.specification)

    /** Number of tasks of the open occurrences. */
    var openTasks = 0L

    /** Lowest occurrence that may be neither open nor done. */
    var nextOccurrence = 0

    /** Due time of that occurrence; for a job without a schedule, the time at which it was accepted. */
    var nextDueUnixMillis = 0L

    /** Returns the first occurrence that is neither open nor done, or null if there is none. */
    fun nextUnopened(): Int? {
        var number = nextOccurrence
        while (number < specification.occurrenceCount && (number in open || doneOccurrences[number])) number++
        return number.takeIf { it < specification.occurrenceCount }
    }

    var state = JobState.QUEUED

    /** Receives changes of the tasks; null once the job has ended. */
    var listener: JobListener? = null

    /** Number of tasks that may start. */
    var readyCount = 0
        private set

    /** Whether the job is within the share of its account or surplus. */
    var share = ShareStatus.WITHIN_SHARE

    /** The only task that is retried while the job is suspected of being hopeless; null if it is not suspected. */
    var retry: TaskEntry? = null
        set(value) {
            field = value
            knownLeastDemand = null
        }

    /** Whether a worker has ever shown a run; stays true when the job waits again. */
    var hasStarted = false
        set(value) {
            if (value && !field) listener?.started(this)
            field = value
        }
    val specification get() = record.specification
    val isLasting = record.specification.isLasting
    val hasGang = record.specification.steps.any { it.isGang }
    val mayRunCopies = record.specification.steps.any { it.mayRunCopies }

    /** Time by which callers expect the job to be completed, based on the expected run times in [times]. */
    fun objectiveAtMillis(times: RunTimes): Long {
        val chainMillis = specification.longestChainMillis { expectMillis(it, times) }
        return acceptedAtMillis + queue.objectiveMillis + (queue.slackFactor * chainMillis).toLong()
    }

    /** Expected duration of the longest chain of unfinished steps, in milliseconds. */
    fun remainingMillis(times: RunTimes): Long {
        val steps = open[open.keys.firstOrNull() ?: 0]?.steps
        return specification.longestChainMillis { if (steps?.get(it)?.isDone == true) 0 else expectMillis(it, times) }
    }

    /** Expected work of all unfinished tasks, in thousandths of core milliseconds. */
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

    // Null when it has to be computed again.
    private var knownLeastDemand: Amount? = null

    /** Records that tasks of the job have become ready or are no longer ready. */
    fun readyTasksChanged(change: Int) {
        readyCount += change
        knownLeastDemand = null
    }

    /**
     * Least free capacity that a worker needs for any ready task of the job; more than any worker has if all of them
     * wait for a retry.
     */
    val leastDemand: Amount get() = knownLeastDemand ?: computeLeastDemand().also { knownLeastDemand = it }

    private fun computeLeastDemand(): Amount {
        var least = unlimitedDemand
        open.values.forEach { occurrence ->
            occurrence.steps.forEach { step ->
                if (step.mayStartAny) least = least.atMost(step.specification.demand)
            }
        }
        return least
    }

    /** Returns the progress to store. */
    fun progress(): ProgressRecord {
        val done = ArrayList<String>()
        val failed = HashMap<String, List<Long>>()
        val checkpoints = HashMap<String, String>()
        tasks().forEach { task ->
            if (task.phase == TaskPhase.DONE) {
                done += task.id.localKey
                return@forEach
            }
            if (task.failedRuns.isNotEmpty()) failed[task.id.localKey] = task.failedRuns.toList()
            if (task.checkpoint.isNotEmpty()) checkpoints[task.id.localKey] = task.checkpoint
        }
        return ProgressRecord(done, failed, checkpoints, hasStarted, doneOccurrences.toLongArray().toList())
    }
}

private val unlimitedDemand = Amount(Long.MAX_VALUE, Long.MAX_VALUE, Long.MAX_VALUE)

/**
 * Free capacity that a worker needs for a task of the step. A filler fits beside any use of processor time, since it
 * uses only what others leave idle.
 */
internal val StepSpecification.demand: Amount get() = if (isFiller) amount.copy(cpuMillis = Long.MIN_VALUE) else amount

/** Whether a run that ends as [kind] completes its task. A lasting task starts again however its run ends. */
internal fun StepSpecification.isCompletedBy(kind: EndKind): Boolean = kind == EndKind.DONE && !isLasting

/** State of one run on its worker. */
internal enum class RunPhase {
    /** Ordered but not confirmed; it may or may not be running. */
    STARTING,

    /** Confirmed by the worker. */
    RUNNING,

    /** Ordered to stop; it may still be running. */
    STOPPING,
}

/** A run that occupies room on a worker, or may do so. */
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

    /** Whether its job has not been read yet; such a run is neither assigned to a task nor stopped. */
    var isOfUnreadJob = false

    /** Whether the room that it occupies is unknown, so that nothing else is placed on its worker. */
    var reservesWholeWorker = false

    /** Whether some start order for this run got no answer, so that the worker may still carry it out late. */
    var isUncertain = false

    /** Whether its order is no longer repeated although it got no answer; the worker may still carry out a copy of it. */
    var isStartAbandoned = false

    /** Whether its worker has refused a repeated order for it as old, so that only the worker knows how it ended. */
    var hasUnlistedEnd = false
    var percent = 0

    /** Whether its worker has ever shown it, by its answer to the order or in a listing. */
    var isShown = false

    /** Whether it resumed from a checkpoint, so that its duration is not that of the whole task. */
    var isResumed = false

    /** Recent speed of the run. */
    val speed = RunSpeed()
    var progressAtMillis = orderedAtMillis

    /** Last load figure that the worker reported, see [org.verbenagauge.entry.jobs.ports.ListedRun.figure]. */
    var figure = 0L
    var pacePercentage = FULL_PACE_PERCENTAGE

    /** Whether the worker has reported full progress, which means that a lasting task is operational. */
    var hasStartedUp = false

    /** Room that the run occupies; fillers reserve no processor time, since they use only what others leave idle. */
    val room: Amount get() = if (specification.isFiller) amount.copy(cpuMillis = 0) else amount
}

/** Pace percentage of a run that is not slowed down. */
internal const val FULL_PACE_PERCENTAGE = 100
