package org.verbenagauge.entry.jobs.engine

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import org.verbenagauge.entry.jobs.model.JobState
import org.verbenagauge.entry.jobs.ports.EndKind
import org.verbenagauge.entry.jobs.ports.ListedEnd
import org.verbenagauge.entry.jobs.ports.ListedRun
import org.verbenagauge.entry.jobs.ports.OrderOutcome
import org.verbenagauge.entry.load.LoadSettings

private const val SEEDS = 4
private const val FAILURE_SEEDS = 24

// Three standard errors of the difference between two shares of 6,000 jobs of which one in 600 is late.
private const val NOISE_SHARE = 0.002
private val hopelessWorkEnabled = LoadSettings(hopelessWork = true)

private class ReplayAverages(
    val failedAfterMillis: Double,
    val coreMillis: Double,
    val p95Millis: Double,
    val onTime: Double,
) {
    override fun toString() =
        "failed after $failedAfterMillis ms, $coreMillis core ms, other jobs: p95 $p95Millis ms, $onTime on time"
}

private fun play(
    share: Double,
    load: LoadSettings,
    failingWorkers: Int = 0,
    seeds: Int = SEEDS,
): ReplayAverages {
    val outcomes =
        (1..seeds).map {
            AccountFloodReplay(it, load, hopelessShare = share, failingWorkers = failingWorkers).play()
        }
    val accounts = (0 until AccountFloodReplay.ACCOUNTS).toList()
    val failedAfter = outcomes.flatMap { it.hopelessMillis }
    failedAfter.count { it == null } shouldBe 0
    return ReplayAverages(
        failedAfterMillis = failedAfter.filterNotNull().average(),
        coreMillis = outcomes.map { it.hopelessCoreMillis }.average(),
        p95Millis = outcomes.map { it.waitP95Millis(accounts) }.average(),
        onTime = outcomes.map { it.onTime.values.average() }.average(),
    )
}

/** Engine with four-core workers whose runs end when and how the test specifies. */
private class Pool(
    load: LoadSettings,
    vararg workerIds: String,
) {
    val engine = JobEngine(epoch = 1, EngineLimits(load = load), now = 0)
    private val running = workerIds.associateWith { LinkedHashMap<String, ListedRun>() }
    private val ended = workerIds.associateWith { ArrayList<ListedEnd>() }

    init {
        engine.configure(configuration())
        engine.state.isWorkerListKnown = true
        workerIds.forEach {
            engine.addRecordedWorker(worker(it), now = 0)
            engine.handleListing(it, listing(), sentAtMillis = 0, now = 0)
        }
    }

    /** Decides and returns the tasks that start. */
    fun decide(now: Long): List<String> {
        val starts = engine.decide(now, now).starts()
        starts.forEach { start ->
            val workerId = start.address.workerId
            engine.handleStartOutcome(workerId, start.order, OrderOutcome.Done(now), now)
            running.getValue(workerId)[start.order.taskId.toString()] =
                ListedRun(start.order.taskId, start.order.runId, "", 10, 0)
        }
        return starts.map { it.order.taskId.toString() }.sorted()
    }

    fun workerOf(taskId: String) = running.entries.single { taskId in it.value }.key

    fun end(
        taskId: String,
        kind: EndKind,
        now: Long,
    ) {
        val workerId = workerOf(taskId)
        val run = checkNotNull(running.getValue(workerId).remove(taskId))
        val ends = ended.getValue(workerId)
        ends += ListedEnd(ends.size + 1L, run.taskId, run.runId, kind, "")
        engine.handleListing(
            workerId,
            listing(running.getValue(workerId).values.toList(), ends.toList(), clockMillis = now),
            now,
            now,
        )
    }

    /**
     * Runs a job of [tasks] tasks beside another job on "w1" and "w2", which completes there before one task of the
     * first job fails on each; returns these two tasks and one that still runs.
     */
    fun failOnTwoWorkers(
        jobId: String,
        tasks: Int,
    ): List<String> {
        engine.accept("other", job(step(2, maxPerWorker = 1)), now = 0)
        decide(0) shouldBe listOf("other.0.0.0", "other.0.0.1")
        engine.accept(jobId, job(step(tasks)), now = 10)
        val started = decide(10)
        started shouldHaveSize 6
        listOf("other.0.0.0", "other.0.0.1").forEach { end(it, EndKind.DONE, 500) }
        val failed = listOf("w1", "w2").map { worker -> started.first { workerOf(it) == worker } }
        failed.forEachIndexed { index, task -> end(task, EndKind.FAILED, 600L + index * 10) }
        return failed + started.first { it !in failed }
    }

    fun stateOf(jobId: String) =
        engine.state
            .takeChanges(Int.MAX_VALUE)
            .lastOrNull { it.jobId == jobId }
            ?.state
}

