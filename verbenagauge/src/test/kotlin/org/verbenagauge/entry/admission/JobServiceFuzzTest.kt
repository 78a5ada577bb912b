package org.verbenagauge.entry.admission

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.withTimeoutOrNull
import org.verbenagauge.entry.Job
import org.verbenagauge.entry.JobAnswer
import org.verbenagauge.entry.Verdict
import org.verbenagauge.entry.account.JobRecord
import org.verbenagauge.entry.model.Resource
import org.verbenagauge.entry.rights.SplitRights
import org.verbenagauge.entry.rights.fixedSplit
import org.verbenagauge.entry.state.document.Configuration
import kotlin.random.Random
import kotlin.time.Duration.Companion.minutes

private const val SCHEDULES = 1_000
private const val ENTRIES = 2
private const val LOAD_MILLIS = 3_000L
private const val TICK_MILLIS = 20L
private const val MAX_QUEUED_PER_POOL = 15
private const val MAX_JOBS = 60
private const val CALLERS_TIMEOUT_MILLIS = 60_000L
private const val STOP_TIMEOUT_MILLIS = 1_500L

// After the last answer, all rights must be released within the maximum run time and one tick.
private const val SETTLE_MILLIS = 1_000L

class JobServiceFuzzTest :
    FunSpec({
        test("given random loads and faults on two entries, when all requests have ended, then all invariants held") {
            repeat(SCHEDULES) { seed ->
                withClue("seed $seed") { runTest(timeout = 1.minutes) { FuzzSchedule(seed, this).run() } }
            }
        }
    })

private class FuzzSchedule(
    seed: Int,
    private val scope: TestScope,
) {
    private val random = Random(seed)
    private val fleet = FuzzFleet(random)
    private val endpoints = FuzzEndpoints(fleet, random, scope)
    private val rights = List(ENTRIES) { index -> SplitRights { fixedSplit(limitOf(it), index, ENTRIES) } }
    private val records = ArrayList<JobRecord>()
    private val answers = HashMap<String, JobAnswer>()
    private val bodies = HashMap<String, String>()
    private val clock = VirtualClock(scope)
    private var fresh = true
    private val entries =
        rights.map {
            JobService(clock, endpoints, it, { fresh }, { record -> records += record }, MAX_JOBS, MAX_QUEUED_PER_POOL)
        }

    suspend fun run() {
        publish(fleet.configuration, emptySet())
        val ticker = scope.launch { tickUntilCancelled() }
        val faults = scope.launch { injectFaults() }
        val callers = List(random.nextInt(10, 120)) { index -> scope.launch { call(index) } }
        withTimeoutOrNull(CALLERS_TIMEOUT_MILLIS) { callers.joinAll() } shouldNotBe null
        faults.join()
        delay(SETTLE_MILLIS)
        ticker.cancel()
        checkAll()
    }

    private suspend fun tickUntilCancelled() {
        while (true) {
            entries.forEach { it.tick() }
            entries.forEach { (it.queuedCount <= MAX_QUEUED_PER_POOL) shouldBe true }
            delay(TICK_MILLIS)
        }
    }

    private suspend fun injectFaults() {
        val withdrawn =
            fleet.configuration.teams
                .takeIf { random.nextInt(4) == 0 }
                ?.randomOrNull(random)
        repeat(random.nextInt(12)) {
            delay(random.nextLong(LOAD_MILLIS / 6))
            val instanceId = fleet.instanceIds.random(random)
            endpoints.behaviours[instanceId] = Behaviour.entries.random(random)
            if (random.nextInt(4) ==
                0
            ) {
                publish(fleet.configuration, fleet.instanceIds.filter { random.nextInt(4) == 0 }.toSet())
            }
            if (random.nextInt(8) == 0) fresh = !fresh
        }
        fresh = true
        if (withdrawn != null) publish(without(withdrawn.id), emptySet())
        if (random.nextInt(3) == 0) entries.random(random).stopAccepting(clock.monotonicMillis() + STOP_TIMEOUT_MILLIS)
    }

    private suspend fun call(index: Int) {
        // About half of the callers arrive at the same moment, as a burst.
        delay(if (random.nextBoolean()) random.nextLong(LOAD_MILLIS) else LOAD_MILLIS / 3)
        val job = randomJob(index)
        val request =
            scope.launch {
                bodies[job.requestId] = job.body.decodeToString()
                answers[job.requestId] = entries.random(random).handle(job)
            }
        if (random.nextInt(6) == 0) {
            delay(random.nextLong(300))
            request.cancel()
        }
        request.join()
    }

    private fun randomJob(index: Int) =
        Job(
            requestId = "request-$index",
            queueId = fleet.queues.random(random).id,
            authorization = "Bearer ${keyOf(fleet.teams.random(random).id)}",
            idempotencyKey = null,
            deadlineMillis = random.nextLong(1, 3_000).takeIf { random.nextBoolean() },
            contentType = null,
            body = "body ${index % 7} of $index".encodeToByteArray(),
        )

    private fun without(teamId: String) =
        fleet.configuration.copy(teams = fleet.teams.map { if (it.id == teamId) it.copy(keys = emptyList()) else it })

    private fun publish(
        configuration: Configuration,
        leaving: Set<String>,
    ) = entries.forEach { it.update(configuration, fleet.views(leaving)) }

    private fun limitOf(resource: Resource): Int =
        when (resource) {
            is Resource.Team -> fleet.teams.first { it.id == resource.teamId }.maxRunning
            is Resource.Slot -> fleet.slots
        }

    private fun checkAll() {
        endpoints.violations.shouldBeEmpty()
        records
            .groupBy { it.requestId }
            .filterValues { it.size != 1 }
            .keys
            .shouldBeEmpty()
        records.map { it.requestId }.toSet() shouldBe bodies.keys
        records.forEach(::checkRecord)
        answers.forEach { (requestId, answer) -> withClue(requestId) { checkAnswer(requestId, answer) } }
        entries.map { it.heldCount } shouldBe List(ENTRIES) { 0 }
        entries.map { it.queuedCount } shouldBe List(ENTRIES) { 0 }
        checkRightsReleased()
    }

    private fun checkRecord(record: JobRecord) {
        val runs = endpoints.runsByRequest[record.requestId] ?: 0
        val queue = fleet.queues.first { it.id == record.queueId }
        withClue("${record.requestId} ended with ${record.reason} after $runs runs on $queue") {
            if (record.reason.verdict == Verdict.NOT_RUN) runs shouldBe 0
            if (record.reason.verdict == Verdict.RAN) (runs > 0) shouldBe true
            if (!queue.idempotent) (runs <= 1) shouldBe true
            (record.waitedMillis <= queue.maxWaitMillis + TICK_MILLIS) shouldBe true
        }
    }

    private fun checkAnswer(
        requestId: String,
        answer: JobAnswer,
    ) {
        val body = answer.endpointAnswer?.body ?: return
        body.decodeToString() shouldBe bodies[requestId]
    }

    private fun checkRightsReleased() {
        val resources = fleet.teams.map { Resource.Team(it.id) } + fleet.instanceIds.map { Resource.Slot(it) }
        for (resource in resources) {
            withClue(resource) { rights.sumOf { it.free(resource) } shouldBe limitOf(resource) }
        }
    }
}
