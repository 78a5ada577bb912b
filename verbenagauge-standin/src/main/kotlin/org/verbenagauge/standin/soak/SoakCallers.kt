package org.verbenagauge.standin.soak

import org.verbenagauge.platform.WireJob
import org.verbenagauge.platform.WireState
import org.verbenagauge.platform.WireStep
import org.verbenagauge.platform.wireJson
import org.verbenagauge.standin.jobs.simulatedWork
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random

/** Callers: hand jobs in, ask for them, cancel some, and repeat what was not answered at another entry. */
internal class SoakCallers(
    private val entries: List<EntryProcess>,
    private val recorder: Recorder,
    private val clock: SoakClock,
    private val seed: Long,
    private val jobsPerSecond: Int,
) {
    private val http =
        HttpClient
            .newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofMillis(CONNECT_MILLIS))
            .build()
    private val pool =
        Executors.newScheduledThreadPool(THREADS) { task ->
            Thread(task, "caller").also {
                it.isDaemon =
                    true
            }
        }
    private val counter = AtomicLong()

    @Volatile private var isSending = false

    /** Begins to send. */
    fun start() {
        isSending = true
        val gapMillis = MILLIS_PER_SECOND / jobsPerSecond
        pool.scheduleAtFixedRate({ if (isSending) pool.execute { runJob() } }, 0, gapMillis, TimeUnit.MILLISECONDS)
    }

    /** Hands in [jobs] more, spread over [millis]. */
    fun burst(
        jobs: Int,
        millis: Long,
    ) = repeat(jobs) { later(it * millis / jobs) { runJob() } }

    /** Hands in no more jobs; those that are handed in are asked for further. */
    fun stopSending() {
        isSending = false
    }

    /** Ends all callers. */
    fun stop() {
        pool.shutdownNow()
    }

    /** Hands [job] in, without waiting for the answer. */
    fun handIn(job: WireJob) = pool.execute { runJob(job) }

    private fun runJob(given: WireJob? = null) {
        val number = counter.incrementAndGet()
        val random = Random(seed * JOBS_PER_SEED + number)
        val jobId = "%016x".format(seed * JOBS_PER_SEED + number)
        val job = given ?: drawJob(random, number)
        recorder.submitted(jobId, job)
        submit(jobId, job, random, clock.nowMillis() + SUBMIT_MILLIS)
    }

    private fun submit(
        jobId: String,
        job: WireJob,
        random: Random,
        untilMillis: Long,
    ) {
        val body = wireJson.encodeToString(WireJob.serializer(), job)
        val status =
            call(
                "POST",
                jobId,
                body,
                random,
            ) { entry, answer -> recorder.submissionAnswered(jobId, answer, entry) }.first
        val isToRepeat =
            status == null || status == BAD_GATEWAY || status == GATEWAY_TIMEOUT || random.nextInt(REPEAT_IN) == 0
        if (isToRepeat && clock.nowMillis() < untilMillis) {
            val delayMillis = if (status == OK) random.nextLong(LATE_REPEAT_MILLIS) else RETRY_MILLIS
            later(delayMillis) { submit(jobId, job, random, untilMillis) }
        }
        if (status != OK) return
        val isLasting = job.steps.any { it.longRunning }
        if (isLasting || random.nextInt(CANCEL_IN) == 0) {
            val afterMillis = random.nextLong(if (isLasting) LASTING_MILLIS else CANCEL_AFTER_MILLIS)
            later(afterMillis) { cancel(jobId, random) }
        }
        later(random.nextLong(ASK_MILLIS)) { ask(jobId, random) }
    }

    /** Asks for [jobId] until it is shown as ended. */
    private fun ask(
        jobId: String,
        random: Random,
    ) {
        askOnce(jobId, random)
        if (!recorder.isShownEnded(jobId)) later(ASK_FROM_MILLIS + random.nextLong(ASK_MILLIS)) { ask(jobId, random) }
    }

    /** Asks for [jobId] once. */
    fun askOnce(
        jobId: String,
        random: Random,
    ) {
        val sentAtMillis = clock.nowMillis()
        val (status, body) = call("GET", jobId, "", random)
        val state = if (status == OK) wireJson.decodeFromString(WireState.serializer(), body).state else ""
        recorder.shown(jobId, status, state, sentAtMillis)
    }

    private fun cancel(
        jobId: String,
        random: Random,
    ) {
        recorder.cancelSent(jobId)
        val (status, _) = call("DELETE", jobId, "", random)
        recorder.cancelAnswered(jobId, status)
        if (status != OK && status != GONE) later(RETRY_MILLIS) { cancel(jobId, random) }
    }

    private fun later(
        delayMillis: Long,
        task: () -> Unit,
    ) {
        pool.schedule(task, delayMillis, TimeUnit.MILLISECONDS)
    }

    // The status is null when there was no answer.
    private fun call(
        method: String,
        jobId: String,
        body: String,
        random: Random,
        onAnswer: (String, Int?) -> Unit = { _, _ -> },
    ): Pair<Int?, String> {
        val entry = entries[random.nextInt(entries.size)]
        val request =
            HttpRequest
                .newBuilder(URI("${entry.callerBase}$PREFIX$jobId"))
                .timeout(Duration.ofMillis(CALL_MILLIS))
                .method(method, HttpRequest.BodyPublishers.ofString(body))
                .build()
        val answer =
            try {
                http.send(request, HttpResponse.BodyHandlers.ofString())
            } catch (_: IOException) {
                null
            }
        onAnswer(entry.id, answer?.statusCode())
        return answer?.statusCode() to answer?.body().orEmpty()
    }

    private fun drawJob(
        random: Random,
        number: Long,
    ): WireJob {
        val payload =
            when {
                number % LASTING_EVERY == 1L -> "forever"
                number % LONG_EVERY == 0L -> "sleep ${LONG_FROM_MILLIS + random.nextLong(LONG_MILLIS)}"
                number % FAIL_EVERY == 0L -> "fail ${random.nextLong(SHORT_MILLIS)}"
                else -> "sleep ${SHORT_FROM_MILLIS + random.nextLong(SHORT_MILLIS)}"
            }
        val isLong = number % LONG_EVERY == 0L || number % LASTING_EVERY == 1L
        val stepCount = if (isLong) 1 else 1 + random.nextInt(MOST_STEPS)
        val steps =
            List(stepCount) { index ->
                WireStep(
                    count = 1 + random.nextInt(MOST_TASKS),
                    cpu = 200L + random.nextLong(MOST_CPU),
                    memMb = 64,
                    estimatedMs = simulatedWork(payload).durationMillis ?: 0,
                    dependencies = if (index > 0) listOf(index - 1) else emptyList(),
                    longRunning = payload == "forever",
                )
            }
        return WireJob(payload, steps)
    }

    internal companion object {
        /** Prefix of the paths of the queue. */
        const val PREFIX = "/soak/"
        private const val CONNECT_MILLIS = 1_000L
        private const val CALL_MILLIS = 3_000L
        private const val THREADS = 48
        private const val MILLIS_PER_SECOND = 1_000L
        private const val JOBS_PER_SEED = 1_000_000L
        private const val SUBMIT_MILLIS = 12_000L
        private const val RETRY_MILLIS = 120L

        // Some jobs are handed in once more seconds after they were accepted (PROTOCOL, Jobs).
        private const val REPEAT_IN = 12
        private const val LATE_REPEAT_MILLIS = 4_000L
        private const val CANCEL_IN = 14
        private const val CANCEL_AFTER_MILLIS = 3_000L
        private const val LASTING_MILLIS = 40_000L
        private const val ASK_FROM_MILLIS = 250L
        private const val ASK_MILLIS = 700L
        private const val LASTING_EVERY = 60L
        private const val LONG_EVERY = 12L
        private const val LONG_FROM_MILLIS = 3_000L
        private const val LONG_MILLIS = 9_000L
        private const val FAIL_EVERY = 41L
        private const val SHORT_FROM_MILLIS = 30L
        private const val SHORT_MILLIS = 700L
        private const val MOST_STEPS = 3
        private const val MOST_TASKS = 3
        private const val MOST_CPU = 400L
        private const val OK = 200
        private const val GONE = 410
        private const val BAD_GATEWAY = 502
        private const val GATEWAY_TIMEOUT = 504
    }
}
