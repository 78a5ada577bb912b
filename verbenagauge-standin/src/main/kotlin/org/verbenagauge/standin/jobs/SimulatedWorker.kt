package org.verbenagauge.standin.jobs

import org.verbenagauge.entry.jobs.model.TaskId
import org.verbenagauge.entry.jobs.ports.EndKind
import org.verbenagauge.entry.jobs.ports.ListedEnd
import org.verbenagauge.entry.jobs.ports.ListedRun
import org.verbenagauge.entry.jobs.ports.ListingOutcome
import org.verbenagauge.entry.jobs.ports.OrderOutcome
import org.verbenagauge.entry.jobs.ports.Renewal
import org.verbenagauge.entry.jobs.ports.StartOrder
import org.verbenagauge.entry.jobs.ports.StartRefusal
import org.verbenagauge.entry.jobs.ports.WorkerListing

/**
 * What the payload of a job asks a simulated worker to do.
 *
 * @property durationMillis time until the task ends; null for one that does not end by itself.
 * @property fails whether the task ends as failed.
 */
internal data class SimulatedWork(
    val durationMillis: Long?,
    val fails: Boolean,
)

private const val DEFAULT_MILLIS = 300L

/** Reads "sleep N", "fail N" or "forever" from [payload]; anything else sleeps a short time. */
internal fun simulatedWork(payload: String): SimulatedWork {
    val (verb, number) = "$payload ".split(' ')
    val millis = number.toLongOrNull() ?: DEFAULT_MILLIS
    return when (verb) {
        "forever" -> SimulatedWork(null, fails = false)
        "fail" -> SimulatedWork(millis, fails = true)
        else -> SimulatedWork(millis, fails = false)
    }
}

/** A worker that only lets time pass; keeps leases, fencing and the order of runs as real ones do. */
internal class SimulatedWorker(
    private val bornUnixMillis: Long,
) {
    private class Running(
        val order: StartOrder,
        val startedAtMillis: Long,
        val work: SimulatedWork,
    )

    private val running = HashMap<TaskId, Running>()
    private val highestGoneRun = HashMap<TaskId, Long>()
    private val ends = ArrayList<ListedEnd>()
    private var endCounter = 0L
    private var highestToken = 0L
    private var leaseUntilMillis = 0L

    /** Whether an end waits to be listed. */
    val hasEnds: Boolean get() = ends.isNotEmpty()

    /** Lets time pass up to [now]. */
    fun advance(now: Long) {
        val hasLapsed = now > leaseUntilMillis
        running.values.toList().forEach { run ->
            val durationMillis = run.work.durationMillis
            when {
                hasLapsed -> finish(run, EndKind.LAPSED)
                durationMillis == null || now - run.startedAtMillis < durationMillis -> Unit
                else -> finish(run, if (run.work.fails) EndKind.FAILED else EndKind.DONE)
            }
        }
    }

    private fun finish(
        run: Running,
        kind: EndKind,
    ) {
        running.remove(run.order.taskId)
        highestGoneRun.merge(run.order.taskId, run.order.runId, ::maxOf)
        ends += ListedEnd(++endCounter, run.order.taskId, run.order.runId, kind, "")
    }

    /** Carries [order] out at [now]. */
    fun start(
        order: StartOrder,
        now: Long,
    ): OrderOutcome {
        advance(now)
        val isKnown = running[order.taskId]?.order?.runId == order.runId
        val refusal =
            when {
                order.fencingToken < highestToken -> StartRefusal.FENCED
                isKnown -> null
                order.runId <= (highestGoneRun[order.taskId] ?: 0) -> StartRefusal.OLD_RUN
                order.leaseUntilWorkerMillis <= now -> StartRefusal.LEASE_PASSED
                else -> null
            }
        highestToken = maxOf(highestToken, order.fencingToken)
        if (refusal != null) return OrderOutcome.Refused(refusal)
        leaseUntilMillis = maxOf(leaseUntilMillis, order.leaseUntilWorkerMillis)
        if (!isKnown) running[order.taskId] = Running(order, now, simulatedWork(order.payload))
        return OrderOutcome.Done(now)
    }

    /** Stops a run at [now]. */
    fun stop(
        taskId: TaskId,
        runId: Long,
        fencingToken: Long,
        now: Long,
    ): OrderOutcome {
        advance(now)
        if (fencingToken < highestToken) return OrderOutcome.Refused(StartRefusal.FENCED)
        highestToken = fencingToken
        highestGoneRun.merge(taskId, runId, ::maxOf)
        running[taskId]?.takeIf { it.order.runId == runId }?.let { finish(it, EndKind.STOPPED) }
        return OrderOutcome.Done(now)
    }

    /** Takes in [renewal] at [now] and lists the runs. */
    fun list(
        renewal: Renewal,
        now: Long,
    ): ListingOutcome {
        advance(now)
        if (renewal.fencingToken < highestToken) return ListingOutcome.Refused(StartRefusal.FENCED)
        highestToken = renewal.fencingToken
        renewal.leaseUntilWorkerMillis?.let { leaseUntilMillis = maxOf(leaseUntilMillis, it) }
        ends.removeIf { it.number <= renewal.acknowledged }
        val runs = running.values.map { ListedRun(it.order.taskId, it.order.runId, "", percent(it, now), 0) }
        return ListingOutcome.Listed(WorkerListing(bornUnixMillis, now, runs, ends.toList()))
    }

    private fun percent(
        run: Running,
        now: Long,
    ): Int {
        val durationMillis = run.work.durationMillis ?: return WHOLE
        return ((now - run.startedAtMillis) * WHOLE / maxOf(1, durationMillis)).toInt().coerceAtMost(WHOLE)
    }

    private companion object {
        const val WHOLE = 100
    }
}
