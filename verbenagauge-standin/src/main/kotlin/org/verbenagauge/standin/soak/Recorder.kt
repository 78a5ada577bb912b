package org.verbenagauge.standin.soak

import org.verbenagauge.platform.WireAmount
import org.verbenagauge.platform.WireJob
import org.verbenagauge.platform.WireStep

/**
 * A broken rule.
 *
 * @property rule name of the rule, as in the rules of the platform.
 * @property taskId task, job or worker that it is about.
 */
internal data class Violation(
    val rule: String,
    val taskId: String,
    val detail: String,
    val atMillis: Long,
)

/** A run as its worker knows it. */
internal class SeenRun(
    val worker: String,
    val taskId: String,
    val runId: Long,
    val startedAtMillis: Long,
) {
    var endedAtMillis: Long? = null
    var how = ""

    /** Whether the end was taken note of: acknowledged while the lease of the worker had not lapsed since. */
    var isNoted = false

    /** Whether the end can still be taken note of. */
    var canBeNoted = true
}

/** Judges a soak by what workers and callers see, and by nothing else. */
internal class Recorder(
    private val clock: SoakClock,
    private val limits: RuleLimits = RuleLimits(),
) {
    private class JobTrack(
        val specification: WireJob,
    ) {
        val statuses = ArrayList<Int?>()
        var acceptedAtMillis: Long? = null
        var cancelSentAtMillis: Long? = null
        var cancelledAtMillis: Long? = null
        var lastState = ""
        val runs = HashMap<String, MutableList<SeenRun>>()

        fun step(taskId: String): WireStep? = specification.steps.getOrNull(stepOf(taskId))

        fun isDone(step: Int): Boolean =
            (0 until specification.steps[step].count).all { index ->
                runs.any { (id, all) ->
                    stepOf(id) == step && id.endsWith(".$index") && all.any { it.how == DONE }
                }
            }
    }

    private class Note(
        val atMillis: Long,
        val subject: String,
        val text: String,
    )

    private val jobs = HashMap<String, JobTrack>()
    private val running = HashMap<String, MutableSet<SeenRun>>()
    private val notes = ArrayList<Note>()
    private val found = ArrayList<Violation>()
    private var activeFaults = 0
    private var disturbedAtMillis = 0L

    /** Violations so far. */
    val violations: List<Violation> @Synchronized get() = found.toList()

    /** Longest time that the rig itself was held up. */
    var longestStallMillis = 0L
        private set

    /** Number of runs that began. */
    var startCount = 0
        private set

    /** Number of jobs that were accepted. */
    val acceptedCount: Int @Synchronized get() = jobs.values.count { it.acceptedAtMillis != null }

    /** Writes a line into the common timeline. */
    @Synchronized
    fun note(
        subject: String,
        text: String,
    ) {
        notes += Note(clock.nowMillis(), subject, text)
    }

    /** Takes note that a fault begins. */
    @Synchronized
    fun faultBegins(text: String) {
        activeFaults++
        note(RIG, text)
    }

    /** Takes note that a fault ends. */
    @Synchronized
    fun faultEnds(text: String) {
        activeFaults--
        disturbedAtMillis = clock.nowMillis()
        note(RIG, text)
    }

    /** Takes note that the rig itself was held up. */
    @Synchronized
    fun stalled(millis: Long) {
        disturbedAtMillis = clock.nowMillis()
        longestStallMillis = maxOf(longestStallMillis, millis)
        note(RIG, "the rig was held up for $millis ms")
    }

    // Rules with a time bound hold for machines in touch only.
    private fun isCalm() =
        activeFaults == 0 &&
            clock.nowMillis() - disturbedAtMillis > limits.contactTimeoutMillis + limits.contactSpareMillis

    private fun violate(
        rule: String,
        taskId: String,
        detail: String,
    ) {
        found += Violation(rule, taskId, detail, clock.nowMillis())
        note(taskId, "VIOLATION $rule: $detail")
    }

    /** A caller sends the job [jobId]. */
    @Synchronized
    fun submitted(
        jobId: String,
        specification: WireJob,
    ) {
        jobs.getOrPut(jobId) { JobTrack(specification) }
    }

    /** The answer to a submission; null when there was none. */
    @Synchronized
    fun submissionAnswered(
        jobId: String,
        status: Int?,
        entry: String,
    ) {
        val job = jobs.getValue(jobId)
        job.statuses += status
        if (status == OK && job.acceptedAtMillis == null) job.acceptedAtMillis = clock.nowMillis()
        note(jobId, "submission at $entry answered $status")
    }

    /** A caller sends a cancellation. */
    @Synchronized
    fun cancelSent(jobId: String) {
        jobs.getValue(jobId).cancelSentAtMillis = clock.nowMillis()
    }

    /** The answer to a cancellation. */
    @Synchronized
    fun cancelAnswered(
        jobId: String,
        status: Int?,
    ) {
        val job = jobs.getValue(jobId)
        if (status == OK && job.cancelledAtMillis == null) job.cancelledAtMillis = clock.nowMillis()
        note(jobId, "cancellation answered $status")
    }

    /** The answer [status] with [state] to a question for a job that was sent at [sentAtMillis]. */
    @Synchronized
    fun shown(
        jobId: String,
        status: Int?,
        state: String,
        sentAtMillis: Long,
    ) {
        val job = jobs.getValue(jobId)
        val acceptedAtMillis = job.acceptedAtMillis
        if (status == OK && state != job.lastState) {
            job.lastState = state
            note(jobId, "shown as $state")
        }
        if (status == GONE && acceptedAtMillis != null && sentAtMillis - acceptedAtMillis > limits.visibleMillis) {
            violate("LOST", jobId, "an accepted job is shown as unknown")
        }
        if (status != OK) return
        when (state) {
            "completed" ->
                job.specification.steps.indices.firstOrNull { !job.isDone(it) }?.let {
                    violate("MIXED", jobId, "shown as completed while a task of step $it has not ended done")
                }

            "failed" ->
                if (job.runs.values.none { runs -> runs.count { it.how == FAILED } >= limits.maxAttempts }) {
                    violate("LOST", jobId, "shown as failed although no task failed ${limits.maxAttempts} times")
                }

            "cancelled" ->
                if (job.cancelSentAtMillis == null) violate("LOST", jobId, "shown as cancelled, which nobody asked for")
        }
    }

    /** Whether callers were last shown [jobId] as ended. */
    @Synchronized
    fun isShownEnded(jobId: String): Boolean = jobs[jobId]?.lastState in FINAL_STATES

    /** Accepted jobs without an end, those that last left out. */
    @Synchronized
    fun openJobs(): List<String> =
        jobs
            .filterValues { job ->
                job.acceptedAtMillis != null &&
                    job.cancelSentAtMillis == null &&
                    job.lastState !in FINAL_STATES &&
                    job.specification.steps.none { it.longRunning }
            }.keys
            .toList()

    /** A worker was told to start something and answered [outcome]. */
    @Synchronized
    fun ordered(
        worker: String,
        taskId: String,
        runId: Long,
        token: Long,
        outcome: String,
    ) {
        note(taskId, "$worker: order to start run $runId, token $token: $outcome")
    }

    /** A run begins; [capacity] is that of its worker. */
    @Synchronized
    fun started(
        run: SeenRun,
        token: Long,
        specification: String,
        capacity: WireAmount,
        isLate: Boolean,
    ) {
        startCount++
        val taskId = run.taskId
        note(taskId, "${run.worker}: run ${run.runId} begins, token $token${if (isLate) ", carried out late" else ""}")
        val job = jobs[jobOf(taskId)]
        val step = job?.step(taskId)
        if (job == null || step == null || job.specification.specification != specification) {
            violate("UNASKED", taskId, "nobody handed this in")
            return
        }
        val runs = job.runs.getOrPut(taskId) { ArrayList() }
        judgeTwice(run, runs)
        judgeOrder(run, job, step, isLate)
        runs += run
        running.getOrPut(run.worker) { LinkedHashSet() } += run
        judgeRoom(run, capacity)
    }

    private fun judgeTwice(
        run: SeenRun,
        earlier: List<SeenRun>,
    ) {
        earlier.firstOrNull { it.endedAtMillis == null }?.let {
            violate("TWICE", run.taskId, "run ${run.runId} on ${run.worker} beside run ${it.runId} on ${it.worker}")
        }
        earlier.firstOrNull { it.how == DONE && it.isNoted }?.let {
            violate(
                "TWICE",
                run.taskId,
                "run ${run.runId} on ${run.worker} after the noted end of ${it.runId} on ${it.worker}",
            )
        }
    }

    private fun judgeOrder(
        run: SeenRun,
        job: JobTrack,
        step: WireStep,
        isLate: Boolean,
    ) {
        step.dependencies.firstOrNull { !job.isDone(it) }?.let {
            violate("ORDER", run.taskId, "starts before step $it is done")
        }
        val cancelledAtMillis = job.cancelledAtMillis
        val isCancelOver = cancelledAtMillis != null && run.startedAtMillis - cancelledAtMillis > limits.cancelMillis
        if (isCancelOver && isCalm() && !isLate) {
            violate(
                "UNASKED",
                run.taskId,
                "starts ${run.startedAtMillis - (cancelledAtMillis ?: 0)} ms after its cancelling",
            )
        }
        val failures = job.runs[run.taskId].orEmpty().count { it.how == FAILED && it.isNoted }
        if (!step.longRunning &&
            failures >= limits.maxAttempts
        ) {
            violate("BUDGET", run.taskId, "after $failures failed runs")
        }
    }

    private fun judgeRoom(
        run: SeenRun,
        capacity: WireAmount,
    ) {
        val steps = running.getValue(run.worker).mapNotNull { jobs[jobOf(it.taskId)]?.step(it.taskId) }
        if (steps.sumOf { it.cpu } > capacity.cpu || steps.sumOf { it.memMb } > capacity.memMb) {
            violate("LIMIT", run.taskId, "${run.worker} holds ${steps.sumOf { it.cpu }}m of ${capacity.cpu}m")
        }
    }

    /** A run ended, or its worker went down when [how] is empty. */
    @Synchronized
    fun ended(
        run: SeenRun,
        how: String,
    ) {
        run.endedAtMillis = clock.nowMillis()
        run.how = how
        if (how.isEmpty()) run.canBeNoted = false
        running[run.worker]?.remove(run)
        note(run.taskId, "${run.worker}: run ${run.runId} ends ${how.ifEmpty { "with its worker" }}")
    }

    /** The lease lapsed between the end of [run] and its acknowledgement, or its worker went down. */
    @Synchronized
    fun forgotten(run: SeenRun) {
        if (run.isNoted || !run.canBeNoted) return
        run.canBeNoted = false
        note(run.taskId, "${run.worker}: the end of run ${run.runId} can no longer be taken note of")
    }

    /** An acknowledgement reached the end of [run]. */
    @Synchronized
    fun acknowledged(
        run: SeenRun,
        token: Long,
    ) {
        note(run.taskId, "${run.worker}: the end of run ${run.runId} is acknowledged, token $token")
        if (!run.canBeNoted || run.isNoted) return
        run.isNoted = true
        val endedAtMillis = run.endedAtMillis ?: return
        if (run.how != DONE) return
        val later = jobs[jobOf(run.taskId)]?.runs?.get(run.taskId).orEmpty()
        later.firstOrNull { it !== run && it.startedAtMillis >= endedAtMillis }?.let {
            violate(
                "TWICE",
                run.taskId,
                "run ${it.runId} on ${it.worker} began after run ${run.runId} was done, now noted",
            )
        }
    }

    /** Judges what only the end of a soak tells. */
    @Synchronized
    fun finish() {
        jobs.filterValues { it.runs.isNotEmpty() && it.statuses.isNotEmpty() }.forEach { (id, job) ->
            if (job.statuses.all {
                    it in REFUSED
                }
            ) {
                violate("REFUSED", id, "ran although all attempts were refused: ${job.statuses}")
            }
        }
        openJobs().forEach { violate("LOST", it, "has not ended ${limits.finishMillis} ms after the last fault") }
    }

    /** Tells what happened around [violation]: to the task, to its workers and by the rig. */
    @Synchronized
    fun trace(violation: Violation): List<String> {
        val jobId = jobOf(violation.taskId)
        val runs = jobs[jobId]?.runs?.get(violation.taskId).orEmpty()
        val subjects = runs.mapTo(HashSet()) { it.worker } + violation.taskId + jobId + RIG
        val from = (runs.minOfOrNull { it.startedAtMillis } ?: violation.atMillis) - TRACE_BEFORE_MILLIS
        return notes
            .filter { it.subject in subjects && it.atMillis in from..violation.atMillis + TRACE_AFTER_MILLIS }
            .map(::line)
    }

    /** The whole timeline. */
    @Synchronized
    fun timeline(): List<String> = notes.map(::line)

    private fun line(note: Note) = "%9.3f  %s  %s".format(note.atMillis / MILLIS_PER_SECOND, note.subject, note.text)

    internal companion object {
        /** Subject of lines about faults and processes. */
        const val RIG = "rig"

        /** How a run ends that has done its work. */
        const val DONE = "done"
        private const val FAILED = "failed"
        private const val OK = 200
        private const val GONE = 410
        private const val TRACE_BEFORE_MILLIS = 8_000L
        private const val TRACE_AFTER_MILLIS = 500L
        private const val MILLIS_PER_SECOND = 1_000.0
        private val FINAL_STATES = setOf("completed", "failed", "cancelled")

        // Answers that mean that the job was not accepted and never runs.
        private val REFUSED = setOf(429, 503, 404, 401)
        private const val STEP_PART = 2

        private fun stepOf(taskId: String) = taskId.split('.').getOrNull(STEP_PART)?.toIntOrNull() ?: -1

        private fun jobOf(taskId: String) = taskId.substringBefore('.')
    }
}

/**
 * Bounds of the rules, from the example of the platform's settings.
 *
 * @property contactSpareMillis more than the rules leave out after a fault, since its effects end a little later.
 */
internal data class RuleLimits(
    val contactTimeoutMillis: Long = 3_000,
    val contactSpareMillis: Long = 1_000,
    val visibleMillis: Long = 3_000,
    val cancelMillis: Long = 3_000,
    val finishMillis: Long = 45_000,
    val maxAttempts: Int = 3,
)
