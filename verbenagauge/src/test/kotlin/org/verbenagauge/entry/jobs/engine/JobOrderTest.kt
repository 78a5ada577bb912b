package org.verbenagauge.entry.jobs.engine

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import org.verbenagauge.entry.load.MeanRunTimes

private const val BACKLOG = 40
private const val JOB_MILLIS = 500L

private fun backlog(order: (RunTimes) -> JobOrder): Int {
    // After an outage all waiting jobs are late already. One new job arrives per run on a pool that runs one job at a
    // time.
    val times = MeanRunTimes().also { it.learn(QUEUE, JOB_MILLIS) }
    val queue = configuration().queues.single()
    val waiting =
        (0 until BACKLOG).mapTo(ArrayList()) { JobEntry("old-$it", job(step(1)), queue, -5_000L + it, true) }
    var onTime = 0
    var now = 0L
    val rule = order(times)
    repeat(BACKLOG) { number ->
        waiting += JobEntry("new-$number", job(step(1)), queue, now, false)
        val next = rule.sorted(waiting, now).first()
        waiting -= next
        now += JOB_MILLIS
        if (now <= next.objectiveAtMillis(times)) onTime++
    }
    return onTime
}

// Some jobs are late but still useful, large ones first, and some are no longer useful; the pool has one slot.
private fun usefulAfterOutage(order: (RunTimes) -> JobOrder): Int {
    val times = MeanRunTimes().also { it.learn(QUEUE, JOB_MILLIS) }
    val queue = configuration().queues.single()
    val useless = (0 until BACKLOG / 4).map { JobEntry("useless-$it", job(step(1)), queue, -9_000L, true) }
    val large = (0 until BACKLOG / 4).map { JobEntry("large-$it", job(step(4)), queue, -1_500L, true) }
    val small = (0 until BACKLOG / 4).map { JobEntry("small-$it", job(step(1)), queue, -1_400L, true) }
    val waiting = (useless + large + small).toMutableList()
    var useful = 0
    var now = 0L
    val rule = order(times)
    while (waiting.isNotEmpty()) {
        val next = rule.sorted(waiting, now).first()
        waiting -= next
        now += JOB_MILLIS * next.specification.steps.sumOf { it.taskCount }
        val objectiveMillis = next.objectiveAtMillis(times) - next.acceptedAtMillis
        if (now <= next.acceptedAtMillis + 3 * objectiveMillis) useful++
    }
    return useful
}

class JobOrderTest :
    FunSpec({
        test(
            "only the objective order keeps new jobs on time behind a backlog that is late in any case",
        ) {
            val naive = backlog { ArrivalOrder }
            val chosen = backlog(::ObjectiveOrder)
            naive shouldBe 0
            chosen shouldBeGreaterThan BACKLOG / 2
        }

        test("among late jobs that are still useful, small ones start first, and useless jobs wait") {
            usefulAfterOutage { ArrivalOrder } shouldBe 0
            usefulAfterOutage(::ObjectiveOrder) shouldBe 6
        }

        test("lasting tasks start first") {
            val queue = configuration().queues.single()
            val short = JobEntry("a", job(step(1)), queue, 0, false)
            val lasting = JobEntry("b", job(step(1, isLasting = true)), queue, 50, false)
            ObjectiveOrder(MeanRunTimes()).sorted(listOf(short, lasting), 60).map { it.id } shouldBe listOf("b", "a")
        }
    })
