package org.verbenagauge.entry.jobs.owner

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.core.config.Configurator
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

// 6 s after the last run a lasting task counts as missing, and 3 s later as lost.
private const val LASTING_BOUND_MILLIS = 9_000L

// After an unplanned disruption, 4 s pass before the 3 s in which a missing task counts as lost.
private const val CALM_MILLIS = 7_000L

private enum class Loss {
    /** The worker ends; connections to it are refused, and its entry in the platform's list expires. */
    ENDED,

    /** No entry reaches the worker any more, but it keeps running, and the platform lists it. */
    CUT_OFF,
}

private data class OwnerChanges(
    val name: String,
    val loss: Loss,
    val stopsAtMillis: List<Long> = emptyList(),
    val killsAtMillis: List<Long> = emptyList(),
    val isIdleWorkerLost: Boolean = false,
) {
    override fun toString() = name
}

/** Plays a lasting task whose worker is lost, and changes of the owner after it. */
private class LastingTaskPlay(
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

private fun seconds(vararg seconds: Double) = seconds.map { LOSS_MILLIS + (it * 1_000).toLong() }

// Incident 011: each new owner waited for a silent worker anew, however long earlier owners had waited.
class LastingTaskAfterTakeoversTest :
    FunSpec({
        beforeSpec { Configurator.setLevel("verbenagauge", Level.OFF) }
        afterSpec { Configurator.setLevel("verbenagauge", Level.INFO) }

        context("a lasting task on a lost worker runs again in time, and never twice") {
            withData(
                nameFn = { it.name },
                Loss.entries.flatMap { loss ->
                    listOf(
                        OwnerChanges("$loss, no change of the owner", loss),
                        OwnerChanges("$loss, the owner is stopped once", loss, seconds(2.6)),
                        OwnerChanges("$loss, the owner is stopped as the worker is lost", loss, seconds(0.0)),
                        OwnerChanges(
                            "$loss, owners are stopped one after the other",
                            loss,
                            seconds(1.0, 3.0, 5.0, 7.0),
                        ),
                        OwnerChanges("$loss, owners are stopped late", loss, seconds(4.0, 6.0, 8.0)),
                        OwnerChanges("$loss with an idle one, one stop", loss, seconds(3.5), isIdleWorkerLost = true),
                        OwnerChanges("$loss, the owner is killed", loss, emptyList(), seconds(3.0)),
                        OwnerChanges(
                            "$loss, owners are stopped and one is killed",
                            loss,
                            seconds(1.0, 5.0),
                            seconds(3.0),
                        ),
                    )
                },
            ) { changes ->
                repeat(5) { seed ->
                    val play = LastingTaskPlay(changes, seed.toLong())
                    play.run()
                    play.violations.shouldBeEmpty()
                    play.awayMillis shouldBeLessThanOrEqual play.boundMillis
                }
            }
        }
    })
