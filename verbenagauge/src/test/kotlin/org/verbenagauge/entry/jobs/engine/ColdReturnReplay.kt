package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.jobs.model.JobState
import org.verbenagauge.entry.jobs.ports.EndKind
import org.verbenagauge.entry.jobs.ports.OrderOutcome
import org.verbenagauge.entry.jobs.ports.StartOrder
import org.verbenagauge.entry.load.ColdCapacityRule

/**
 * How a replay went.
 *
 * @property jobs jobs that were handed in.
 * @property late jobs that missed their objective.
 */
internal data class ColdReturnResult(
    val jobs: Int,
    val late: Int,
)

/**
 * Replays the return of an evacuated zone, a quarter of the pool, whose workers are cold for [coldMillis] from then on and say so
 * with their next entry: steady work that the other zones hold, and a burst of [burst] jobs at the return.
 */
internal class ColdReturnReplay(
    private val burst: Int,
    private val coldMillis: Long,
    coldRoom: ColdCapacityRule,
) {
    private class Ending(
        val sinceMillis: Long,
        val atMillis: Long,
        val workerId: String,
        val order: StartOrder,
    )

    private val engine = JobEngine(epoch = 1, EngineLimits(), now = 0, coldRoom = coldRoom)
    private val endings = ArrayList<Ending>()
    private val ends = HashMap<String, Long>()
    private val acceptedAtMillis = HashMap<String, Long>()
    private val doneAtMillis = HashMap<String, Long>()

    fun play(): ColdReturnResult {
        engine.configure(configuration())
        engine.state.isListKnown = true
        (1..WORKERS).forEach {
            engine.listRecorded(zoned("w$it"), now = 0)
            engine.listed("w$it", listing(), sentAtMillis = 0, now = 0)
        }
        engine.evacuate(setOf(RETURNING), now = 0)
        for (now in 0L..END_MILLIS step TICK_MILLIS) tick(now)
        val late = acceptedAtMillis.count { (id, at) -> (doneAtMillis[id] ?: Long.MAX_VALUE) - at > OBJECTIVE_MILLIS }
        return ColdReturnResult(acceptedAtMillis.size, late)
    }

    private fun tick(now: Long) {
        if (now == RETURN_MILLIS) engine.evacuate(emptySet(), now)
        if (now >= RETURN_MILLIS + REPORT_MILLIS && now % REPORT_MILLIS == 0L) report(now)
        listEnds(now)
        if (now < LAST_ARRIVAL_MILLIS && now % GAP_MILLIS == 0L) accept(now)
        if (now == RETURN_MILLIS) repeat(burst) { accept(now) }
        engine.decide(now, 0).starts().forEach { start ->
            val workerId = start.address.workerId
            engine.started(workerId, start.order, OrderOutcome.Done(now), now)
            endings += Ending(now, now + (TASK_MILLIS * slowness(workerId, now)).toLong(), workerId, start.order)
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
        (1..WORKERS).forEach { engine.list(zoned("w$it").copy(coldMillis = remaining("w$it", now)), now) }
    }

    private fun listEnds(now: Long) {
        val over = endings.filter { it.atMillis <= now }
        endings -= over.toSet()
        over.groupBy { it.workerId }.forEach { (workerId, ended) ->
            val listed = ended.map { end(nextEnd(workerId), it.order.taskId, it.order.runId, EndKind.DONE) }
            val left =
                endings.filter { it.workerId == workerId }.map {
                    running(
                        it.order.taskId,
                        it.order.runId,
                        it.percent(now),
                    )
                }
            engine.listed(workerId, listing(left, listed, clockMillis = now), now - 1, now)
            engine.stored(listOf(EndMark(workerId, BORN, ends.getValue(workerId))))
        }
    }

    private fun Ending.percent(now: Long): Int = (100 * (now - sinceMillis) / (atMillis - sinceMillis)).toInt()

    private fun nextEnd(workerId: String): Long = ((ends[workerId] ?: 0L) + 1L).also { ends[workerId] = it }

    private fun zoned(workerId: String) = worker(workerId).copy(zoneId = if (isReturning(workerId)) RETURNING else "b")

    private fun isReturning(workerId: String) = workerId.drop(1).toInt() % ZONES == 0

    private fun remaining(
        workerId: String,
        now: Long,
    ): Long = if (isReturning(workerId)) (RETURN_MILLIS + coldMillis - now).coerceAtLeast(0) else 0

    private fun slowness(
        workerId: String,
        now: Long,
    ): Double = if (coldMillis == 0L) 1.0 else 1.0 + (COLDEST - 1.0) * remaining(workerId, now) / coldMillis

    private companion object {
        const val TICK_MILLIS = 10L
        const val ZONES = 4
        const val RETURNING = "a"

        // Four tasks a worker; twelve warm workers end 96 a second.
        const val WORKERS = 16
        const val TASK_MILLIS = 500L
        const val GAP_MILLIS = 20L

        // A task takes this many times as long on a worker that has just become cold.
        const val COLDEST = 4.0
        const val REPORT_MILLIS = 1_000L
        const val RETURN_MILLIS = 2_000L
        const val LAST_ARRIVAL_MILLIS = 10_000L
        const val END_MILLIS = 20_000L

        // Twice the work and 600 ms, as the configuration says.
        const val OBJECTIVE_MILLIS = 2 * TASK_MILLIS + 600
    }
}
