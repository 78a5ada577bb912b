package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.jobs.model.JobState
import org.verbenagauge.entry.jobs.model.StepSpecification
import org.verbenagauge.entry.jobs.model.TaskId
import org.verbenagauge.entry.jobs.ports.EndKind
import org.verbenagauge.entry.jobs.ports.ListedEnd
import org.verbenagauge.entry.jobs.ports.ListedRun
import org.verbenagauge.entry.jobs.ports.OrderOutcome
import org.verbenagauge.entry.load.LoadSettings
import java.util.Random
import kotlin.math.exp

/**
 * Results of a replay.
 *
 * @property slowdowns time of each job divided by the work of its longest chain of tasks, sorted.
 * @property wronglyAvoidedNotes notes about machines that were avoided although they were not slow.
 * @property copies number of copies and of runs that were restarted on another worker.
 * @property wastedMillis work of runs that were stopped without a checkpoint.
 */
internal class SlowMachineResult(
    val slowdowns: List<Double>,
    val wronglyAvoidedNotes: List<String>,
    val copies: Int,
    val wastedMillis: Double,
    private val jobMillis: List<Long>,
) {
    /** 99th percentile of [slowdowns]. */
    val slowdownP99: Double get() = slowdowns[(slowdowns.size * 99) / 100]

    /** 95th percentile of the time of a job. */
    val p95Millis: Long get() = jobMillis[(jobMillis.size * 95) / 100]

    override fun toString(): String =
        "p95 $slowdownP95, p99 $slowdownP99 and $p95Millis ms, $copies copies, $wastedMillis ms wasted"

    /** 95th percentile of [slowdowns]. */
    val slowdownP95: Double get() = slowdowns[(slowdowns.size * 95) / 100]
}

/**
 * Replays a minute of jobs with eight tasks per step on the engine in virtual time. 3% of tasks take seven times as
 * long, estimates are off by a fifth, and every 20 s a part [slowShare] of the workers is slower by a factor of six for
 * eight seconds.
 */
