package org.verbenagauge.entry.jobs.owner

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
import kotlin.random.Random

/**
 * One incarnation of a worker that behaves as the published protocol describes.
 *
 * @property bornUnixMillis wall clock time of its start.
 * @param clockRate speed of its clock relative to virtual time; the clock may be up to 2% slow.
 */
internal class WorkerIncarnation(
    val id: IncarnationId,
    val bornUnixMillis: Long,
    private val clockRate: Double,
    private val time: VirtualTime,
    private val random: Random,
    private val oracle: TakeoverOracle,
    private val trace: FuzzTrace,
) {
    private class Running(
        val order: StartOrder,
        val startedAtMillis: Long,
        val durationMillis: Long,
    ) {
        var isFinished = false
    }

    private class PendingListing(
        val onAnswer: (ListingOutcome) -> Unit,
    ) {
        var isDone = false
    }

    private val bornAtMillis = time.nowMillis
    private val running = LinkedHashMap<Pair<TaskId, Long>, Running>()
    private val ends = ArrayList<ListedEnd>()
    private val highestFinishedRunId = HashMap<TaskId, Long>()
    private val pendingListings = ArrayList<PendingListing>()
    private var endCounter = 0L
    private var highestToken = 0L
    private var leaseUntilMillis = 0L

    var hasEnded = false
        private set

    private fun clock(): Long = ((time.nowMillis - bornAtMillis) * clockRate).toLong()

    /** Ends this incarnation and all of its runs. */
    fun crash() {
        hasEnded = true
        oracle.incarnationEnded(id)
        running.values.forEach { it.isFinished = true }
        running.clear()
    }

    // Leases are limited to MAX_LEASE_MILLIS.
    private fun renewLease(untilMillis: Long) {
        val until = minOf(untilMillis, clock() + MAX_LEASE_MILLIS)
        if (until <= leaseUntilMillis) return
        leaseUntilMillis = until
        scheduleLeaseCheck()
    }

    private fun scheduleLeaseCheck() {
        val watched = leaseUntilMillis
        val leftMillis = ((watched - clock()) / clockRate).toLong() + 1
        time.after(leftMillis) {
            checkLease()
            // The two roundings may make this check one millisecond early.
            if (watched == leaseUntilMillis && clock() <= watched) scheduleLeaseCheck()
        }
    }

    private fun checkLease() {
        if (hasEnded || clock() <= leaseUntilMillis) return
        if (running.isNotEmpty() || ends.isNotEmpty()) trace.add { "${id.workerId} lease expired with ${running.keys}" }
        oracle.leaseExpired(id)
        running.values.toList().forEach { finish(it, EndKind.LAPSED) }
    }

    private fun finish(
        run: Running,
        kind: EndKind,
    ) {
        if (run.isFinished || hasEnded) return
        run.isFinished = true
        val taskId = run.order.taskId
        running.remove(taskId to run.order.runId)
        highestFinishedRunId.merge(taskId, run.order.runId, ::maxOf)
        endCounter++
        ends += ListedEnd(endCounter, taskId, run.order.runId, kind, "")
        trace.add { "${id.workerId} ends $taskId run ${run.order.runId}: $kind, number $endCounter" }
        oracle.runEnded(taskId, run.order.runId, id, kind, endCounter)
        pendingListings.toList().forEach(::answer)
    }

    /** Executes a start order. */
    fun start(
        order: StartOrder,
        sender: OrderSender,
    ): OrderOutcome {
        checkLease()
        val key = order.taskId to order.runId
        val refusal =
            when {
                order.fencingToken < highestToken -> StartRefusal.FENCED
                key in running -> null
                order.runId <= (highestFinishedRunId[order.taskId] ?: 0) -> StartRefusal.OLD_RUN
                order.leaseUntilWorkerMillis <= clock() -> StartRefusal.LEASE_PASSED
                else -> null
            }
        trace.add {
            val senderText = "${sender.entryId} epoch ${order.fencingToken}, sent at ${sender.sentAtMillis}"
            "${id.workerId} is ordered by $senderText, to start ${order.taskId} run ${order.runId}: ${refusal ?: "yes"}"
        }
        highestToken = maxOf(highestToken, order.fencingToken)
        if (refusal == null || refusal == StartRefusal.OLD_RUN) renewLease(order.leaseUntilWorkerMillis)
        if (refusal != null) return OrderOutcome.Refused(refusal)
        if (key !in running) begin(order, sender)
        return OrderOutcome.Done(clock())
    }

    private fun begin(
        order: StartOrder,
        sender: OrderSender,
    ) {
        val run = Running(order, time.nowMillis, random.nextLong(150, 1_500))
        running[order.taskId to order.runId] = run
        val isLasting = oracle.stepOf(order.taskId).isLasting
        val fails = random.nextInt(FAILS_ONE_IN) == 0
        oracle.runStarted(order, id, sender)
        if (isLasting) return
        time.after(run.durationMillis) { finish(run, if (fails) EndKind.FAILED else EndKind.DONE) }
    }

    /** Executes a stop order. */
    fun stop(
        taskId: TaskId,
        runId: Long,
        token: Long,
    ): OrderOutcome {
        checkLease()
        if (token < highestToken) return OrderOutcome.Refused(StartRefusal.FENCED)
        highestToken = token
        trace.add { "${id.workerId} is ordered by epoch $token to stop $taskId run $runId" }
        val run = running[taskId to runId]
        if (run == null) highestFinishedRunId.merge(taskId, runId, ::maxOf)
        if (run != null) time.after(random.nextLong(MAX_STOP_MILLIS)) { finish(run, EndKind.STOPPED) }
        return OrderOutcome.Done(clock())
    }

    /** Renews the lease and calls [onAnswer] with the listing, once there is an end or the wait is over. */
    fun renewAndList(
        renewal: Renewal,
        onAnswer: (ListingOutcome) -> Unit,
    ) {
        checkLease()
        if (renewal.fencingToken < highestToken) {
            onAnswer(ListingOutcome.Refused(StartRefusal.FENCED))
            return
        }
        highestToken = renewal.fencingToken
        renewal.leaseUntilWorkerMillis?.let(::renewLease)
        if (ends.any { it.number <= renewal.acknowledged }) {
            trace.add { "${id.workerId} drops ends up to ${renewal.acknowledged} for epoch ${renewal.fencingToken}" }
        }
        oracle.acknowledged(id, renewal.acknowledged)
        ends.removeIf { it.number <= renewal.acknowledged }
        val pending = PendingListing(onAnswer)
        if (ends.isNotEmpty() || renewal.waitMillis == 0L) {
            answer(pending)
            return
        }
        pendingListings += pending
        time.after(renewal.waitMillis) { answer(pending) }
    }

    private fun answer(pending: PendingListing) {
        if (pending.isDone || hasEnded) return
        pending.isDone = true
        pendingListings -= pending
        val runs =
            running.values.map {
                val share = FULL_PERCENT * (time.nowMillis - it.startedAtMillis) / it.durationMillis
                ListedRun(it.order.taskId, it.order.runId, "", minOf(FULL_PERCENT, share).toInt(), 0)
            }
        val page = ends.take(ENDS_PER_PAGE)
        val listing = WorkerListing(bornUnixMillis, clock(), runs, page, hasAllEnds = page.size < ENDS_PER_PAGE)
        pending.onAnswer(ListingOutcome.Listed(listing))
    }

    /** Adds a full page of ends with unreadable task ids, which are listed before all later ends. */
    fun addUnreadableEnds() {
        repeat(ENDS_PER_PAGE) { ends += ListedEnd(++endCounter, null, 1, EndKind.STOPPED, "") }
        trace.add { "${id.workerId} has a page of ends of unreadable tasks, up to $endCounter" }
    }

    private companion object {
        const val ENDS_PER_PAGE = 500
        const val MAX_LEASE_MILLIS = 6_000L
        const val MAX_STOP_MILLIS = 300L
        const val FAILS_ONE_IN = 15
        const val FULL_PERCENT = 100L
    }
}
