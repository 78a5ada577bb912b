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
 * How a replay went.
 *
 * @property stretches time of each job over its chain of work, sorted.
 * @property wronglyAvoided sound machines that were avoided.
 * @property copies copies and runs that went on elsewhere.
 * @property wastedMillis work of runs that were stopped and not saved.
 */
internal class UnevenResult(
    val stretches: List<Double>,
    val wronglyAvoided: List<String>,
    val copies: Int,
    val wastedMillis: Double,
    private val jobMillis: List<Long>,
) {
    /** The same for 99 in a hundred. */
    val p99: Double get() = stretches[(stretches.size * 99) / 100]

    /** Time that 95 of a hundred jobs do not exceed. */
    val p95Millis: Long get() = jobMillis[(jobMillis.size * 95) / 100]

    override fun toString(): String = "p95 $p95, p99 $p99 and $p95Millis ms, $copies copies, $wastedMillis ms wasted"

    /** Time of a job over its chain of work that 95 in a hundred do not exceed. */
    val p95: Double get() = stretches[(stretches.size * 95) / 100]
}

/**
 * Replays a minute of jobs of eight tasks a step on the engine in virtual time: three tasks in a hundred take seven times as
 * long, estimates are off by a fifth, and from time to time [slowShare] of the workers are slow by six for eight seconds.
 */
internal class UnevenReplay(
    load: LoadSettings,
    seed: Long,
    private val slowShare: Double,
    private val mayRunCopies: Boolean = false,
    private val isCheckpointing: Boolean = false,
    copies: CopyPolicy? = null,
) {
    private class Going(
        val runId: Long,
        var leftMillis: Double,
        val workMillis: Double,
    )

    private inner class Machine(
        val id: String,
    ) {
        val going = HashMap<TaskId, Going>()
        val ends = ArrayList<ListedEnd>()
        var slowUntilMillis = 0L
        var listedAtMillis = 0L
        private var endCounter = 0L

        fun advance(now: Long) {
            val stepMillis = if (now < slowUntilMillis) TICK_MILLIS / SLOW_FACTOR else TICK_MILLIS.toDouble()
            going.values.forEach { it.leftMillis -= stepMillis }
            going.filterValues { it.leftMillis <= 0 }.keys.forEach { end(it, EndKind.DONE) }
            if (ends.isEmpty() && (going.isEmpty() || now - listedAtMillis < LISTING_MILLIS)) return
            listedAtMillis = now
            engine.renewal(id, 0, isProven = true, now = now)
            val runs = going.map { (task, run) -> ListedRun(task, run.runId, "", percent(run), 0) }
            engine.handleListing(id, listing(runs, ends.toList(), clockMillis = now), now, now)
            ends.clear()
        }

        private fun percent(run: Going) = (100 * (1 - run.leftMillis / run.workMillis)).toInt()

        fun end(
            task: TaskId,
            kind: EndKind,
        ) {
            val run = going.remove(task) ?: return
            if (kind == EndKind.STOPPED && !isCheckpointing) wastedMillis += run.workMillis - run.leftMillis
            val saved = if (kind == EndKind.STOPPED && isCheckpointing) "${run.leftMillis}" else ""
            ends += ListedEnd(++endCounter, task, run.runId, kind, saved)
        }
    }

    private val random = Random(seed)
    private val engine = JobEngine(1, EngineLimits(load = load), now = 0, copies = copies)
    private val machines = List(WORKERS) { Machine("w$it") }.associateBy { it.id }
    private val workByTask = HashMap<TaskId, Double>()
    private val acceptedAtMillis = HashMap<String, Long>()
    private val stretches = ArrayList<Double>()
    private val jobMillis = ArrayList<Long>()
    private val wronglyAvoided = ArrayList<String>()
    private var wastedMillis = 0.0
    private var copyCount = 0

    fun play(): UnevenResult {
        engine.configure(configuration())
        engine.state.isWorkerListKnown = true
        machines.keys.forEach {
            engine.addRecordedWorker(worker(it, cpuMillis = 32_000), now = 0)
            engine.handleListing(it, listing(), sentAtMillis = 0, now = 0)
        }
        for (now in 0L until END_MILLIS step TICK_MILLIS) {
            if (now % SPELL_EVERY_MILLIS == 0L && now > 0) slowDown(now)
            if (random.nextDouble() < JOBS_PER_SECOND * TICK_MILLIS / 1_000 && now < LAST_JOB_MILLIS) accept(now)
            machines.values.forEach { it.advance(now) }
            val actions = if (now % GUARD_MILLIS == 0L) engine.decide(now, 0) else engine.react(now)
            actions.forEach { execute(it, now) }
            engine.state
                .takeChanges(
                    Int.MAX_VALUE,
                ).filter { it.state == JobState.COMPLETED }
                .forEach { done(it.jobId, now) }
        }
        return UnevenResult(stretches.sorted(), wronglyAvoided, copyCount, wastedMillis, jobMillis.sorted())
    }

    private fun slowDown(now: Long) {
        val chosen = machines.values.shuffled(random).take((WORKERS * slowShare).toInt())
        chosen.forEach { it.slowUntilMillis = now + SPELL_MILLIS }
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

    private fun draw(): Double {
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
                val machine = machines.getValue(action.address.workerId)
                if (machine.going[action.taskId]?.runId == action.runId) machine.end(action.taskId, EndKind.STOPPED)
                engine.handleStopOutcome(machine.id, action.taskId, action.runId, OrderOutcome.Done(now), now)
            }
            is EngineAction.Note -> {
                val isAvoided =
                    action.note.kind == NoteKind.WORKER_AVOIDED || action.note.kind == NoteKind.MACHINE_DOUBTED
                val id = action.note.subject.replace('m', 'w')
                if (isAvoided &&
                    now > machines.getValue(id).slowUntilMillis + SPELL_MILLIS
                ) {
                    wronglyAvoided += "$now ${action.note}"
                }
            }
            else -> Unit
        }
    }

    // The first run of a task tells its work; a copy is a fresh draw.
    private fun start(
        action: EngineAction.Start,
        now: Long,
    ) {
        val order = action.order
        val isFirst = order.taskId !in workByTask
        if (!isFirst) copyCount++
        val drawn = draw()
        val ownMillis = workByTask.getOrPut(order.taskId) { drawn }
        val savedMillis = order.checkpoint.toDoubleOrNull()
        val workMillis = if (isFirst || savedMillis != null) ownMillis else drawn
        val leftMillis = savedMillis?.plus(RESTORE_MILLIS) ?: workMillis
        machines.getValue(action.address.workerId).going[order.taskId] =
            Going(order.runId, leftMillis, maxOf(workMillis, leftMillis))
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
        stretches += (now - acceptedAtMillis.getValue(jobId)) / chainMillis
    }

    companion object {
        /** Workers of the replay. */
        const val WORKERS = 100
        private const val TICK_MILLIS = 20L
        private const val GUARD_MILLIS = 60L
        private const val LISTING_MILLIS = 500L
        private const val END_MILLIS = 75_000L
        private const val LAST_JOB_MILLIS = 55_000L
        private const val SPELL_EVERY_MILLIS = 20_000L
        private const val SPELL_MILLIS = 8_000L
        private const val SLOW_FACTOR = 6.0
        private const val RESTORE_MILLIS = 600.0
        private const val MEAN_MILLIS = 1_000.0

        // Two thirds of the room.
        private const val JOBS_PER_SECOND = 24.0
    }
}