internal class SlowMachineReplay(
    load: LoadSettings,
    seed: Long,
    private val slowShare: Double,
    private val mayRunCopies: Boolean = false,
    private val isCheckpointing: Boolean = false,
    copies: CopyPolicy? = null,
) {
    private class ActiveRun(
        val runId: Long,
        var remainingMillis: Double,
        val workMillis: Double,
    )

    private inner class ReplayWorker(
        val id: String,
    ) {
        val activeRuns = HashMap<TaskId, ActiveRun>()
        val ends = ArrayList<ListedEnd>()
        var slowUntilMillis = 0L
        var listedAtMillis = 0L
        private var endCounter = 0L

        fun advance(now: Long) {
            val stepMillis = if (now < slowUntilMillis) TICK_MILLIS / SLOW_FACTOR else TICK_MILLIS.toDouble()
            activeRuns.values.forEach { it.remainingMillis -= stepMillis }
            activeRuns.filterValues { it.remainingMillis <= 0 }.keys.forEach { end(it, EndKind.DONE) }
            if (ends.isEmpty() && (activeRuns.isEmpty() || now - listedAtMillis < LISTING_MILLIS)) return
            listedAtMillis = now
            engine.renewal(id, 0, isProven = true, now = now)
            val runs = activeRuns.map { (task, run) -> ListedRun(task, run.runId, "", percent(run), 0) }
            engine.handleListing(id, listing(runs, ends.toList(), clockMillis = now), now, now)
            ends.clear()
        }

        private fun percent(run: ActiveRun) = (100 * (1 - run.remainingMillis / run.workMillis)).toInt()

        fun end(
            task: TaskId,
            kind: EndKind,
        ) {
            val run = activeRuns.remove(task) ?: return
            if (kind == EndKind.STOPPED && !isCheckpointing) wastedMillis += run.workMillis - run.remainingMillis
            val saved = if (kind == EndKind.STOPPED && isCheckpointing) "${run.remainingMillis}" else ""
            ends += ListedEnd(++endCounter, task, run.runId, kind, saved)
        }
    }

    private val random = Random(seed)
    private val engine = JobEngine(1, EngineLimits(load = load), now = 0, copies = copies)
    private val workers = List(WORKERS) { ReplayWorker("w$it") }.associateBy { it.id }
    private val workByTask = HashMap<TaskId, Double>()
    private val acceptedAtMillis = HashMap<String, Long>()
    private val slowdowns = ArrayList<Double>()
    private val jobMillis = ArrayList<Long>()
    private val wronglyAvoidedNotes = ArrayList<String>()
    private var wastedMillis = 0.0
    private var copyCount = 0

    fun play(): SlowMachineResult {
        engine.configure(configuration())
        engine.state.isWorkerListKnown = true
        workers.keys.forEach {
            engine.addRecordedWorker(worker(it, cpuMillis = 32_000), now = 0)
            engine.handleListing(it, listing(), sentAtMillis = 0, now = 0)
        }
        for (now in 0L until END_MILLIS step TICK_MILLIS) {
            if (now % SLOW_PERIOD_INTERVAL_MILLIS == 0L && now > 0) slowDown(now)
            if (random.nextDouble() < JOBS_PER_SECOND * TICK_MILLIS / 1_000 && now < LAST_JOB_MILLIS) accept(now)
            workers.values.forEach { it.advance(now) }
            val actions = if (now % GUARD_MILLIS == 0L) engine.decide(now, 0) else engine.react(now)
            actions.forEach { execute(it, now) }
            engine.state
                .takeChanges(
                    Int.MAX_VALUE,
                ).filter { it.state == JobState.COMPLETED }
                .forEach { done(it.jobId, now) }
        }
        return SlowMachineResult(slowdowns.sorted(), wronglyAvoidedNotes, copyCount, wastedMillis, jobMillis.sorted())
    }

    private fun slowDown(now: Long) {
        val chosen = workers.values.shuffled(random).take((WORKERS * slowShare).toInt())
        chosen.forEach { it.slowUntilMillis = now + SLOW_PERIOD_MILLIS }
    }

    private fun accept(now: Long) {
        val id = "job${acceptedAtMillis.size}"
        acceptedAtMillis[id] = now
        val steps = if (random.nextInt(5) < 3) listOf(step(emptyList()), step(listOf(0))) else listOf(step(emptyList()))
        engine.accept(id, job(*steps.toTypedArray()), now)
    }

    private fun step(dependsOn: List<Int>): StepSpecification =
        step(8, cpuMillis = 5_000, dependsOn = dependsOn, mayRunCopies = mayRunCopies).copy(
            estimatedMillis = (MEAN_MILLIS * exp(0.2 * random.nextGaussian())).toLong(),
            isCheckpointing = isCheckpointing,
        )

    private fun drawWorkMillis(): Double {
        val millis = MEAN_MILLIS * exp(0.4 * random.nextGaussian())
        return if (random.nextInt(100) < 3) millis * 7 else millis
    }

    private fun execute(
        action: EngineAction,
        now: Long,
    ) {
        when (action) {
            is EngineAction.Start -> start(action, now)
            is EngineAction.Stop -> {
                val replayWorker = workers.getValue(action.address.workerId)
                if (replayWorker.activeRuns[action.taskId]?.runId == action.runId) {
                    replayWorker.end(action.taskId, EndKind.STOPPED)
                }
                engine.handleStopOutcome(replayWorker.id, action.taskId, action.runId, OrderOutcome.Done(now), now)
            }
            is EngineAction.Note -> {
                val isAvoided =
                    action.note.kind == NoteKind.WORKER_AVOIDED || action.note.kind == NoteKind.MACHINE_DOUBTED
                val id = action.note.subject.replace('m', 'w')
                if (isAvoided &&
                    now > workers.getValue(id).slowUntilMillis + SLOW_PERIOD_MILLIS
                ) {
                    wronglyAvoidedNotes += "$now ${action.note}"
                }
            }
            else -> Unit
        }
    }

    // The first run of a task determines its work; a later run without a checkpoint draws its own.
    private fun start(
        action: EngineAction.Start,
        now: Long,
    ) {
        val order = action.order
        val isFirst = order.taskId !in workByTask
        if (!isFirst) copyCount++
        val drawn = drawWorkMillis()
        val ownMillis = workByTask.getOrPut(order.taskId) { drawn }
        val savedMillis = order.checkpoint.toDoubleOrNull()
        val workMillis = if (isFirst || savedMillis != null) ownMillis else drawn
        val remainingMillis = savedMillis?.plus(RESTORE_MILLIS) ?: workMillis
        workers.getValue(action.address.workerId).activeRuns[order.taskId] =
            ActiveRun(order.runId, remainingMillis, maxOf(workMillis, remainingMillis))
        engine.handleStartOutcome(action.address.workerId, order, OrderOutcome.Done(now), now)
    }

    private fun done(
        jobId: String,
        now: Long,
    ) {
        val chainMillis =
            workByTask.entries
                .filter { it.key.jobId == jobId }
                .groupBy { it.key.step }
                .values
                .sumOf { step -> step.maxOf { it.value } }
        jobMillis += now - acceptedAtMillis.getValue(jobId)
        slowdowns += (now - acceptedAtMillis.getValue(jobId)) / chainMillis
    }

    companion object {
        /** Number of workers in the replay. */
        const val WORKERS = 100
        private const val TICK_MILLIS = 20L
        private const val GUARD_MILLIS = 60L
        private const val LISTING_MILLIS = 500L
        private const val END_MILLIS = 75_000L
        private const val LAST_JOB_MILLIS = 55_000L
        private const val SLOW_PERIOD_INTERVAL_MILLIS = 20_000L
        private const val SLOW_PERIOD_MILLIS = 8_000L
        private const val SLOW_FACTOR = 6.0
        private const val RESTORE_MILLIS = 600.0
        private const val MEAN_MILLIS = 1_000.0

        // Uses two thirds of the capacity.
        private const val JOBS_PER_SECOND = 24.0
    }
}
