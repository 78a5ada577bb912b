package org.verbenagauge.entry.jobs.engine

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.verbenagauge.entry.jobs.model.AdviceConfiguration
import org.verbenagauge.entry.jobs.model.StepSpecification
import org.verbenagauge.entry.jobs.ports.ListedRun
import org.verbenagauge.entry.jobs.ports.OrderOutcome

// Limits of a call to an advisor, and the time in which callers expect a start.
private const val MAX_IDS = 100
private const val MAX_CALLS = 32
private const val START_MILLIS = 3_000L

private const val PASS_MILLIS = 10L
private const val CALL_MILLIS = 2_000L
private const val JOB = "0000000000000001"

private data class PoolCase(
    val name: String,
    val workers: Int,
    val isAllowed: (Int) -> Boolean,
    val step: StepSpecification = step(1),
    val jobs: Int = 1,
    val usedCpuMillis: (Int) -> Long = { 0 },
    val unansweredCalls: Int = 0,
    val validityMillis: Long = 3_000,
    val decisionMillis: Long = 20,
    val perWorkerMillis: Long = 1,
)

/** Engine with a pool whose workers do as they are told, and an advisor that answers calls in turn. */
private class AdvisedPool(
    private val case: PoolCase,
) {
    private class Call(
        val question: EngineAction.AskAdvice,
        val number: Int,
        val askedAtMillis: Long,
        val answeredAtMillis: Long,
    )

    private val engine = JobEngine(1, EngineLimits(), now = 0)
    private val running = HashMap<String, ArrayList<ListedRun>>()
    private val calls = ArrayDeque<Call>()
    val started = LinkedHashSet<String>()
    val questions = ArrayList<EngineAction.AskAdvice>()
    var mostCalls = 0
    var lateCalls = 0

    init {
        engine.configure(configuration())
        engine.state.isWorkerListKnown = true
        repeat(case.workers) { addWorker(it, BORN) }
        (0 until case.workers).filter { case.usedCpuMillis(it) > 0 }.forEach { index ->
            val occupied = step(1, case.usedCpuMillis(index), isLasting = true).copy(requiredLabel = "only-$index")
            engine.accept("0000000000aa%04d".format(index), job(occupied), now = 0)
        }
        decide(0)
        started.clear()
        val queue =
            configuration().queues.single().copy(
                advice =
                    AdviceConfiguration(
                        case.decisionMillis.toDouble(),
                        case.perWorkerMillis.toDouble(),
                        case.validityMillis,
                    ),
            )
        engine.configure(configuration().copy(version = 2, queues = listOf(queue)), now = 0)
    }

    fun addWorker(
        index: Int,
        bornUnixMillis: Long,
    ) {
        val listed = worker("w$index").copy(bornUnixMillis = bornUnixMillis, labels = setOf("a", "only-$index"))
        engine.addRecordedWorker(listed, now = 0)
        engine.handleListing("w$index", listing(bornUnixMillis = bornUnixMillis), sentAtMillis = 0, now = 0)
    }

    fun accept(
        number: Int,
        now: Long,
    ) = engine.accept("%016d".format(number), job(case.step), now)

    fun play(times: LongRange) {
        for (now in times step PASS_MILLIS) {
            while (calls.isNotEmpty() &&
                calls.first().answeredAtMillis <= now
            ) {
                answer(calls.removeFirst(), now)
            }
            decide(now)
            running.forEach { (workerId, runs) ->
                engine.handleListing(workerId, listing(runs.toList(), clockMillis = 1_000 + now), now, now)
            }
        }
    }

    private fun answer(
        call: Call,
        now: Long,
    ) {
        val question = call.question
        val allowed = question.workerIds.filter { case.isAllowed(it.drop(1).toInt()) }
        val isInTime = call.answeredAtMillis - call.askedAtMillis <= CALL_MILLIS
        if (!isInTime) lateCalls++
        val isAnswered = call.number > case.unansweredCalls && isInTime
        val tickets = allowed.associateWith { "${question.stepKey}-$it" }
        engine.handleAdvice(question.stepKey, tickets.takeIf { isAnswered }, now)
    }

    private fun decide(now: Long) {
        val actions = engine.decide(now, 0)
        actions.filterIsInstance<EngineAction.AskAdvice>().forEach {
            questions += it
            val beginMillis = maxOf(now, calls.lastOrNull()?.answeredAtMillis ?: 0)
            val durationMillis = case.decisionMillis + case.perWorkerMillis * it.workerIds.size
            calls += Call(it, questions.size, now, beginMillis + durationMillis)
            mostCalls = maxOf(mostCalls, calls.size)
        }
        actions.starts().forEach { start ->
            val workerId = start.address.workerId
            engine.handleStartOutcome(workerId, start.order, OrderOutcome.Done(1_000 + now), now)
            running.getOrPut(workerId) { ArrayList() } += ListedRun(start.order.taskId, start.order.runId, "", 10, 0)
            started += start.order.taskId.toString()
        }
    }
}

