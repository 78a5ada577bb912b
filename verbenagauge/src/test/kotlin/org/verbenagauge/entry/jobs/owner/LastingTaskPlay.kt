package org.verbenagauge.entry.jobs.owner

import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import org.verbenagauge.entry.jobs.engine.configuration
import org.verbenagauge.entry.jobs.engine.job
import org.verbenagauge.entry.jobs.engine.step
import org.verbenagauge.entry.jobs.model.TaskId
import kotlin.random.Random

private const val JOB = "job1-"
private const val WORKERS = 4
private const val ENTRIES = 4
private const val LOSS_MILLIS = 10_000L
private const val RESTART_MILLIS = 3_000L
private const val END_MILLIS = 45_000L
private const val SEEDS = 5

// 6 s after the last run a lasting task counts as missing, and 3 s later as lost.
private const val LASTING_BOUND_MILLIS = 9_000L

// After an unplanned disruption, 4 s pass before the 3 s in which a missing task counts as lost.
private const val CALM_MILLIS = 7_000L

/** How the worker of the lasting task is lost. */
internal enum class Loss {
    /** The worker ends; connections to it are refused, and its entry in the platform's list expires. */
    ENDED,

    /** No entry reaches the worker any more, but it keeps running, and the platform lists it. */
    CUT_OFF,
}

/**
 * Loss of a worker and the changes of the owner around it.
 *
 * @property isIdleWorkerLost whether a worker without runs ends at the same time.
 */
internal data class OwnerChanges(
    val name: String,
    val loss: Loss,
    val stopsAtMillis: List<Long> = emptyList(),
    val killsAtMillis: List<Long> = emptyList(),
    val isIdleWorkerLost: Boolean = false,
) {
    override fun toString() = name
}

/** Plays a lasting task whose worker is lost, and changes of the owner after it. */
internal class LastingTaskPlay(
    private val changes: OwnerChanges,
    seed: Long,
) {
    private val time = VirtualTime()
    private val random = Random(seed)
    private val trace = FuzzTrace(time, isOn = false)
    private val oracle = TakeoverOracle(time, capacityCpuMillis = 4_000, maxAttempts = 3)
    private val store = VirtualStore(time)
    private val storeFaults = StoreFaults(time, random)
    private val networkFaults = NetworkFaults(time, random)
    private val machines =
        List(WORKERS) { index ->
            WorkerMachine(index, 4_000, time, store, storeFaults, trace) { workerId, number ->
                WorkerIncarnation(
                    IncarnationId(workerId, number),
                    1 + time.nowMillis,
                    0.98,
                    time,
                    random,
                    oracle,
                    trace,
                )
            }
        }
    private val env =
        FuzzEnvironment(time, random, store, storeFaults, networkFaults, machines, oracle, trace, configuration())
    private val entries: List<FuzzEntry> = List(ENTRIES) { FuzzEntry("e$it", it, 1_000L * it, env) { allEntries() } }
    private val taskId = TaskId(JOB, 0, 0, 0)
    private var endedAtMillis = 0L

    private fun allEntries() = entries

    /** Virtual time from the end of the task's run to its next start; [END_MILLIS] if there is none. */
    var awayMillis = END_MILLIS
        private set

    /** Rules that were broken. */
    val violations get() = oracle.violations

    fun run() {
        machines.forEach { it.start(100) }
        entries.forEach { it.start() }
        val record = job(step(1, cpuMillis = 100, isLasting = true))
        oracle.registerJob(JOB, record)
        time.after(4_000) {
            oracle.submissionSent(JOB)
            entries.last().submit(JOB, record, 3_000) {}
        }
        time.after(LOSS_MILLIS, ::loseWorker)
        changes.stopsAtMillis.forEach { time.after(it) { restart { entry -> entry.stop(graceMillis = 2_000) } } }
        changes.killsAtMillis.forEach { time.after(it) { restart { entry -> entry.kill() } } }
        time.run(END_MILLIS) { awayMillis < END_MILLIS || violations.isNotEmpty() }
    }

    private fun loseWorker() {
        val lost = checkNotNull(oracle.workerOf(taskId)) { "the task does not run" }
        val machine = machines.first { it.workerId == lost.workerId }
        when (changes.loss) {
            Loss.ENDED -> machine.crash(downMillis = END_MILLIS, isRenamed = true)
            Loss.CUT_OFF ->
                entries.forEach { entry ->
                    networkFaults.cut(entry.id, machine.address, END_MILLIS)
                    networkFaults.cut(machine.address, entry.id, END_MILLIS)
                }
        }
        if (changes.isIdleWorkerLost) machines.first { it !== machine }.crash(downMillis = END_MILLIS, isRenamed = true)
        watch()
    }

    private fun watch() {
        val isRunning = oracle.workerOf(taskId) != null
        if (!isRunning && endedAtMillis == 0L) endedAtMillis = time.nowMillis
        if (isRunning && endedAtMillis > 0) awayMillis = time.nowMillis - endedAtMillis
        time.after(20, ::watch)
    }

    private fun restart(end: (FuzzEntry) -> Unit) {
        val owner = entries.firstOrNull { it.isOwner } ?: entries.first()
        end(owner)
        time.after(RESTART_MILLIS) { owner.start() }
    }

    /** Latest time away that the pages allow. */
    val boundMillis: Long
        get() = maxOf(LASTING_BOUND_MILLIS, (changes.killsAtMillis.maxOrNull() ?: 0) + CALM_MILLIS - endedAtMillis)
}

/** Times after the loss of the worker, in milliseconds of the play. */
internal fun secondsAfterLoss(vararg seconds: Double): List<Long> = seconds.map { LOSS_MILLIS + (it * 1_000).toLong() }

/** Checks with five seeds that the lasting task is away no longer than the pages allow, and that no rule is broken. */
internal fun OwnerChanges.shouldEndTheAbsenceInTime() {
    repeat(SEEDS) { seed ->
        val play = LastingTaskPlay(this, seed.toLong())
        play.run()
        play.violations.shouldBeEmpty()
        play.awayMillis shouldBeLessThanOrEqual play.boundMillis
    }
}
