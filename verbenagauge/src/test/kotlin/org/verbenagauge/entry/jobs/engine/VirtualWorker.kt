package org.verbenagauge.entry.jobs.engine

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

/** Simulated worker of the fuzz tests, which follows the published worker protocol. */
internal class VirtualWorker(
    val id: String,
    private val clockRate: Double,
    private val oracle: RunOracle,
    private val gangs: VirtualGangs,
) {
    private class Running(
        val order: StartOrder,
        val startedAtMillis: Long,
        val durationMillis: Long,
        val fails: Boolean,
    )

    private val running = HashMap<TaskId, Running>()
    private val ends = ArrayList<ListedEnd>()
    private val highestEndedRunId = HashMap<TaskId, Long>()
    private var endCounter = 0L
    private var highestToken = 0L
    private var leaseUntilMillis = 0L
    var bornUnixMillis = 1L
        private set
    private var bornAtMillis = 0L

    /** Clock of the current incarnation in milliseconds. */
    fun clock(now: Long): Long = ((now - bornAtMillis) * clockRate).toLong()

    /** Drops all runs and ends, and starts a new incarnation under the same id. */
    fun crash(now: Long) {
        running.values.forEach { reportGone(it, kind = null) }
        running.clear()
        ends.clear()
        highestEndedRunId.clear()
        endCounter = 0
        highestToken = 0
        leaseUntilMillis = 0
        bornUnixMillis++
        bornAtMillis = now
    }

    /** Advances the simulation to [now]: expires the lease and ends the runs that are due. */
    fun advance(now: Long) {
        if (clock(now) > leaseUntilMillis) running.values.toList().forEach { finish(it, EndKind.LAPSED) }
        running.values.toList().forEach { run -> end(run, now)?.let { finish(run, it) } }
    }

    private fun end(
        run: Running,
        now: Long,
    ): EndKind? {
        val step = oracle.stepOf(run.order.taskId)
        val ranMillis = now - run.startedAtMillis
        return when {
            step.isGang -> gangs.end(run.order, run.startedAtMillis, now)
            ranMillis < run.durationMillis -> null
            run.fails -> EndKind.FAILED
            else -> EndKind.DONE.takeUnless { step.isLasting }
        }
    }

    private fun reportGone(
        run: Running,
        kind: EndKind?,
    ) {
        oracle.gone(run.order)
        if (kind != null) oracle.ended(kind)
        if (oracle.stepOf(run.order.taskId).isGang) gangs.memberEnded(run.order, kind)
    }

    private fun finish(
        run: Running,
        kind: EndKind,
    ) {
        running.remove(run.order.taskId)
        highestEndedRunId.merge(run.order.taskId, run.order.runId, ::maxOf)
        ends += ListedEnd(++endCounter, run.order.taskId, run.order.runId, kind, "")
        reportGone(run, kind)
        if (kind == EndKind.DONE) oracle.done(run.order.taskId, id, bornUnixMillis, endCounter)
    }

    // Caps the lease at the longest lease that a worker grants.
    private fun renewLease(
        untilMillis: Long,
        now: Long,
    ) {
        leaseUntilMillis = maxOf(leaseUntilMillis, minOf(untilMillis, clock(now) + EngineLimits().longestLeaseMillis))
    }

    fun start(
        order: StartOrder,
        durationMillis: Long,
        fails: Boolean,
        sentAtMillis: Long,
        now: Long,
    ): OrderOutcome {
        advance(now)
        val known = running[order.taskId]
        val refusal =
            when {
                order.fencingToken < highestToken -> StartRefusal.FENCED
                known?.order?.runId == order.runId -> null
                order.runId <= (highestEndedRunId[order.taskId] ?: 0) -> StartRefusal.OLD_RUN
                order.leaseUntilWorkerMillis <= clock(now) -> StartRefusal.LEASE_PASSED
                else -> null
            }
        highestToken = maxOf(highestToken, order.fencingToken)
        if (refusal != null) return OrderOutcome.Refused(refusal)
        renewLease(order.leaseUntilWorkerMillis, now)
        if (known?.order?.runId != order.runId) {
            running[order.taskId] = Running(order, now, durationMillis, fails)
            oracle.started(order, id, sentAtMillis, now)
            if (oracle.stepOf(order.taskId).isGang) gangs.memberStarted(order, durationMillis, fails, now)
        }
        return OrderOutcome.Done(clock(now))
    }

    fun stop(
        taskId: TaskId,
        runId: Long,
        token: Long,
        now: Long,
    ): OrderOutcome {
        advance(now)
        if (token < highestToken) return OrderOutcome.Refused(StartRefusal.FENCED)
        highestToken = token
        highestEndedRunId.merge(taskId, runId, ::maxOf)
        running[taskId]?.takeIf { it.order.runId == runId }?.let { finish(it, EndKind.STOPPED) }
        return OrderOutcome.Done(clock(now))
    }

    fun list(
        renewal: Renewal,
        now: Long,
    ): ListingOutcome {
        advance(now)
        if (renewal.fencingToken < highestToken) return ListingOutcome.Refused(StartRefusal.FENCED)
        highestToken = renewal.fencingToken
        renewal.leaseUntilWorkerMillis?.let { renewLease(it, now) }
        ends.filter { it.number <= renewal.acknowledged }.forEach { oracle.acknowledged(it, id, bornUnixMillis, now) }
        ends.removeIf { it.number <= renewal.acknowledged }
        val runs =
            running.values.map {
                val percent = minOf(100, (100 * (now - it.startedAtMillis) / it.durationMillis).toInt())
                ListedRun(it.order.taskId, it.order.runId, "", percent, 0)
            }
        return ListingOutcome.Listed(WorkerListing(bornUnixMillis, clock(now), runs, ends.toList()))
    }
}
