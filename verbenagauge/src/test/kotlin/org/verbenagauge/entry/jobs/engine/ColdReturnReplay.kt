package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.jobs.model.JobState
import org.verbenagauge.entry.jobs.ports.EndKind
import org.verbenagauge.entry.jobs.ports.OrderOutcome
import org.verbenagauge.entry.jobs.ports.StartOrder
import org.verbenagauge.entry.load.ColdCapacityRule

/**
 * Result of a replay.
 *
 * @property jobs number of submitted jobs.
 * @property late number of jobs that missed their objective.
 */
internal data class ColdReturnResult(
    val jobs: Int,
    val late: Int,
)

/**
 * Replays the return of an evacuated zone, a quarter of the pool. Its workers are cold for [coldMillis] from then on
 * and report this with their next list entry. The load is steady work that the other zones can carry, and a burst of
 * [burst] jobs at the return.
 */
internal class ColdReturnReplay(
    private val burst: Int,
    private val coldMillis: Long,
    coldRoom: ColdCapacityRule,
) {
    private class ScheduledEnd(
        val sinceMillis: Long,
        val atMillis: Long,
        val workerId: String,
        val order: StartOrder,
    )

    private val engine = JobEngine(epoch = 1, EngineLimits(), now = 0, coldRoom = coldRoom)
    private val scheduledEnds = ArrayList<ScheduledEnd>()
    private val ends = HashMap<String, Long>()
    private val acceptedAtMillis = HashMap<String, Long>()
    private val doneAtMillis = HashMap<String, Long>()

    fun play(): ColdReturnResult {
        engine.configure(configuration())
        engine.state.isWorkerListKnown = true
        (1..WORKERS).forEach {
            engine.addRecordedWorker(zoned("w$it"), now = 0)
            engine.handleListing("w$it", listing(), sentAtMillis = 0, now = 0)
        }
        engine.evacuate(setOf(RETURNING_ZONE), now = 0)
        for (now in 0L..END_MILLIS step TICK_MILLIS) tick(now)
        val late = acceptedAtMillis.count { (id, at) -> (doneAtMillis[id] ?: Long.MAX_VALUE) - at > OBJECTIVE_MILLIS }
        return ColdReturnResult(acceptedAtMillis.size, late)
    }

    private fun tick(now: Long) {
        if (now == RETURN_MILLIS) engine.evacuate(emptySet(), now)
        if (now >= RETURN_MILLIS + REPORT_INTERVAL_MILLIS && now % REPORT_INTERVAL_MILLIS == 0L) report(now)
        listEnds(now)
        if (now < LAST_ARRIVAL_MILLIS && now % ARRIVAL_INTERVAL_MILLIS == 0L) accept(now)
        if (now == RETURN_MILLIS) repeat(burst) { accept(now) }
        engine.decide(now, 0).starts().forEach { start ->
            val workerId = start.address.workerId
            engine.handleStartOutcome(workerId, start.order, OrderOutcome.Done(now), now)
            scheduledEnds +=
                ScheduledEnd(now, now + (TASK_MILLIS * slowness(workerId, now)).toLong(), workerId, start.order)
        }
        engine.state.takeChanges(Int.MAX_VALUE).filter { it.state == JobState.COMPLETED }.forEach {
            doneAtMillis[it.jobId] = now
        }
    }

    private fun accept(now: Long) {
        val id = "%016d".format(acceptedAtMillis.size)
        acceptedAtMillis[id] = now
        engine.accept(id, job(step(1)), now)
    }

    private fun report(now: Long) {
        (1..WORKERS).forEach { engine.upsertWorker(zoned("w$it").copy(coldMillis = remaining("w$it", now)), now) }
    }

    private fun listEnds(now: Long) {
        val due = scheduledEnds.filter { it.atMillis <= now }
        scheduledEnds -= due.toSet()
        due.groupBy { it.workerId }.forEach { (workerId, ended) ->
            val listed = ended.map { end(nextEnd(workerId), it.order.taskId, it.order.runId, EndKind.DONE) }
            val left =
                scheduledEnds.filter { it.workerId == workerId }.map {
                    running(
                        it.order.taskId,
                        it.order.runId,
                        it.percent(now),
                    )
                }
            engine.handleListing(workerId, listing(left, listed, clockMillis = now), now - 1, now)
            engine.markEndsStored(listOf(EndWatermark(workerId, BORN, ends.getValue(workerId))))
        }
    }

    private fun ScheduledEnd.percent(now: Long): Int = (100 * (now - sinceMillis) / (atMillis - sinceMillis)).toInt()

    private fun nextEnd(workerId: String): Long = ((ends[workerId] ?: 0L) + 1L).also { ends[workerId] = it }

    private fun zoned(workerId: String) =
        worker(workerId).copy(zoneId = if (isReturning(workerId)) RETURNING_ZONE else "b")

    private fun isReturning(workerId: String) = workerId.drop(1).toInt() % ZONES == 0

    private fun remaining(
        workerId: String,
        now: Long,
    ): Long = if (isReturning(workerId)) (RETURN_MILLIS + coldMillis - now).coerceAtLeast(0) else 0

    private fun slowness(
        workerId: String,
        now: Long,
    ): Double = if (coldMillis == 0L) 1.0 else 1.0 + (INITIAL_SLOWDOWN - 1.0) * remaining(workerId, now) / coldMillis

    private companion object {
        const val TICK_MILLIS = 10L
        const val ZONES = 4
        const val RETURNING_ZONE = "a"

        // A worker runs four tasks at a time, so twelve warm workers complete 96 tasks per second.
        const val WORKERS = 16
        const val TASK_MILLIS = 500L
        const val ARRIVAL_INTERVAL_MILLIS = 20L

        // Ratio of the run time on a worker that has just become cold to that on a warm one.
        const val INITIAL_SLOWDOWN = 4.0
        const val REPORT_INTERVAL_MILLIS = 1_000L
        const val RETURN_MILLIS = 2_000L
        const val LAST_ARRIVAL_MILLIS = 10_000L
        const val END_MILLIS = 20_000L

        // The objective in the configuration: twice the work plus 600 ms.
        const val OBJECTIVE_MILLIS = 2 * TASK_MILLIS + 600
    }
}
