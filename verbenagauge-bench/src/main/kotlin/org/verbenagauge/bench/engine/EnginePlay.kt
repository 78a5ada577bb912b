package org.verbenagauge.bench.engine

import com.sun.management.ThreadMXBean
import org.HdrHistogram.Histogram
import org.verbenagauge.entry.jobs.engine.EngineAction
import org.verbenagauge.entry.jobs.engine.EngineLimits
import org.verbenagauge.entry.jobs.engine.JobEngine
import org.verbenagauge.entry.jobs.model.Amount
import org.verbenagauge.entry.jobs.model.JobSpecification
import org.verbenagauge.entry.jobs.model.JobsConfiguration
import org.verbenagauge.entry.jobs.model.QueueConfiguration
import org.verbenagauge.entry.jobs.model.ServiceConfiguration
import org.verbenagauge.entry.jobs.model.StepSpecification
import org.verbenagauge.entry.jobs.model.TaskId
import org.verbenagauge.entry.jobs.model.TeamConfiguration
import org.verbenagauge.entry.jobs.ports.EndKind
import org.verbenagauge.entry.jobs.ports.ListedEnd
import org.verbenagauge.entry.jobs.ports.ListedRun
import org.verbenagauge.entry.jobs.ports.ListedWorker
import org.verbenagauge.entry.jobs.ports.ListingOutcome
import org.verbenagauge.entry.jobs.ports.OrderOutcome
import org.verbenagauge.entry.jobs.ports.WorkerAddress
import org.verbenagauge.entry.jobs.ports.WorkerListing
import org.verbenagauge.entry.jobs.records.JobRecord
import org.verbenagauge.entry.load.LoadSettings
import java.lang.management.ManagementFactory
import java.util.PriorityQueue
import kotlin.random.Random

/**
 * How an [EnginePlay] went.
 *
 * @property starts runs that were started.
 * @property engineNanos processor time of all calls of the engine.
 * @property allocatedBytes bytes that these calls allocated.
 * @property decisionNanos processor time of each decision.
 */
internal class EnginePlayResult(
    val starts: Long,
    val engineNanos: Long,
    val allocatedBytes: Long,
    val decisionNanos: Histogram,
)

/**
 * Accounts of which the first sends seven times what each of the others sends.
 *
 * @property accountCount accounts.
 * @property hasShares whether what lies beyond the weight of an account goes behind the rest.
 */
internal class Flood(
    val accountCount: Int,
    val hasShares: Boolean,
)

/**
 * Plays the engine in virtual time against workers that do all they are told: so many jobs wait at any time that the
 * workers are full. Decides as the owner's loop does: soon after each event, with those of some moments together.
 *
 * @param workerCount workers, spread over the services.
 * @param waitingCount jobs that wait at any time.
 * @param flood accounts of which one floods; null for accounts that all send the same.
 */
