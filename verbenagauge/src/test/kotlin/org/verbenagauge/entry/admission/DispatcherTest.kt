package org.verbenagauge.entry.admission

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.verbenagauge.entry.Reason
import org.verbenagauge.entry.model.Resource
import org.verbenagauge.entry.placement.EndpointAddress
import org.verbenagauge.entry.placement.EndpointView
import org.verbenagauge.entry.rights.FleetService
import org.verbenagauge.entry.rights.SplitRights
import org.verbenagauge.entry.rights.noFleetService
import org.verbenagauge.entry.state.document.Queue
import org.verbenagauge.entry.state.document.QueueClass
import org.verbenagauge.entry.state.document.Team

private const val MAX_RUN_MILLIS = 1_000L
private const val MAX_QUEUED = 4

private data class RetryCase(
    val reason: Reason,
    val idempotent: Boolean,
    val isRetried: Boolean,
)

private data class InfeasibleCase(
    val name: String,
    val reason: Reason,
    val workers: Int = 1,
    val mayStart: Boolean = true,
    val teamLimit: Int = 1,
    val startByMillis: Long = 100,
)

class DispatcherTest :
    FunSpec({
        context("given an attempt that ended, when its reason allows it, then it is retried on another endpoint") {
            withData(
                nameFn = { "${it.reason.code}, idempotent=${it.idempotent}: retried=${it.isRetried}" },
                RetryCase(Reason.CONNECT_FAILED, idempotent = false, isRetried = true),
                RetryCase(Reason.ENDPOINT_DRAINING, idempotent = false, isRetried = true),
                RetryCase(Reason.CONNECTION_LOST, idempotent = false, isRetried = false),
                RetryCase(Reason.ANSWER_TIMEOUT, idempotent = false, isRetried = false),
                RetryCase(Reason.ANSWER_INVALID, idempotent = false, isRetried = false),
                RetryCase(Reason.CONNECTION_LOST, idempotent = true, isRetried = true),
                RetryCase(Reason.ANSWER_TIMEOUT, idempotent = true, isRetried = true),
                RetryCase(Reason.ANSWER_TOO_LARGE, idempotent = true, isRetried = false),
                RetryCase(Reason.INTERNAL_ERROR, idempotent = true, isRetried = false),
                RetryCase(Reason.SERVED, idempotent = true, isRetried = false),
            ) { case ->
                val fixture = DispatcherFixture(workers = 2)
                val first = fixture.submit(1, queue(idempotent = case.idempotent)).single() as DispatchAction.Start
                val next = fixture.dispatcher.attemptEnded(AttemptEnd(1, case.reason), nowMillis = 10).single()
                if (case.isRetried) {
                    next.shouldBeInstanceOf<DispatchAction.Start>().address shouldBe fixture.otherThan(first.address)
                } else {
                    next shouldBe DispatchAction.Deliver(1)
                }
            }
        }

        context("given a request that can't start in time, when it arrives, then it is refused immediately") {
            withData(
                nameFn = { it.name },
                InfeasibleCase("no instance", Reason.POOL_EMPTY, workers = 0),
                InfeasibleCase("no instance may start requests", Reason.NO_ENDPOINT, mayStart = false),
                InfeasibleCase("team limit of 0", Reason.TEAM_LIMIT_ZERO, teamLimit = 0),
                InfeasibleCase("deadline passed", Reason.DEADLINE_EXCEEDED, startByMillis = 0),
            ) { case ->
                val fixture = DispatcherFixture(case.workers, case.mayStart, case.teamLimit)
                val action = fixture.submit(1, queue(), startByMillis = case.startByMillis).single()
                action.shouldBeInstanceOf<DispatchAction.Refuse>().reason shouldBe case.reason
            }
        }

        test(
            "given a backlog, when the expected wait of a request exceeds its deadline, then it is refused immediately",
        ) {
            val fixture = DispatcherFixture(workers = 1)
            fixture.submit(0, queue())
            fixture.dispatcher.attemptEnded(AttemptEnd(0, Reason.SERVED), nowMillis = 100)
            (1L..3L).forEach { fixture.submit(it, queue(), nowMillis = 100) }
            val refused = fixture.submit(4, queue(), startByMillis = 299, nowMillis = 100).single()
            refused.shouldBeInstanceOf<DispatchAction.Refuse>().reason shouldBe Reason.DEADLINE_UNREACHABLE
            refused.retryAfterMillis shouldBe 200
            fixture.submit(5, queue(), startByMillis = 301, nowMillis = 100) shouldBe emptyList()
        }

        test("given an unknown outcome, when the maximum run time has not passed, then the right stays taken") {
            val fixture = DispatcherFixture(workers = 1)
            fixture.submit(1, queue())
            fixture.submit(2, queue())
            fixture.dispatcher.attemptEnded(AttemptEnd(1, Reason.ANSWER_TIMEOUT), nowMillis = 50) shouldBe
                listOf(DispatchAction.Deliver(1))
            fixture.dispatcher.tick(50 + MAX_RUN_MILLIS - 1) shouldBe emptyList()
            fixture.dispatcher
                .tick(50 + MAX_RUN_MILLIS)
                .single()
                .shouldBeInstanceOf<DispatchAction.Start>()
                .id shouldBe 2
        }

        test("given a retry after an unknown outcome, when its deadline passes, then the answer is not a refusal") {
            val fixture = DispatcherFixture(workers = 1)
            fixture.submit(1, queue(idempotent = true), startByMillis = 100)
            fixture.dispatcher.attemptEnded(AttemptEnd(1, Reason.CONNECTION_LOST), nowMillis = 10) shouldBe emptyList()
            fixture.dispatcher.tick(100) shouldBe listOf(DispatchAction.Deliver(1))
        }

        test("given an outage, when all attempts fail, then retries are at most 10 plus a tenth of the requests") {
            val fixture = DispatcherFixture(workers = 2, teamLimit = 1_000)
            val attempts =
                (1L..500L).sumOf { id ->
                    var actions = fixture.submit(id, queue())
                    var starts = 0
                    while (actions.any { it is DispatchAction.Start }) {
                        starts++
                        actions = fixture.dispatcher.attemptEnded(AttemptEnd(id, Reason.CONNECT_FAILED), nowMillis = 1)
                    }
                    starts
                }
            (attempts <= 500 + 50 + 10) shouldBe true
        }

        test("given a full pool, when an urgent request arrives, then the newest deferrable request is refused") {
            val fixture = DispatcherFixture(workers = 1)
            fixture.submit(0, queue())
            (1L..MAX_QUEUED).forEach { fixture.submit(it, queue(QueueClass.DEFERRABLE)) }
            val actions = fixture.submit(9, queue(QueueClass.URGENT))
            actions.single().shouldBeInstanceOf<DispatchAction.Refuse>().reason shouldBe Reason.QUEUE_SHED
            actions.single().id shouldBe MAX_QUEUED.toLong()
            fixture.dispatcher.queued shouldBe MAX_QUEUED
            val more = fixture.submit(10, queue(QueueClass.DEFERRABLE))
            more.single().shouldBeInstanceOf<DispatchAction.Refuse>().reason shouldBe Reason.QUEUE_FULL
        }

        test("given a queue filled by one team, when another team submits, then the newest of the first is refused") {
            val fixture = DispatcherFixture(workers = 1)
            (0L..MAX_QUEUED).forEach { fixture.submit(it, queue()) }
            val actions = fixture.submit(9, queue(), teamId = "small")
            actions.single().shouldBeInstanceOf<DispatchAction.Refuse>().id shouldBe MAX_QUEUED.toLong()
        }

        test("given a team with starts on other entries, when it and another wait, then the other starts first") {
            var elsewhere = 0L
            val fixture = DispatcherFixture(workers = 1) { _, teamId -> if (teamId == "large") elsewhere else 0 }
            fixture.submit(0, queue(), teamId = "other")
            fixture.submit(1, queue(), teamId = "large")
            fixture.submit(2, queue(), teamId = "small")
            fixture.dispatcher.tick(0)
            elsewhere = 5
            fixture.dispatcher.tick(20)
            val next = fixture.dispatcher.attemptEnded(AttemptEnd(0, Reason.SERVED), nowMillis = 20)
            next.filterIsInstance<DispatchAction.Start>().single().id shouldBe 2
        }

        test("given a stop, when a request may not end in time, then it is refused, and others start") {
            val fixture = DispatcherFixture(workers = 1)
            (1L..3L).forEach { fixture.submit(it, queue(), startByMillis = 10_000) }
            fixture.dispatcher.stop(stopByMillis = 2 * MAX_RUN_MILLIS, nowMillis = 0) shouldBe emptyList()
            val next = fixture.dispatcher.attemptEnded(AttemptEnd(1, Reason.SERVED), nowMillis = MAX_RUN_MILLIS)
            next shouldContain DispatchAction.Start(2, fixture.addresses.first())
            val last = fixture.dispatcher.attemptEnded(AttemptEnd(2, Reason.SERVED), nowMillis = MAX_RUN_MILLIS + 1)
            last.filterIsInstance<DispatchAction.Refuse>().single().reason shouldBe Reason.ENTRY_STOPPING
        }
    })

private fun queue(
    queueClass: QueueClass = QueueClass.ORDINARY,
    idempotent: Boolean = false,
) = Queue("queue-$queueClass", "pool", queueClass, idempotent, maxQueued = MAX_QUEUED, maxRunMillis = MAX_RUN_MILLIS)

private class DispatcherFixture(
    workers: Int,
    mayStart: Boolean = true,
    private val teamLimit: Int = 2,
    fleetService: FleetService = noFleetService,
) {
    val addresses = List(workers) { EndpointAddress("worker-$it", "127.0.0.1", 1) }
    private val rights = SplitRights { if (it is Resource.Slot) 1 else teamLimit }
    val dispatcher = Dispatcher("pool", rights, MAX_QUEUED, fleetService)

    init {
        dispatcher.update(addresses.map { EndpointView(it, mayStart) }, maxAway = 0, nowMillis = 0)
    }

    fun otherThan(address: EndpointAddress) = addresses.single { it != address }

    fun submit(
        id: Long,
        queue: Queue,
        startByMillis: Long = 5_000,
        nowMillis: Long = 0,
        teamId: String = "team",
    ) = dispatcher.submit(JobRequest(id, Team(teamId, maxRunning = teamLimit), queue, startByMillis), nowMillis)
}
