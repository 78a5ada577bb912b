package org.verbenagauge.entry.placement

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import org.verbenagauge.entry.model.Resource
import org.verbenagauge.entry.rights.SplitRights
import kotlin.random.Random

private const val SLOTS = 8
private const val WORKERS = 6
private const val SCHEDULES = 300
private const val STEPS = 150
private val idempotentNeed = PlacementNeed(idempotent = true)
private val nonIdempotentNeed = PlacementNeed(idempotent = false)

class EndpointPoolTest :
    FunSpec({
        test("given random outcomes and views, when endpoints are ejected, then the budget is never exceeded") {
            repeat(SCHEDULES) { seed -> withClue("seed $seed") { ejectAtRandom(Random(seed)) } }
        }

        test("given a worker that fails every job immediately, when more jobs arrive, then it gets few requests") {
            val fleet = Fleet(maxAway = 1)
            repeat(1_000) { fleet.runOne(it.toLong(), failing = setOf("worker-0")) }
            fleet.pool.ejectedIds shouldBe setOf("worker-0")
            (fleet.sentCount("worker-0") < 20) shouldBe true
        }

        test("given an ejected worker, when its probe succeeds, then it accepts work again") {
            val fleet = Fleet(maxAway = 1)
            repeat(300) { fleet.runOne(it.toLong(), failing = setOf("worker-0")) }
            fleet.pool.acquireSlot(nonIdempotentNeed, nowMillis = 40_000)?.isProbe shouldBe false
            val probe = fleet.pool.acquireSlot(idempotentNeed, nowMillis = 40_000)!!
            probe.isProbe shouldBe true
            fleet.pool.acquireSlot(idempotentNeed, nowMillis = 40_000)?.isProbe shouldBe false
            fleet.pool.recordSuccess(probe, lazyOf(1), runMillis = 5.0)
            fleet.pool.ejectedIds.shouldBeEmpty()
            fleet.pool.takeNotices() shouldContain PlacementNotice.Restored("worker-0")
        }

        test("given a pool without idempotent work, when a worker is ejected, then its probe is delayed longer") {
            val fleet = Fleet(maxAway = 1)
            repeat(300) { fleet.runOne(it.toLong(), failing = setOf("worker-0")) }
            fleet.pool.acquireSlot(nonIdempotentNeed, nowMillis = 60_999)?.isProbe shouldBe false
            fleet.pool.acquireSlot(nonIdempotentNeed, nowMillis = 61_000)?.isProbe shouldBe true
        }

        test("given an endpoint that refused connections, when it is ejected, then any request may probe it") {
            val fleet = Fleet(maxAway = 1)
            fleet.runOne(0, failing = emptySet())
            repeat(3) { fleet.pool.recordFailure("worker-0", it.toLong(), jobKey = null, nowMillis = 0) }
            fleet.pool.ejectedIds shouldBe setOf("worker-0")
            fleet.pool.acquireSlot(nonIdempotentNeed, nowMillis = 999)?.isProbe shouldBe false
            fleet.pool.acquireSlot(nonIdempotentNeed, nowMillis = 1_000)?.isProbe shouldBe true
        }

        test("given a request placed before the ejection, when it succeeds, then the worker stays ejected") {
            val fleet = Fleet(maxAway = 1)
            repeat(300) { fleet.runOne(it.toLong(), failing = setOf("worker-0")) }
            fleet.pool.recordSuccess(Placement(EndpointAddress("worker-0", "127.0.0.1", 1)), lazyOf(1), runMillis = 5.0)
            fleet.pool.ejectedIds shouldBe setOf("worker-0")
        }

        test("given a pool in which all workers fail, when more jobs arrive, then none is ejected") {
            val fleet = Fleet(maxAway = 3)
            repeat(500) { fleet.runOne(it.toLong(), failing = fleet.instanceIds.toSet()) }
            fleet.pool.ejectedIds.shouldBeEmpty()
        }

        test("given a job that fails everywhere, when it is sent repeatedly, then no worker is ejected") {
            val fleet = Fleet(maxAway = 3)
            repeat(400) {
                fleet.runOne(it.toLong(), failing = emptySet())
                fleet.runOne(FAULTY_JOB_KEY, failing = fleet.instanceIds.toSet())
            }
            fleet.pool.ejectedIds.shouldBeEmpty()
            fleet.notices.filterIsInstance<PlacementNotice.FaultyJob>().size shouldBe 1
        }

        test("given an endpoint that reported draining, when the list still shows it live, then it gets no new work") {
            val fleet = Fleet(maxAway = 0)
            fleet.pool.recordDraining("worker-0", nowMillis = 0)
            fleet.pool.update(fleet.views(emptySet()), maxAway = 0)
            repeat(WORKERS * SLOTS) {
                fleet.pool
                    .acquireSlot(nonIdempotentNeed, 0)
                    ?.address
                    ?.instanceId shouldNotBe "worker-0"
            }
            fleet.pool.acquireSlot(nonIdempotentNeed, nowMillis = 0) shouldBe null
        }

        test("given a retry, when other endpoints are free, then it avoids the endpoint of the first attempt") {
            val fleet = Fleet(maxAway = 0)
            val tried = PlacementNeed(idempotent = true, triedInstanceIds = setOf("worker-3"))
            val taken =
                List((WORKERS - 1) * SLOTS) {
                    fleet.pool
                        .acquireSlot(tried, 0)
                        ?.address
                        ?.instanceId
                }
            taken shouldNotContain "worker-3"
            fleet.pool.acquireSlot(tried, nowMillis = 0) shouldBe null
            fleet.pool
                .acquireSlot(tried.copy(mayRepeat = true), nowMillis = 0)
                ?.address
                ?.instanceId shouldBe "worker-3"
        }
    })