class AdviceForWholePoolTest :
    FunSpec({
        // Guards against an accepted job that never starts, since the advisor is never asked for the only worker that
        // may run it.
        context("a step starts wherever the advisor allows it, within the limits of calls to the advisor") {
            withData(
                nameFn = { it.name },
                PoolCase("on the fullest of 40 workers only", 40, { it == 7 }, usedCpuMillis = {
                    if (it ==
                        7
                    ) {
                        500
                    } else {
                        0
                    }
                }),
                PoolCase("on the fullest of 300 workers only", 300, { it == 7 }, usedCpuMillis = {
                    if (it ==
                        7
                    ) {
                        500
                    } else {
                        0
                    }
                }),
                PoolCase(
                    "on some of the emptiest workers and on some others, as many as it has tasks",
                    workers = 60,
                    isAllowed = { it % 5 == 0 },
                    step = step(12, maxPerWorker = 1),
                    usedCpuMillis = { if (it >= 40) 500 else 0 },
                ),
                PoolCase(
                    "as a gang that needs more workers than one call allows",
                    workers = 60,
                    isAllowed = { it % 5 == 0 },
                    step = step(12, maxPerWorker = 1, isGang = true),
                ),
                PoolCase("after calls without an answer", 40, { it == 39 }, unansweredCalls = 2),
                PoolCase(
                    "with tickets that are valid for less than half a second",
                    40,
                    { it == 39 },
                    validityMillis = 400,
                ),
                PoolCase("with 20 other jobs", 40, { it >= 30 }, step = step(1, cpuMillis = 100), jobs = 21),
            ) { case ->
                val pool = AdvisedPool(case)
                repeat(case.jobs) { pool.accept(it + 1, now = 0) }
                pool.play(0L..START_MILLIS)
                pool.started shouldHaveSize case.jobs * case.step.taskCount
                pool.questions.maxOf { it.workerIds.size } shouldBeLessThanOrEqual MAX_IDS
                pool.mostCalls shouldBeLessThanOrEqual MAX_CALLS
            }
        }

        // Guards against calls without end: what the advisor has told about a worker does not change during its life.
        test("a worker is asked for once while it may not run the step, and again after a restart") {
            val pool = AdvisedPool(PoolCase("", 40, { false }))
            pool.accept(1, now = 0)
            pool.play(0L..20_000)
            pool.started.shouldBeEmpty()
            val asked = pool.questions.flatMap { it.workerIds }
            asked shouldHaveSize 40
            asked.toSet() shouldHaveSize 40
            pool.addWorker(3, BORN + 1)
            pool.play(20_010L..21_000)
            pool.questions.flatMap { it.workerIds }.drop(40) shouldBe listOf("w3")
        }

        // Guards against calls that wait for one another until their time is over, so that no step gets an answer.
        test("with an advisor that is slow every step starts, and no call waits for too long") {
            val slow = PoolCase("", 40, { it >= 30 }, decisionMillis = 200, perWorkerMillis = 10)
            val pool = AdvisedPool(slow)
            repeat(12) { pool.accept(it + 1, now = 0) }
            pool.play(0L..12_000)
            pool.lateCalls shouldBe 0
            pool.started shouldHaveSize 12
        }

        // Guards against an advisor that is called without a pause while it rejects calls.
        test("calls without an answer are repeated ever more slowly, one at a time") {
            val pool = AdvisedPool(PoolCase("", 40, { true }, unansweredCalls = Int.MAX_VALUE))
            repeat(40) { pool.accept(it + 1, now = 0) }
            pool.play(0L..60_000)
            pool.started.shouldBeEmpty()
            pool.questions.size shouldBeLessThanOrEqual 60
        }
    })
