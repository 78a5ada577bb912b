package org.verbenagauge.entry.admission

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.verbenagauge.entry.EndpointAnswer
import org.verbenagauge.entry.Job
import org.verbenagauge.entry.JobAnswer
import org.verbenagauge.entry.Reason
import org.verbenagauge.entry.model.Resource
import org.verbenagauge.entry.model.sha256Hex
import org.verbenagauge.entry.placement.EndpointAddress
import org.verbenagauge.entry.placement.EndpointClient
import org.verbenagauge.entry.placement.EndpointView
import org.verbenagauge.entry.rights.Rights
import org.verbenagauge.entry.state.document.Configuration
import org.verbenagauge.entry.state.document.Pool
import org.verbenagauge.entry.state.document.Queue
import org.verbenagauge.entry.state.document.Team
import org.verbenagauge.entry.state.document.TeamKey

private const val RUN_MILLIS = 100L

class JobServiceTest :
    FunSpec({
        test("given a waiting request, when its key is withdrawn, then it is refused and does not run") {
            runTest {
                val fixture = JobServiceFixture(this)
                val first = async { fixture.jobs.handle(job("first")) }
                val second = async { fixture.jobs.handle(job("second")) }
                runCurrent()
                fixture.publish(keys = emptyList())
                first.await().reason shouldBe Reason.SERVED
                second.await().reason shouldBe Reason.KEY_UNKNOWN
                fixture.client.sent shouldBe listOf("first")
                fixture.rights.used.values
                    .sum() shouldBe 0
            }
        }

        test("given an entry that became stale, when a waiting request could start, then it is refused without a run") {
            runTest {
                val fixture = JobServiceFixture(this)
                val first = async { fixture.jobs.handle(job("first")) }
                val second = async { fixture.jobs.handle(job("second")) }
                runCurrent()
                fixture.fresh = false
                first.await().reason shouldBe Reason.SERVED
                second.await().reason shouldBe Reason.ENTRY_STALE
                fixture.client.sent shouldBe listOf("first")
            }
        }

        test("given a team without rights, when it waits, then demand is reported and gained rights start it") {
            runTest {
                val fixture = JobServiceFixture(this)
                fixture.rights.limits[Resource.Team("team")] = 0
                val answer = async { fixture.jobs.handle(job("first")) }
                runCurrent()
                fixture.jobs.tick()
                fixture.rights.demand shouldContain Demand("pool", "team", 1)
                fixture.rights.gain(Resource.Team("team"), 1)
                answer.await().reason shouldBe Reason.SERVED
                fixture.jobs.tick()
                fixture.rights.demand.last() shouldBe Demand("pool", "team", 0)
            }
        }

        test("given a running request, when its caller disconnects, then slot and right are kept until the run ends") {
            runTest {
                val fixture = JobServiceFixture(this)
                val caller = launch { fixture.jobs.handle(job("first")) }
                runCurrent()
                caller.cancel()
                delay(RUN_MILLIS / 2)
                fixture.rights.used.values
                    .sum() shouldBe 2
                delay(RUN_MILLIS)
                fixture.rights.used.values
                    .sum() shouldBe 0
                fixture.reasons shouldBe listOf(Reason.SERVED)
            }
        }

        test("given a waiting request, when its caller disconnects, then it is recorded as cancelled and not sent") {
            runTest {
                val fixture = JobServiceFixture(this)
                fixture.rights.limits[Resource.Team("team")] = 0
                val caller = launch { fixture.jobs.handle(job("first")) }
                runCurrent()
                caller.cancel()
                runCurrent()
                fixture.reasons shouldBe listOf(Reason.CALLER_CANCELLED)
                fixture.client.sent.shouldBeEmpty()
                fixture.jobs.queuedCount shouldBe 0
            }
        }

        test(
            "given a client that throws, when a request is sent, then its rights are held for the maximum run time",
        ) {
            runTest {
                val fixture = JobServiceFixture(this)
                fixture.client.fails = true
                fixture.jobs.handle(job("first")).reason shouldBe Reason.INTERNAL_ERROR
                fixture.rights.used.values
                    .sum() shouldBe 2
                delay(MAX_RUN_MILLIS)
                fixture.jobs.tick()
                fixture.rights.used.values
                    .sum() shouldBe 0
            }
        }
    })

private const val MAX_RUN_MILLIS = 1_000L

private fun job(requestId: String) = Job(requestId, "queue", "Bearer key", null, null, null, ByteArray(0))

private class JobServiceFixture(
    scope: TestScope,
) {
    val client = FakeClient()
    val rights = FakeRights()
    val reasons = ArrayList<Reason>()
    var fresh = true
    val jobs = JobService(VirtualClock(scope), client, rights, { fresh }, { reasons += it.reason }, 10, 10)

    init {
        publish(listOf(TeamKey("k", sha256Hex("key"))))
    }

    fun publish(keys: List<TeamKey>) {
        val configuration =
            Configuration(
                pools = listOf(Pool("pool", "service", slotsPerWorker = 1)),
                teams = listOf(Team("team", keys, maxRunning = 1)),
                queues = listOf(Queue("queue", "pool", maxRunMillis = MAX_RUN_MILLIS)),
            )
        jobs.update(configuration, mapOf("pool" to listOf(EndpointView(EndpointAddress("worker", "", 1), true))))
    }
}

private class FakeClient : EndpointClient {
    val sent = ArrayList<String>()
    var fails = false

    override suspend fun send(
        job: Job,
        address: EndpointAddress,
        idempotent: Boolean,
        maxRunMillis: Long,
    ): JobAnswer {
        sent += job.requestId
        check(!fails) { "the client failed" }
        delay(RUN_MILLIS)
        return JobAnswer(Reason.SERVED, EndpointAnswer(200, null, job.body))
    }
}

private data class Demand(
    val poolId: String,
    val teamId: String,
    val waiting: Int,
)

private class FakeRights : Rights {
    val limits = HashMap<Resource, Int>()
    val used = HashMap<Resource, Int>()
    val demand = ArrayList<Demand>()
    private var listener: () -> Unit = {}

    fun gain(
        resource: Resource,
        limit: Int,
    ) {
        limits[resource] = limit
        listener()
    }

    override fun free(resource: Resource): Int = (limits[resource] ?: 1) - (used[resource] ?: 0)

    override fun tryTake(resource: Resource): Boolean {
        if (free(resource) <= 0) return false
        used.merge(resource, 1, Int::plus)
        return true
    }

    override fun release(resource: Resource) {
        used.merge(resource, -1, Int::plus)
    }

    override fun reportDemand(
        poolId: String,
        teamId: String,
        waiting: Int,
    ) {
        demand += Demand(poolId, teamId, waiting)
    }

    override fun onGained(listener: () -> Unit) {
        this.listener = listener
    }
}