internal class EnginePlay(
    private val workerCount: Int,
    private val waitingCount: Int,
    seed: Int,
    private val flood: Flood? = null,
) {
    private class Event(
        val atMillis: Long,
        val number: Long,
        val action: () -> Unit,
    )

    private class Worker(
        val listed: ListedWorker,
    ) {
        val running = LinkedHashMap<TaskId, ListedRun>()
        val ended = ArrayList<ListedEnd>()
        var endCount = 0L
        var isListing = false
    }

    private val random = Random(seed)
    private val events = PriorityQueue(compareBy<Event> { it.atMillis }.thenBy { it.number })
    private val threads = ManagementFactory.getThreadMXBean() as ThreadMXBean
    private val accountCount = flood?.accountCount ?: TEAMS
    private val load = LoadSettings(accountShares = flood?.hasShares ?: false)
    private val engine = JobEngine(epoch = 1, EngineLimits(load = load), now = 0)
    private val workers = List(workerCount, ::worker).associateBy { it.listed.address.workerId }
    private val decisions = Histogram(MOST_NANOS, HISTOGRAM_DIGITS)
    private var eventCount = 0L
    private var jobCount = 0
    private var now = 0L
    private var starts = 0L
    private var engineNanos = 0L
    private var allocatedBytes = 0L
    private var isMeasured = false
    private var isAwake = false
    private var decidedAtMillis = 0L
    private var wholeAtMillis = Long.MIN_VALUE / 2

    /** Plays [warmUpMillis] without and [measuredMillis] with measurement, in virtual time. */
    fun play(
        warmUpMillis: Long,
        measuredMillis: Long,
    ): EnginePlayResult {
        begin()
        at(warmUpMillis) { isMeasured = true }
        at(0, ::refill)
        while (events.isNotEmpty() && events.peek().atMillis <= warmUpMillis + measuredMillis) {
            val event = events.poll()
            now = event.atMillis
            event.action()
        }
        return EnginePlayResult(starts, engineNanos, allocatedBytes, decisions)
    }

    private fun begin() {
        engine.configure(configuration())
        engine.state.isWorkerListKnown = true
        workers.values.forEach { worker ->
            engine.upsertWorker(worker.listed, now)
            engine.state.roster.let { it.confirmStored(it.takeChanges(Int.MAX_VALUE)) }
            list(worker)
        }
    }

    private fun at(
        delayMillis: Long,
        action: () -> Unit,
    ) {
        events += Event(now + delayMillis, eventCount++, action)
    }

    private fun refill() {
        while (engine.pendingByQueue().values.sum() < waitingCount) {
            repeat(REFILL_JOBS) {
                val id = "%016x".format(++jobCount)
                val record = JobRecord("queue-${jobCount % SERVICES}", "team-${account()}", now, specification())
                measured { engine.accept(id, record, now) }
            }
        }
        wake()
        at(REFILL_MILLIS, ::refill)
    }

    // The first one sends seven times what each of the others sends.
    private fun account(): Int {
        if (flood == null) return jobCount % TEAMS
        return maxOf(0, jobCount % (accountCount - 1 + FLOOD) - FLOOD + 1)
    }

    private fun specification(): JobSpecification {
        val count = random.nextInt(1, 2 * MEAN_TASKS)
        val amount = Amount(random.nextLong(2_000, 16_000), random.nextLong(1_000, 30_000))
        val first = StepSpecification(count, amount, estimatedMillis = random.nextLong(100, 1_200))
        val steps = if (random.nextBoolean()) listOf(first, first.copy(dependsOn = listOf(0))) else listOf(first)
        return JobSpecification("text", steps)
    }

    private fun wake() {
        if (isAwake) return
        isAwake = true
        at(maxOf(0, decidedAtMillis + BATCH_MILLIS - now)) {
            isAwake = false
            decide()
        }
    }

    private fun decide() {
        val startedNanos = threads.currentThreadCpuTime
        val isWhole = now - wholeAtMillis >= WHOLE_MILLIS
        if (isWhole) wholeAtMillis = now
        decidedAtMillis = now
        val actions = measured { if (isWhole) engine.decide(now, now) else engine.react(now) }
        if (isMeasured) decisions.recordValue(threads.currentThreadCpuTime - startedNanos)
        actions.forEach(::carryOut)
        // What is stored may be acknowledged.
        engine.state.takeChanges(Int.MAX_VALUE)
        engine.markEndsStored(engine.acknowledgeableEnds())
    }

    private fun carryOut(action: EngineAction) {
        when (action) {
            is EngineAction.Start -> at(ORDER_MILLIS) { start(action) }
            is EngineAction.Watch -> workers[action.address.workerId]?.let(::list)
            else -> Unit
        }
    }

    private fun start(action: EngineAction.Start) {
        val worker = workers.getValue(action.address.workerId)
        val order = action.order
        worker.running[order.taskId] = ListedRun(order.taskId, order.runId, "", 0, 0)
        if (isMeasured) starts++
        at(random.nextLong(RUN_MILLIS / 2, 2 * RUN_MILLIS)) { end(worker, order.taskId, order.runId) }
        measured { engine.handleStartOutcome(worker.listed.address.workerId, order, OrderOutcome.Done(now), now, now) }
        wake()
    }

    private fun end(
        worker: Worker,
        taskId: TaskId,
        runId: Long,
    ) {
        worker.running.remove(taskId)
        worker.ended += ListedEnd(++worker.endCount, taskId, runId, EndKind.DONE, "")
        list(worker)
    }

    private fun list(worker: Worker) {
        if (worker.isListing) return
        worker.isListing = true
        val sentAtMillis = now
        at(LISTING_MILLIS) {
            worker.isListing = false
            val workerId = worker.listed.address.workerId
            val renewal = measured { engine.renewal(workerId, waitMillis = 0, isProven = true, now) }
            if (renewal != null) {
                worker.ended.removeIf { it.number <= renewal.acknowledged }
                val listing = WorkerListing(BORN, now, worker.running.values.toList(), worker.ended.toList())
                measured { engine.handleListing(workerId, ListingOutcome.Listed(listing), sentAtMillis, now) }
                wake()
                if (worker.running.isNotEmpty()) at(RELIST_MILLIS) { list(worker) }
            }
        }
    }

    private fun <T> measured(call: () -> T): T {
        if (!isMeasured) return call()
        val bytes = threads.currentThreadAllocatedBytes
        val nanos = threads.currentThreadCpuTime
        return call().also {
            engineNanos += threads.currentThreadCpuTime - nanos
            allocatedBytes += threads.currentThreadAllocatedBytes - bytes
        }
    }

    private fun worker(number: Int) =
        Worker(
            ListedWorker(
                address = WorkerAddress("w$number", "127.0.0.1", number + 1),
                serviceName = "service-${number % SERVICES}",
                zoneId = "z",
                rack = "r1-${number / WORKERS_IN_A_RACK}",
                labels = setOf("a"),
                capacity = Amount(64_000, 131_072),
                isReady = true,
                bornUnixMillis = BORN,
                machineId = "m$number",
            ),
        )

    private fun configuration() =
        JobsConfiguration(
            version = 1,
            queues =
                List(SERVICES) {
                    QueueConfiguration("queue-$it", "host", "/$it/", "service-$it", 0, 3, 2.0, 600, isOpen = false)
                },
            services = List(SERVICES) { "service-$it" }.associateWith { ServiceConfiguration(it, false, false) },
            teams =
                List(accountCount) { "team-$it" }
                    .associateWith { TeamConfiguration(it, emptySet(), JOBS_PER_SECOND / accountCount, Amount()) },
            maxBodyBytes = 1_000,
        )

    private companion object {
        const val SERVICES = 5
        const val TEAMS = 20
        const val FLOOD = 7

        // What 250 workers do, so that about that much lies within the shares.
        const val JOBS_PER_SECOND = 100.0
        const val WORKERS_IN_A_RACK = 20
        const val MEAN_TASKS = 8
        const val BORN = 77L
        const val ORDER_MILLIS = 3L
        const val LISTING_MILLIS = 10L
        const val RELIST_MILLIS = 1_000L
        const val RUN_MILLIS = 640L

        // Of the owner's loop.
        const val BATCH_MILLIS = 3L
        const val WHOLE_MILLIS = 50L
        const val REFILL_MILLIS = 20L
        const val REFILL_JOBS = 5
        const val MOST_NANOS = 60_000_000_000L
        const val HISTOGRAM_DIGITS = 3
    }
}
