package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.jobs.model.Amount
import org.verbenagauge.entry.jobs.model.StepSpecification
import org.verbenagauge.entry.jobs.model.TaskId
import org.verbenagauge.entry.jobs.ports.ListedWorker
import org.verbenagauge.entry.load.SmoothedRatio
import org.verbenagauge.entry.load.WarmUpState

/** State of one worker as known to the owner. */
internal class WorkerEntry(
    var listed: ListedWorker,
    val seenAtMillis: Long,
) {
    val id: String get() = listed.address.workerId
    val runs = HashMap<TaskId, Run>()

    /** Whether the platform currently lists it. */
    var isListed = true

    /** When it was last found missing from the platform's list. */
    var unlistedSinceMillis = seenAtMillis

    /** Whether it has answered under this epoch; from then on it refuses orders of earlier owners. */
    var hasAnswered = false

    /** Whether all its runs and ends were listed once under this epoch; one listing holds only some hundred ends. */
    var isFullyListed = false

    /** Whether every run that earlier owners started here is known. */
    val hasReportedAll: Boolean get() = hasAnswered && isFullyListed
    var bornUnixMillis = 0L

    /** When the current incarnation became known to this owner. */
    var incarnationSinceMillis = 0L

    /** Number of the last end that was applied. */
    var seenEnd = 0L

    /** Ends up to this number are stored. */
    var storedEnd = 0L

    /** Ends up to this number were acknowledged to the worker. */
    var acknowledgedEnd = 0L

    /** Latest expiry of any lease sent to it, in milliseconds of the worker's clock. */
    var leaseUntilWorkerMillis = 0L
    var lastAnswerMillis = 0L
    var firstFailureMillis: Long? = null
    var avoidUntilMillis = 0L
    var failStreak = 0

    /** Number of times in a row that the orders in flight got no answer although it returns listings. */
    var unansweredRounds = 0
    var unansweredAtMillis = 0L

    /** Ratio of actual to expected run times on this worker. */
    val slowness = SmoothedRatio()

    /** Estimated slowdown of its machine, with the certainty of a fault. */
    var standing = unknownStanding

    /** Estimated slowdown of its machine as a power of two; 0 on a healthy one. */
    var speedBand = 0

    /** Whether its machine is suspected to be slow or faulty, so that few or no new runs are placed here. */
    var isSuspect = false

    // While a fault is almost certain, no run starts here. The certainty decays without new observations; then one run
    // at a time probes the machine.
    private val isQuarantined: Boolean
        get() = isSuspect && (standing.certainty > QUARANTINE_CERTAINTY || runs.size > lastingCount)

    /** Planned operations for which it is kept free, such as a maintenance wave or a move. */
    val reservations = HashSet<String>()

    /** Whether it is kept free for a planned operation. */
    val isReserved: Boolean get() = reservations.isNotEmpty()

    private var clockMillis = 0L
    private var clockReadAtMillis = 0L

    /** Capacity that no known or possible run uses. */
    var free: Amount = listed.capacity
        private set

    fun recordClock(
        clock: Long,
        now: Long,
    ) {
        clockMillis = clock
        clockReadAtMillis = now
        lastAnswerMillis = now
        firstFailureMillis = null
    }

    /** Estimates its clock in milliseconds; the estimate may be ahead if the clock is slow. */
    fun estimatedClockMillis(now: Long): Long = clockMillis + (now - clockReadAtMillis)

    /** Whether every lease sent to it has expired, even on the slowest clock allowed. */
    fun haveLeasesExpired(
        now: Long,
        limits: EngineLimits,
    ): Boolean {
        val slowest = clockMillis + ((now - clockReadAtMillis) * SLOWEST_CLOCK_RATE).toLong()
        return slowest > leaseUntilWorkerMillis + limits.clockMarginMillis
    }

    /** Whether it has answered under this epoch and may have been granted leases since. */
    val hasLeases: Boolean get() = leaseUntilWorkerMillis > 0

    /** Time from [at] on after which every lease sent to it has expired, even on the slowest clock allowed. */
    fun leasesLeftMillis(
        at: Long,
        limits: EngineLimits,
    ): Long {
        val slowest = clockMillis + ((at - clockReadAtMillis) * SLOWEST_CLOCK_RATE).toLong()
        val leftMillis = maxOf(0, leaseUntilWorkerMillis - slowest)
        return (leftMillis / SLOWEST_CLOCK_RATE).toLong() + limits.clockMarginMillis
    }

    private var unknownSizeCount = 0

    /** Room that runs of lasting tasks occupy. */
    var lastingRoom = Amount()
        private set

    /** Number of runs of lasting tasks. */
    var lastingCount = 0
        private set

    fun add(run: Run) {
        runs.put(run.taskId, run)?.let { count(it, -1) }
        free -= run.room
        count(run, 1)
    }

    fun remove(run: Run) {
        if (runs[run.taskId] === run) {
            runs.remove(run.taskId)
            free += run.room
            count(run, -1)
        }
    }

    private fun count(
        run: Run,
        change: Int,
    ) {
        if (run.reservesWholeWorker) unknownSizeCount += change
        if (run.specification.isLasting) {
            lastingCount += change
            lastingRoom = if (change > 0) lastingRoom + run.room else lastingRoom - run.room
        }
    }

    val coldness = WarmUpState()

    /** Processor capacity withheld while it is cold, in thousandths of a core. */
    var withheldCpuMillis = 0L

    // A cold worker always accepts one run, of any size.
    private val usable: Amount
        get() =
            if (withheldCpuMillis == 0L || runs.isEmpty()) {
                free
            } else {
                free.copy(cpuMillis = free.cpuMillis - withheldCpuMillis)
            }

    /** Returns the capacity that a new task can use, or null if none may start here. */
    fun room(isLasting: Boolean): Amount? =
        when {
            isQuarantined -> null
            // A lasting task is unavailable until it starts, and keeps running long after its worker is warm.
            isLasting -> free
            else -> usable
        }

    /** Whether a task of [step] fits into the usable capacity. */
    fun hasRoomFor(step: StepSpecification): Boolean = room(step.isLasting)?.let(step.demand::fitsInto) ?: false

    /** Returns the number of tasks of [step] that run here. */
    fun countRunsOf(step: StepEntry): Int =
        runs.keys.count {
            it.jobId == step.occurrence.job.id && it.occurrence == step.occurrence.number && it.step == step.index
        }

    fun updateListed(worker: ListedWorker) {
        free += worker.capacity - listed.capacity
        listed = worker
    }

    /** Whether a run of unknown demand is on this worker. */
    val hasRunOfUnknownSize: Boolean get() = unknownSizeCount > 0

    /** Whether all known ends are acknowledged. */
    fun areEndsAcknowledged(): Boolean = acknowledgedEnd >= seenEnd

    /** Whether new runs may be placed here, regardless of its health. */
    val isSchedulable: Boolean get() =
        isListed &&
            hasAnswered &&
            listed.isReady &&
            !isReserved &&
            firstFailureMillis == null

    /** Whether its first answer is still due: a working worker answers soon after a takeover or its first listing. */
    fun isAwaited(now: Long): Boolean = !hasAnswered && now - seenAtMillis < FIRST_ANSWER_TIMEOUT_MILLIS

    private companion object {
        // Longer than two calls to a worker.
        const val FIRST_ANSWER_TIMEOUT_MILLIS = 2_000L
        const val QUARANTINE_CERTAINTY = 0.9
    }
}