class HopelessJobsTest :
    FunSpec({
        context("with the switch, many hopeless jobs use less core time, fail sooner and delay other jobs less") {
            withData(nameFn = { "hopeless share $it of the average load" }, 0.5, 1.0) { share ->
                val withoutSwitch = play(share, LoadSettings())
                val withSwitch = play(share, hopelessWorkEnabled)
                withClue("$withSwitch; without switch $withoutSwitch") {
                    withSwitch.coreMillis shouldBeLessThan withoutSwitch.coreMillis
                    withSwitch.failedAfterMillis shouldBeLessThan withoutSwitch.failedAfterMillis
                    withSwitch.p95Millis shouldBeLessThan withoutSwitch.p95Millis
                    (withSwitch.onTime >= withoutSwitch.onTime) shouldBe true
                }
            }
        }

        context("with the switch, workers that fail half of their runs delay sound jobs no more than without") {
            withData(nameFn = { "$it of 44 workers" }, 2, 4, 6) { failingWorkers ->
                val withoutSwitch = play(0.0, LoadSettings(), failingWorkers, FAILURE_SEEDS)
                val withSwitch = play(0.0, hopelessWorkEnabled, failingWorkers, FAILURE_SEEDS)
                withClue("$withSwitch; without switch $withoutSwitch") {
                    withSwitch.onTime + NOISE_SHARE shouldBeGreaterThanOrEqualTo withoutSwitch.onTime
                    withSwitch.p95Millis shouldBeLessThanOrEqualTo withoutSwitch.p95Millis
                }
            }
        }

        test(
            "of a job that fails on two workers with successful work one task is retried; its third failure fails the job",
        ) {
            val pool = Pool(hopelessWorkEnabled, "w1", "w2", "w3", "w4")
            val second = pool.failOnTwoWorkers("poison", tasks = 6)[1]
            pool.decide(620) shouldBe listOf(second)
            pool.end(second, EndKind.FAILED, 1_100)
            pool.decide(1_100) shouldBe listOf(second)
            pool.end(second, EndKind.FAILED, 1_600)
            pool.stateOf("poison") shouldBe JobState.FAILED
        }

        test("when the failed task succeeds, the other tasks of the job start again") {
            val pool = Pool(hopelessWorkEnabled, "w1", "w2")
            val (first, second, third) = pool.failOnTwoWorkers("unlucky", tasks = 9)
            pool.end(third, EndKind.DONE, 650)
            pool.decide(700) shouldBe listOf(second)
            pool.end(second, EndKind.DONE, 1_200)
            pool.decide(1_200) shouldBe listOf(first, "unlucky.0.0.6", "unlucky.0.0.7", "unlucky.0.0.8").sorted()
        }

        test("a job that failed on one worker only is not held back") {
            val pool = Pool(hopelessWorkEnabled, "w1", "w2")
            pool.engine.accept("other", job(step(1)), now = 0)
            pool.decide(0)
            pool.engine.accept("unlucky", job(step(9)), now = 10)
            val started = pool.decide(10)
            pool.end("other.0.0.0", EndKind.DONE, 500)
            pool.end(started.first { pool.workerOf(it) == "w1" }, EndKind.FAILED, 600)
            pool.engine.state.jobs.values
                .filter { it.retry != null }
                .shouldBeEmpty()
            pool.decide(600) shouldBe listOf("unlucky.0.0.7", "unlucky.0.0.8")
        }

        test("a worker on which every run fails is avoided and makes no job suspected of being hopeless") {
            val pool = Pool(hopelessWorkEnabled, "w1", "w2")
            (1..4).forEach { pool.engine.accept("job-$it", job(step(2)), now = 0) }
            val tasks = pool.decide(0)
            val onBad = tasks.filter { pool.workerOf(it) == "w1" }
            onBad.forEach { pool.end(it, EndKind.FAILED, 500) }
            pool.engine.state.jobs.values
                .filter { it.retry != null }
                .shouldBeEmpty()
            val again = pool.decide(510)
            again.map(pool::workerOf) shouldNotContain "w1"
        }

        test("a job that fails on every worker does not cause workers to be avoided") {
            val pool = Pool(hopelessWorkEnabled, "w1", "w2", "w3")
            pool.engine.accept("poison", job(step(1)), now = 0)
            repeat(2) { round ->
                pool.decide(round * 500L)
                pool.end("poison.0.0.0", EndKind.FAILED, round * 500L + 400)
            }
            pool.engine.state.workers.values
                .filter { it.avoidUntilMillis > 900 }
                .shouldBeEmpty()
        }

        context("retries of suspected jobs together use a bounded part of the room, unless no other job waits") {
            // 2 of 20 cores if other jobs wait, otherwise one core for each suspected job.
            withData(nameFn = { "others wait: $it" }, true, false) { doOthersWait ->
                val pool = Pool(hopelessWorkEnabled, "w1", "w2", "w3", "w4", "w5")
                pool.engine.accept("other", job(step(5, maxPerWorker = 1)), now = 0)
                pool.decide(0)
                (1..5).forEach { pool.engine.accept("poison-$it", job(step(3)), now = 10) }
                val started = pool.decide(10)
                started shouldHaveSize 15
                (0..4).forEach { pool.end("other.0.0.$it", EndKind.DONE, 500) }
                started.forEach { pool.end(it, EndKind.FAILED, 600) }
                pool.decide(600).forEach { pool.end(it, EndKind.FAILED, 1_000) }
                if (doOthersWait) pool.engine.accept("waits", job(step(40)), now = 1_000)
                val retried = pool.decide(1_000).filter { it.startsWith("poison") }
                retried shouldHaveSize if (doOthersWait) 2 else 5
            }
        }

        test("without the switch all failed tasks are retried at once") {
            val pool = Pool(LoadSettings(), "w1", "w2", "w3", "w4")
            pool.engine.accept("other", job(step(1)), now = 0)
            pool.decide(0)
            pool.engine.accept("poison", job(step(6)), now = 10)
            val started = pool.decide(10)
            pool.end("other.0.0.0", EndKind.DONE, 500)
            started.filter { pool.workerOf(it) == "w1" }.take(2).forEach { pool.end(it, EndKind.FAILED, 600) }
            pool.decide(620) shouldHaveSize 2
        }
    })
