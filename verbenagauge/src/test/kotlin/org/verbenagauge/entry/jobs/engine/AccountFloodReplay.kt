package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.jobs.model.Amount
import org.verbenagauge.entry.jobs.model.JobSpecification
import org.verbenagauge.entry.jobs.model.JobsConfiguration
import org.verbenagauge.entry.jobs.model.TaskId
import org.verbenagauge.entry.jobs.model.TeamConfiguration
import org.verbenagauge.entry.jobs.ports.EndKind
import org.verbenagauge.entry.jobs.ports.ListedEnd
import org.verbenagauge.entry.jobs.ports.ListedRun
import org.verbenagauge.entry.jobs.ports.OrderOutcome
import org.verbenagauge.entry.jobs.records.JobRecord
import org.verbenagauge.entry.load.LoadSettings
import java.util.PriorityQueue
import kotlin.math.pow
import kotlin.random.Random

/**
 * Results of a replay by account.
 *
 * @property onTime share of jobs that met their objective, by account.
 * @property waitMillis time from acceptance to the first start of each job, by account.
 * @property hopelessMillis time from acceptance until each job that can never succeed was reported as failed; null for
 *   jobs that were not.
 * @property hopelessCoreMillis core time spent on these jobs.
 */
internal class AccountOutcome(
    val onTime: Map<Int, Double>,
    val waitMillis: Map<Int, List<Long>>,
    val hopelessMillis: List<Long?>,
    val hopelessCoreMillis: Long,
) {
    /** Returns the 95th percentile of the wait of jobs of [accounts], in milliseconds. */
    fun waitP95Millis(accounts: Collection<Int>): Long {
        val waits = accounts.flatMap { waitMillis[it].orEmpty() }.sorted()
        return waits[waits.size * 95 / 100]
    }
}

/**
 * Replays 20 accounts, a few of them large, whose demand comes in bursts that exceed the capacity of the pool. One
 * account may send seven times its usual load for some seconds. The engine decides and simulated workers execute its
 * orders.
 *
 * @param flooding account that sends the excess load; null for none.
 * @param failingWorkers number of workers that fail half of their runs for some seconds.
 * @param hopelessShare rate of jobs that can never succeed, sent for some seconds, relative to the mean rate of jobs.
 */