private const val FAULTY_JOB_KEY = -1L

private class Fleet(
    maxAway: Int,
) {
    val instanceIds = List(WORKERS) { "worker-$it" }
    private val rights = SplitRights { SLOTS }
    val pool = EndpointPool(rights, seed = 1)
    val notices = ArrayList<PlacementNotice>()
    private val sentCounts = HashMap<String, Int>()

    init {
        pool.update(views(emptySet()), maxAway)
    }

    fun views(nonAccepting: Set<String>) =
        instanceIds.map { EndpointView(EndpointAddress(it, "127.0.0.1", 1), it !in nonAccepting) }

    fun sentCount(instanceId: String) = sentCounts[instanceId] ?: 0

    fun runOne(
        jobKey: Long,
        failing: Set<String>,
        nowMillis: Long = 0,
    ) {
        val placement = pool.acquireSlot(idempotentNeed, nowMillis) ?: return
        val instanceId = placement.address.instanceId
        sentCounts.merge(instanceId, 1, Int::plus)
        rights.release(Resource.Slot(instanceId))
        pool.onSlotReleased(instanceId)
        if (instanceId in failing) {
            pool.recordFailure(instanceId, jobKey, jobKey, nowMillis)
        } else {
            pool.recordSuccess(placement, lazyOf(jobKey), runMillis = 10.0)
        }
        notices += pool.takeNotices()
    }
}

private fun ejectAtRandom(random: Random) {
    var maxAway = random.nextInt(4)
    var nonAccepting = emptySet<String>()
    val fleet = Fleet(maxAway)
    var nowMillis = 0L
    var failing = fleet.instanceIds.filter { random.nextInt(3) == 0 }.toSet()
    repeat(STEPS) { step ->
        nowMillis += random.nextLong(200)
        when (random.nextInt(12)) {
            0 -> failing = fleet.instanceIds.filter { random.nextInt(3) == 0 }.toSet()
            1 -> {
                maxAway = random.nextInt(4)
                nonAccepting = fleet.instanceIds.filter { random.nextInt(4) == 0 }.toSet()
                fleet.pool.update(fleet.views(nonAccepting), maxAway)
            }
            else -> fleet.runOne(step.toLong(), failing, nowMillis)
        }
        val budget = maxOf(0, maxAway - nonAccepting.size)
        withClue("step $step") { (fleet.pool.ejectedIds.size <= budget) shouldBe true }
    }
}
