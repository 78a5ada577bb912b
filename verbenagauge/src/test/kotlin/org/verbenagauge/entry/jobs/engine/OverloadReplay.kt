package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.jobs.model.QueueConfiguration
import org.verbenagauge.entry.jobs.model.StepSpecification
import org.verbenagauge.entry.load.MeanRunTimes
import java.util.PriorityQueue
import kotlin.random.Random

/**
 * Results of a replay.
 *
 * @property onTime share of jobs that met their objective.
 * @property useful share of jobs that completed within three times their objective.
 * @property largeOnTime share of large jobs that met their objective.
 */
internal data class ReplayResult(
    val onTime: Double,
    val useful: Double,
    val largeOnTime: Double,
)

/**
 * Replays a burst of demand: for some seconds the jobs of a queue, mostly small and a few large ones with inaccurate
 * estimates, need more than the capacity of the pool; before and after the burst they need little. Results depend only
 * on the job order.
 *
 * @param overload work that arrives in the burst, as a multiple of the capacity of the pool.
 */
internal class OverloadReplay(
    private val overload: Double,
    seed: Int,
    order: (RunTimes) -> JobOrder,
) {
    private class Running(
        val task: TaskEntry,
        val cores: Long,
        val startedAtMillis: Long,
        val endAtMillis: Long,
    )

    private val random = Random(seed)
    private val times = MeanRunTimes()
    private val rule = order(times)
    private val queue: QueueConfiguration = configuration().queues.single()
    private val jobs = LinkedHashMap<String, JobEntry>()
    private val nominalMillis = HashMap<String, Long>()
    private val doneAtMillis = HashMap<String, Long>()
    private val running = PriorityQueue<Running>(compareBy { it.endAtMillis })
    private var freeCores = POOL_CORES

    fun play(): ReplayResult {
        var now = 0L
        while (now < END_MILLIS) {
            finish(now)
            arrive(now)
            start(now)
            now += TICK_MILLIS
        }
        return result()
    }

    private fun arrive(now: Long) {
        val share = if (now in BURST_START_MILLIS until BURST_END_MILLIS) overload else LOAD_OUTSIDE_BURST
        val perSecond = share * POOL_CORES / MEAN_CORE_SECONDS
        if (now < LAST_ARRIVAL_MILLIS && random.nextDouble() < perSecond * TICK_MILLIS / 1_000.0) accept(now)
    }

    private fun accept(now: Long) {
        val isLarge = random.nextInt(LARGE_ONE_IN) == 0
        val id = "${if (isLarge) "large" else "small"}-${jobs.size}"
        val first = step(isLarge, emptyList())
        val steps = if (isLarge || random.nextInt(5) < 3) listOf(first, step(isLarge, listOf(0))) else listOf(first)
        val entry = JobEntry(id, job(*steps.toTypedArray()), queue, now, mayHaveEarlierRuns = false)
        val occurrence = OccurrenceEntry(entry, 0)
        entry.open[0] = occurrence
        occurrence.steps.first().let { step -> step.tasks.forEach { it.phase = TaskPhase.READY } }
        occurrence.steps.first().isOpen = true
        jobs[id] = entry
        nominalMillis[id] = steps.size * (if (isLarge) LARGE_MILLIS else SMALL_MILLIS)
    }

    private fun step(
        isLarge: Boolean,
        dependsOn: List<Int>,
    ): StepSpecification {
        val millis = if (isLarge) LARGE_MILLIS else SMALL_MILLIS
        val estimate = (millis * (0.1 + random.nextDouble() * 1.8)).toLong()
        return step(if (isLarge) 8 else 6, if (isLarge) 7_700 else 3_500, dependsOn = dependsOn)
            .copy(estimatedMillis = estimate)
    }

    private fun start(now: Long) {
        val waiting = jobs.values.filter { entry -> entry.tasks().any { it.phase == TaskPhase.READY } }
        rule.sorted(waiting, now).forEach { entry ->
            entry.tasks().filter { it.phase == TaskPhase.READY }.forEach { task ->
                val cores = task.amount.cpuMillis / 1_000
                if (cores > freeCores) return
                freeCores -= cores
                task.phase = TaskPhase.PLACED
                entry.hasStarted = true
                val millis = if (entry.id.startsWith("large")) LARGE_MILLIS else SMALL_MILLIS
                val endAtMillis = now + (millis * (0.6 + random.nextDouble() * 0.8)).toLong()
                running += Running(task, cores, now, endAtMillis)
            }
        }
    }

    private fun finish(now: Long) {
        while (running.isNotEmpty() && running.peek().endAtMillis <= now) {
            val run = running.poll()
            freeCores += run.cores
            run.task.phase = TaskPhase.DONE
            run.task.step.doneCount++
            times.learn(queue.name, run.endAtMillis - run.startedAtMillis)
            if (run.task.step.isDone) stepDone(run.task, now)
        }
    }

    private fun stepDone(
        task: TaskEntry,
        now: Long,
    ) {
        val next =
            task.step.occurrence.steps
                .firstOrNull { !it.isOpen }
        if (next == null) {
            doneAtMillis[task.job.id] = now
            return
        }
        next.isOpen = true
        next.tasks.forEach { it.phase = TaskPhase.READY }
    }

    // Objectives are computed from the nominal run times, not from the estimates.
    private fun result(): ReplayResult {
        fun objectivesTaken(entry: JobEntry): Double {
            val objectiveMillis = queue.objectiveMillis + queue.slackFactor * nominalMillis.getValue(entry.id)
            val doneAt = doneAtMillis[entry.id] ?: return Double.MAX_VALUE
            return (doneAt - entry.acceptedAtMillis) / objectiveMillis
        }

        fun share(
            entries: List<JobEntry>,
            objectives: Double,
        ) = entries.count { objectivesTaken(it) <= objectives }.toDouble() / entries.size
        val all = jobs.values.toList()
        return ReplayResult(share(all, 1.0), share(all, 3.0), share(all.filter { it.id.startsWith("large") }, 1.0))
    }

    private companion object {
        const val TICK_MILLIS = 10L
        const val POOL_CORES = 512L
        const val SMALL_MILLIS = 640L
        const val LARGE_MILLIS = 1_300L
        const val LARGE_ONE_IN = 8

        // Mean of seven small jobs of 21.5 core seconds and one large job of 160 core seconds.
        const val MEAN_CORE_SECONDS = 39.0
        const val LOAD_OUTSIDE_BURST = 0.2
        const val BURST_START_MILLIS = 2_000L
        const val BURST_END_MILLIS = 10_000L
        const val LAST_ARRIVAL_MILLIS = 20_000L
        const val END_MILLIS = 60_000L
    }
}
