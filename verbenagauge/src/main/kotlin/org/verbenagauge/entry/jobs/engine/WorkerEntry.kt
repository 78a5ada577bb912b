package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.jobs.model.Amount
import org.verbenagauge.entry.jobs.model.StepSpecification
import org.verbenagauge.entry.jobs.model.TaskId
import org.verbenagauge.entry.jobs.ports.ListedWorker
import org.verbenagauge.entry.load.SmoothedRatio
import org.verbenagauge.entry.load.WarmUpState

/** One worker as the deciding entry sees it. */
internal class WorkerEntry(
    var listed: ListedWorker,
    val seenAtMillis: Long,
) {
    val id: String get() = listed.address.workerId
    val runs = HashMap<TaskId, Run>()

    /** Whether the platform's list holds it now. */
    var isListed = true

    /** When it was last found to be missing in the list. */
    var unlistedSinceMillis = seenAtMillis

    /** Whether it has answered under this epoch, so that it refuses orders of earlier owners. */
    var isHeard = false

    /** Whether all its runs and ends were listed once under this epoch; a listing has room for some hundred ends. */
    var isWhollyListed = false

    /** Whether everything that earlier owners started here is known. */
    val hasToldAll: Boolean get() = isHeard && isWhollyListed
    var bornUnixMillis = 0L

    /** When the life that is known was first heard of. */
    var lifeSinceMillis = 0L

    /** Number of the last end that was taken in. */
    var seenEnd = 0L

    /** Ends up to this number are stored. */
    var storedEnd = 0L

    /** Ends up to this number were acknowledged to the worker. */
    var acknowledgedEnd = 0L

    /** Highest end of a lease that was sent, on the clock of the worker. */
    var leaseUntilWorkerMillis = 0L
    var lastAnswerMillis = 0L
    var firstFailureMillis: Long? = null
    var avoidUntilMillis = 0L
    var failStreak = 0

    /** How much longer than expected runs take here. */
    val slowness = SmoothedRatio()

    /** What is thought of its machine. */
    var standing = unknownStanding

    /** How slow its machine seems, as a power of two; 0 on a sound one. */
    var speedBand = 0

    /** Whether its machine is in doubt, so that it gets little or nothing. */
    var isDoubted = false

    // While all but certain it gets nothing, which fades without news; then one run at a time that proves it.
    private val isShut: Boolean
        get() = isDoubted && (standing.certainty > SURE || runs.size > lastingCount)

    /** Planned work for which it is kept free, such as a wave of maintenance or a move. */
    val reservations = HashSet<String>()

    /** Whether it is kept free for planned work. */
    val isReserved: Boolean get() = reservations.isNotEmpty()

    private var clockMillis = 0L
    private var clockReadAtMillis = 0L

    /** Room that nothing takes or may take. */
    var free: Amount = listed.capacity
        private set

    fun readClock(
        clock: Long,
        now: Long,
    ) {
        clockMillis = clock
        clockReadAtMillis = now
        lastAnswerMillis = now
        firstFailureMillis = null
    }

    /** Estimate of its clock; it may be ahead when the clock is slow. */
    fun estimatedClockMillis(now: Long): Long = clockMillis + (now - clockReadAtMillis)

    /** Whether every lease that was sent has passed, however slow its clock is. */
    fun hasSurelyLapsed(
        now: Long,
        limits: EngineLimits,
    ): Boolean {
        val slowest = clockMillis + ((now - clockReadAtMillis) * SLOWEST_CLOCK).toLong()
        return slowest > leaseUntilWorkerMillis + limits.clockMarginMillis
    }

    private var takesAllCount = 0

    /** Runs that last. */
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
        if (run.takesAll) takesAllCount += change
        if (run.specification.isLasting) lastingCount += change
    }

    val coldness = WarmUpState()

    /** Processor that is kept back while it is cold, in thousandths of a core. */
    var withheldCpuMillis = 0L

    // A cold worker takes one run, however large it is.
    private val open: Amount
        get() =
            if (withheldCpuMillis == 0L || runs.isEmpty()) {
                free
            } else {
                free.copy(cpuMillis = free.cpuMillis - withheldCpuMillis)
            }

    /** Whether a task of [step] finds room. */
    fun hasRoomFor(step: StepSpecification): Boolean {
        if (isShut) return false
        // A lasting task is away until it starts, and works on long after its worker is warm.
        val room = if (step.isLasting) free else open
        return (step.isFiller || step.amount.cpuMillis <= room.cpuMillis) &&
            step.amount.memoryMegabytes <= room.memoryMegabytes &&
            step.amount.gpus <= room.gpus
    }

    fun updateListed(worker: ListedWorker) {
        free += worker.capacity - listed.capacity
        listed = worker
    }

    /** Whether something runs here of which it is not known what it takes. */
    val isFull: Boolean get() = takesAllCount > 0

    /** Whether no end waits for its acknowledgement. */
    fun isSettledEmpty(): Boolean = acknowledgedEnd >= seenEnd

    /** Whether new runs may be placed here, its health aside. */
    val takesWork: Boolean get() = isListed && isHeard && listed.isReady && !isReserved && firstFailureMillis == null

    private companion object {
        const val SURE = 0.9
    }
}
