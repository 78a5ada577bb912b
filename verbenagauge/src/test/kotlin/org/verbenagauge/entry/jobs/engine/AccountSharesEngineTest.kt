package org.verbenagauge.entry.jobs.engine

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import org.verbenagauge.entry.jobs.model.Amount
import org.verbenagauge.entry.jobs.model.JobState
import org.verbenagauge.entry.jobs.model.StepSpecification
import org.verbenagauge.entry.jobs.model.TeamConfiguration
import org.verbenagauge.entry.jobs.ports.EndKind
import org.verbenagauge.entry.jobs.ports.ListedEnd
import org.verbenagauge.entry.jobs.ports.ListedRun
import org.verbenagauge.entry.jobs.ports.OrderOutcome
import org.verbenagauge.entry.load.LoadSettings
import kotlin.random.Random

private val limitsWithShares = EngineLimits(load = LoadSettings(accountShares = true))
private const val LARGE = "large"
private const val SMALL = "small"

private fun accounts(vararg weights: Pair<String, Double>) =
    configuration().copy(
        teams = weights.associate { (name, weight) -> name to TeamConfiguration(name, emptySet(), weight, Amount()) },
    )

private fun engine(
    epoch: Long,
    vararg workerIds: String,
): JobEngine {
    val engine = JobEngine(epoch, limitsWithShares, now = 0)
    engine.configure(accounts(LARGE to 1.0, SMALL to 1.0, "" to 0.0))
    engine.state.isWorkerListKnown = true
    workerIds.forEach {
        engine.addRecordedWorker(worker(it), now = 0)
        engine.handleListing(it, listing(), sentAtMillis = 0, now = 0)
    }
    return engine
}

private fun jobOf(
    account: String,
    unixMillis: Long,
    vararg steps: StepSpecification,
) = job(*steps).copy(teamName = account, acceptedUnixMillis = unixMillis)

private fun JobEngine.surplus() =
    state.jobs.values
        .filter { it.share.isSurplus }
        .map { it.id }
        .sorted()

/** A worker with four cores; the test decides when its runs end. */
private class FourCoreWorker(
    private val engine: JobEngine,
) {
    val running = LinkedHashMap<String, ListedRun>()
    private val ended = ArrayList<ListedEnd>()

    fun execute(
        actions: List<EngineAction>,
        now: Long,
    ): List<String> {
        val starts = actions.starts()
        starts.forEach { start ->
            engine.handleStartOutcome("w1", start.order, OrderOutcome.Done(now), now)
            running[start.order.taskId.toString()] = ListedRun(start.order.taskId, start.order.runId, "", 10, 0)
        }
        return starts.map { it.order.taskId.jobId }
    }

    fun end(
        taskId: String,
        now: Long,
    ) {
        val run = running.remove(taskId) ?: error("$taskId does not run")
        ended += ListedEnd(ended.size + 1L, run.taskId, run.runId, EndKind.DONE, "")
        engine.handleListing("w1", listing(running.values.toList(), ended.toList(), clockMillis = now), now, now)
    }
}