internal class AccountFloodReplay(
    seed: Int,
    load: LoadSettings,
    private val flooding: Int? = null,
    private val hopelessShare: Double = 0.0,
    private val failingWorkers: Int = 0,
) {
    private class ScheduledEnd(
        val atMillis: Long,
        val workerId: String,
        val taskId: TaskId,
        val runId: Long,
        val kind: EndKind,
    )

    private class Sent(
        val account: Int,
        val atMillis: Long,
        val chainMillis: Long,
        val isHopeless: Boolean,
    ) {
        var startedAtMillis: Long? = null
        var doneAtMillis: Long? = null
    }

    private val arrivalRandom = Random(seed)
    private val floodRandom = Random(seed + 1_000)
    private val runTimeRandom = Random(seed + 2_000)
    private val failureRandom = Random(seed + 3_000)
    private val engine = JobEngine(epoch = 1, EngineLimits(load = load), now = 0)
    private val running = HashMap<String, LinkedHashMap<TaskId, ListedRun>>()
    private val ended = HashMap<String, ArrayList<ListedEnd>>()
    private val scheduledEnds = PriorityQueue<ScheduledEnd>(compareBy { it.atMillis })
    private val sent = LinkedHashMap<String, Sent>()
    private var hopelessCoreMillis = 0L
    private var endCount = 0L
    private var now = 0L

    fun play(): AccountOutcome {
        setUp()
        while (now < END_MILLIS) {
            arrive()
            deliverEnds()
            decide()
            now += TICK_MILLIS
        }
        val (hopeless, sound) = sent.values.partition { it.isHopeless }
        return AccountOutcome(
            sound.groupBy { it.account }.mapValues { (_, jobs) -> jobs.count(::isOnTime).toDouble() / jobs.size },
            sound.groupBy { it.account }.mapValues { (_, jobs) ->
                jobs.map { (it.startedAtMillis ?: END_MILLIS) - it.atMillis }
            },
            hopeless.map { job -> job.doneAtMillis?.let { it - job.atMillis } },
            hopelessCoreMillis,
        )
    }

    private fun isOnTime(sent: Sent): Boolean {
        val objectiveMillis =
            configuration().queues.single().let {
                it.objectiveMillis +
                    it.slackFactor * sent.chainMillis
            }
        return (sent.doneAtMillis ?: return false) - sent.atMillis <= objectiveMillis
    }

    private fun setUp() {
        engine.configure(accountConfiguration())
        engine.state.isWorkerListKnown = true
        repeat(WORKERS) { number ->
            engine.addRecordedWorker(worker("w$number", CORES_PER_WORKER * 1_000), now = 0)
            running["w$number"] = LinkedHashMap()
            ended["w$number"] = ArrayList()
            list("w$number")
        }
    }

    private fun accountConfiguration(): JobsConfiguration {
        val teams =
            List(ACCOUNTS) { account ->
                val weight = maxOf(SMALLEST_WEIGHT, WEIGHT_OVER_MEAN_RATE * ratePerSecond(account))
                TeamConfiguration("account-$account", emptySet(), weight, Amount())
            }
        return configuration().copy(teams = teams.associateBy { it.name })
    }

    private fun arrive() {
        if (now >= LAST_ARRIVAL_MILLIS) return
        val rateMultiple = if (now % BURST_PERIOD_MILLIS < BURST_MILLIS) BURST_MULTIPLE else BETWEEN_BURSTS_MULTIPLE
        repeat(ACCOUNTS) { account ->
            if (arrivalRandom.nextDouble() < rateMultiple * ratePerSecond(account) * TICK_MILLIS / 1_000) {
                accept(account, arrivalRandom)
            }
        }
        if (now !in FLOOD_START_MILLIS until FLOOD_END_MILLIS) return
        if (hopelessShare > 0 && floodRandom.nextDouble() < hopelessShare * JOBS_PER_SECOND * TICK_MILLIS / 1_000) {
            accept(floodRandom.nextInt(ACCOUNTS), floodRandom, isHopeless = true)
        }
        if (flooding == null) return
        val more = (FLOOD_MULTIPLE - 1) * ratePerSecond(flooding) * TICK_MILLIS / 1_000
        repeat(more.toInt() + if (floodRandom.nextDouble() < more % 1) 1 else 0) { accept(flooding, floodRandom) }
    }

    private fun accept(
        account: Int,
        random: Random,
        isHopeless: Boolean = false,
    ) {
        val steps = if (random.nextInt(5) < 3) 2 else 1
        val specification =
            JobSpecification(
                "text",
                List(steps) {
                    step(8, TASK_CPU_MILLIS, dependsOn = (0 until it).toList()).copy(estimatedMillis = RUN_MILLIS)
                },
            )
        val id = "%08d".format(sent.size)
        sent[id] = Sent(account, now, steps * RUN_MILLIS, isHopeless)
        engine.accept(id, JobRecord(QUEUE, "account-$account", UNIX_MILLIS + now, specification), now)
    }

    private fun deliverEnds() {
        val touched = HashSet<String>()
        while (scheduledEnds.isNotEmpty() && scheduledEnds.peek().atMillis <= now) {
            val ending = scheduledEnds.poll()
            running.getValue(ending.workerId).remove(ending.taskId)
            ended.getValue(ending.workerId) += ListedEnd(++endCount, ending.taskId, ending.runId, ending.kind, "")
            touched += ending.workerId
        }
        val relistsAll = now % RELIST_MILLIS == 0L
        (if (relistsAll) running.keys else touched).forEach(::list)
    }

    private fun list(workerId: String) {
        engine.renewal(workerId, waitMillis = 0, isProven = true, now)?.let { renewal ->
            ended.getValue(workerId).removeIf { it.number <= renewal.acknowledged }
        }
        val listing =
            listing(running.getValue(workerId).values.toList(), ended.getValue(workerId).toList(), clockMillis = now)
        engine.handleListing(workerId, listing, sentAtMillis = now, now = now)
    }

    private fun decide() {
        val actions = if (now % FULL_PASS_MILLIS == 0L) engine.decide(now, now) else engine.react(now)
        actions.filterIsInstance<EngineAction.Start>().forEach { start ->
            val order = start.order
            running.getValue(start.address.workerId)[order.taskId] = ListedRun(order.taskId, order.runId, "", 0, 0)
            val job = sent.getValue(order.taskId.jobId)
            job.startedAtMillis = job.startedAtMillis ?: now
            val millis = (RUN_MILLIS * (0.8 + 0.4 * runTimeRandom.nextDouble())).toLong()
            val kind = if (job.isHopeless || failsOn(start.address.workerId)) EndKind.FAILED else EndKind.DONE
            if (job.isHopeless) hopelessCoreMillis += TASK_CPU_MILLIS * millis / 1_000
            scheduledEnds += ScheduledEnd(now + millis, start.address.workerId, order.taskId, order.runId, kind)
            engine.handleStartOutcome(start.address.workerId, order, OrderOutcome.Done(now), now)
        }
        engine.state
            .takeChanges(Int.MAX_VALUE)
            .filter { it.state.isFinal }
            .forEach { sent.getValue(it.jobId).doneAtMillis = now }
        engine.markEndsStored(engine.acknowledgeableEnds())
    }

    private fun failsOn(workerId: String) =
        now in FLOOD_START_MILLIS until FLOOD_END_MILLIS &&
            workerId.removePrefix("w").toInt() < failingWorkers &&
            failureRandom.nextDouble() < FAILING_SHARE

    companion object {
        const val ACCOUNTS = 20

        /** Returns the mean number of jobs per second that [account] sends. */
        fun ratePerSecond(account: Int): Double {
            val all = (1..ACCOUNTS).sumOf { it.toDouble().pow(-ZIPF_EXPONENT) }
            return JOBS_PER_SECOND * (account + 1.0).pow(-ZIPF_EXPONENT) / all
        }

        private const val ZIPF_EXPONENT = 1.2
        private const val WORKERS = 44
        private const val CORES_PER_WORKER = 16L

        // With 1.6 steps of 8 tasks of 1.5 cores and 1 s: 0.3 of the pool on average, 1.5 times the pool in a burst.
        private const val JOBS_PER_SECOND = 11.0
        private const val RUN_MILLIS = 1_000L
        private const val TASK_CPU_MILLIS = 1_500L
        private const val WEIGHT_OVER_MEAN_RATE = 1.9
        private const val SMALLEST_WEIGHT = 1.0
        private const val BURST_PERIOD_MILLIS = 10_000L
        private const val BURST_MILLIS = 2_000L
        private const val BURST_MULTIPLE = 5.0
        private const val BETWEEN_BURSTS_MULTIPLE = 0.05
        private const val FAILING_SHARE = 0.5
        private const val FLOOD_MULTIPLE = 7.0
        private const val FLOOD_START_MILLIS = 8_000L
        private const val FLOOD_END_MILLIS = 14_500L
        private const val LAST_ARRIVAL_MILLIS = 24_000L
        private const val END_MILLIS = 60_000L
        private const val TICK_MILLIS = 10L
        private const val FULL_PASS_MILLIS = 50L
        private const val RELIST_MILLIS = 500L
        private const val UNIX_MILLIS = 1_000_000_000_000L
    }
}