class AccountSharesEngineTest :
    FunSpec({
        test("surplus starts only when no job within a share waits") {
            val engine = engine(1, "w1")
            val worker = FourCoreWorker(engine)
            repeat(9) { engine.accept("flood-$it", jobOf(LARGE, it.toLong(), step(1)), now = it.toLong()) }
            worker.execute(engine.decide(10, 10), 10) shouldBe listOf("flood-0", "flood-1", "flood-2", "flood-3")
            engine.surplus() shouldBe listOf("flood-5", "flood-6", "flood-7", "flood-8")
            engine.accept("late", jobOf(SMALL, 100, step(1)), now = 100)
            worker.end("flood-0.0.0.0", 110)
            worker.execute(engine.decide(110, 110), 110) shouldBe listOf("late")
            worker.end("flood-1.0.0.0", 120)
            worker.execute(engine.decide(120, 120), 120) shouldBe listOf("flood-4")
            worker.end("flood-2.0.0.0", 130)
            worker.execute(engine.decide(130, 130), 130) shouldBe listOf("flood-5")
        }

        test("surplus of the account with the lower usage per weight starts first") {
            val engine = engine(1, "w1")
            val worker = FourCoreWorker(engine)
            repeat(12) { engine.accept("a-$it", jobOf(LARGE, 0, step(1)), now = 0) }
            worker.execute(engine.decide(10, 10), 10) shouldHaveSize 4
            repeat(6) { engine.accept("b-$it", jobOf(SMALL, 0, step(1)), now = 20) }
            worker.running.keys
                .toList()
                .forEach { worker.end(it, 30) }
            worker.execute(engine.decide(30, 30), 30)
            worker.running.keys
                .toList()
                .forEach { worker.end(it, 40) }
            val next = worker.execute(engine.decide(40, 40), 40)
            next.map { it.first() }.groupingBy { it }.eachCount() shouldBe mapOf('b' to 2, 'a' to 2)
        }

        test("a large job of a small account is not starved by surplus that would fill every gap") {
            val engine = engine(1, "w1")
            val worker = FourCoreWorker(engine)
            repeat(40) { engine.accept("flood-$it", jobOf(LARGE, 0, step(1)), now = 0) }
            worker.execute(engine.decide(10, 10), 10) shouldHaveSize 4
            // The account of the large job has a share; the five jobs of the flood within its share have started or
            // ended.
            repeat(5) {
                worker.end(worker.running.keys.first(), 20L + it)
                worker.execute(
                    engine.decide(20L + it, 0),
                    20L + it,
                )
            }
            engine.accept("whole", jobOf(SMALL, 30, step(1, cpuMillis = 4_000)), now = 30)
            var now = 40L
            val started = ArrayList<String>()
            while (worker.running.isNotEmpty() && "whole" !in started) {
                worker.end(worker.running.keys.first(), now)
                started += worker.execute(engine.decide(now, now), now)
                now += 10
            }
            started shouldBe listOf("whole")
        }

        test("lasting jobs, scheduled jobs and jobs of queues that are open to all are never surplus") {
            val engine = engine(1, "w1")
            val scheduled = job(step(1)).let { it.copy(specification = it.specification.copy(repetitions = 2)) }
            repeat(20) { engine.accept("lasting-$it", jobOf(SMALL, 0, step(1, isLasting = true)), now = 0) }
            repeat(20) { engine.accept("scheduled-$it", scheduled.copy(teamName = SMALL), now = 0) }
            repeat(20) { engine.accept("open-$it", jobOf("", 0, step(1)), now = 0) }
            engine.surplus().shouldBeEmpty()
        }

        test("a takeover computes the same surplus regardless of the order in which rows are read") {
            val first = engine(1, "w1")
            val random = Random(5)
            val rows = (0 until 60).map { "job-%02d".format(it) to jobOf(LARGE, 1_000L + 20 * it, step(1)) }
            rows.forEach { (id, record) -> first.accept(id, record, now = record.acceptedUnixMillis) }
            val ended = rows.take(30).map { it.first }.toSet()
            ended.forEach { first.cancel(it, now = 3_000) }
            val expected = first.surplus()
            repeat(10) {
                val next = engine(2, "w1")
                ended.forEach(next.state::rememberEnd)
                rows.shuffled(random).forEach { (id, record) -> next.inherit(id, record, null, 0, 0) }
                next.surplus() shouldBe expected
            }
            first.state.jobs.values
                .all { it.state == JobState.QUEUED } shouldBe true
        }

        test("accounts that exceed their weight, and no others, are logged every five seconds") {
            val engine = engine(1, "w1")
            val worker = FourCoreWorker(engine)
            repeat(12) { engine.accept("flood-$it", jobOf(LARGE, 0, step(1)), now = 0) }
            engine.accept("one", jobOf(SMALL, 0, step(1)), now = 0)
            worker.execute(engine.decide(10, 10), 10)

            fun surplusNotes(now: Long) =
                engine.decide(now, now).filterIsInstance<EngineAction.Note>().map { it.note }.filter {
                    it.kind == NoteKind.ACCOUNT_SURPLUS
                }
            surplusNotes(4_900).shouldBeEmpty()
            val note = surplusNotes(5_000).single()
            note.subject shouldBe LARGE
            note.detail shouldContain "weight 1.0 jobs/s, sent 5 within it and 7 beyond it"
            surplusNotes(10_000).shouldBeEmpty()
        }

        test("no job is surplus while account shares are switched off") {
            val engine = readyEngine("w1")
            repeat(60) { engine.accept("job-$it", job(step(1)), now = 0) }
            engine.surplus().shouldBeEmpty()
        }
    })
