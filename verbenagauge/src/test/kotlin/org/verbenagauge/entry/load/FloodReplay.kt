package org.verbenagauge.entry.load

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlin.random.Random

/**
 * Load on one pool. Rates are in jobs per second for each account.
 *
 * @property factor multiple of its rate that the large account submits from [fromMillis] until [untilMillis].
 * @property smallFactor multiple of their rate that the small accounts submit from [fromMillis] until [untilMillis].
 * @property weight share of a small account, in jobs per second; that of the large one is its usual rate.
 */
internal data class Flood(
    val smallAccounts: Int,
    val smallRate: Double,
    val largeRate: Double,
    val factor: Double,
    val fromMillis: Long = 10_000,
    val untilMillis: Long = 14_000,
    val weight: Double = 2 * smallRate,
    val smallFactor: Double = 1.0,
)

internal class FloodResult(
    val usefulJobs: Int,
    val usefulOfAccepted: Double,
    val usefulOfSmall: Double,
    val lateOfSmall: Double,
    val refusedOfSmall: Double,
)

/** Encodes [pressure] as in the row of the owner. */
@OptIn(ExperimentalSerializationApi::class)
internal fun encode(pressure: LoadPressure): ByteArray = Cbor.encodeToByteArray(LoadPressure.serializer(), pressure)

/**
 * Simulates a [Flood] in virtual time on a pool of 40 slots with tasks of one second. Jobs run in the order of the
 * engine (on time for their objective, then late, then useless), those within shares first. The owner updates the load
 * figures every half second, and the entries see them 300 or 900 ms later. Refused jobs are not retried.
 */
internal class FloodReplay(
    seed: Int,
    private val rule: AdmissionRule,
) {
    private class Job(
        val id: String,
        val team: String,
        val atMillis: Long,
        val isSurplus: Boolean,
    ) {
        var doneAtMillis: Long? = null
        val tookMillis: Long get() = doneAtMillis?.let { it - atMillis } ?: Long.MAX_VALUE
        val isUseful: Boolean get() = tookMillis <= 3 * OBJECTIVE_MILLIS
    }

    private val random = Random(seed)
    private val backlog = BacklogTracker()
    private val rates = WeightRateMeter()
    private val fractions = WithinShareFractions(rates)
    private val estimate = PressureEstimator(servesSurplusLast = true)
    private val views = ArrayList<Pair<Long, LoadPressure>>()
    private val waiting = ArrayList<Job>()
    private val running = ArrayList<Pair<Job, Long>>()
    private val accepted = ArrayList<Job>()
    private val submittedByTeam = HashMap<String, Int>()

    fun run(flood: Flood): FloodResult {
        for (now in 0L until END_MILLIS step TICK_MILLIS) {
            finish(now)
            arrive(flood, now)
            start(now)
            if (now % UPDATE_MILLIS == 0L) updateView(now)
        }
        val submittedBySmall =
            submittedByTeam
                .filterKeys { it != LARGE }
                .values
                .sum()
                .toDouble()
        val small = accepted.filter { it.team != LARGE }
        return FloodResult(
            usefulJobs = accepted.count { it.isUseful },
            usefulOfAccepted = accepted.count { it.isUseful }.toDouble() / accepted.size,
            usefulOfSmall = small.count { it.isUseful } / submittedBySmall,
            lateOfSmall = small.count { it.tookMillis > OBJECTIVE_MILLIS } / submittedBySmall,
            refusedOfSmall = 1 - small.size / submittedBySmall,
        )
    }

    private fun arrive(
        flood: Flood,
        now: Long,
    ) {
        if (now >= LAST_ARRIVAL_MILLIS) return
        val isOn = now in flood.fromMillis until flood.untilMillis
        repeat(flood.smallAccounts) {
            submit("small-$it", flood.weight, flood.smallRate * (if (isOn) flood.smallFactor else 1.0), now)
        }
        if (flood.largeRate > 0) {
            submit(LARGE, flood.largeRate, flood.largeRate * (if (isOn) flood.factor else 1.0), now)
        }
    }

    private fun submit(
        team: String,
        weight: Double,
        perSecond: Double,
        now: Long,
    ) {
        if (random.nextDouble() >= perSecond * TICK_MILLIS / 1_000) return
        val number = submittedByTeam.merge(team, 1, Int::plus)
        val id = "$team-$number"
        val ageMillis = if (random.nextBoolean()) 300L else 900L
        val seen = views.lastOrNull { it.first <= now - ageMillis }
        val view = seen?.let { PressureView(it.second, now - it.first) }
        if (rule.decide(
                AdmissionRequest(id, QUEUE, team, TASK_MILLIS, OBJECTIVE_MILLIS),
                view,
            ) !is AdmissionDecision.Accept
        ) {
            return
        }
        val job = Job(id, team, now, rates.isSurplus(team, weight, now))
        accepted += job
        waiting += job
        val steps = listOf(StepWork(1, CPU_MILLIS, TASK_MILLIS))
        backlog.add(id, JobWork(QUEUE, job.isSurplus, now + 3 * OBJECTIVE_MILLIS, steps))
    }

    private fun start(now: Long) {
        if (running.size >= SLOTS || waiting.isEmpty()) return
        waiting.sortWith(compareBy({ it.priority(now) }, { it.isSurplus }, { it.atMillis }))
        while (running.size < SLOTS && waiting.isNotEmpty()) running += waiting.removeFirst() to now + TASK_MILLIS
    }

    private fun Job.priority(now: Long): Int {
        val tookMillis = now + TASK_MILLIS - atMillis
        return if (tookMillis <= OBJECTIVE_MILLIS) {
            0
        } else if (tookMillis <= 3 * OBJECTIVE_MILLIS) {
            1
        } else {
            2
        }
    }

    private fun finish(now: Long) {
        running.filter { it.second <= now }.forEach { (job, _) ->
            job.doneAtMillis = now
            backlog.taskDone(job.id, 0)
            backlog.remove(job.id)
        }
        running.removeIf { it.second <= now }
    }

    private fun updateView(now: Long) {
        val usage = PoolUsage(POOL, SLOTS * CPU_MILLIS, running.size * CPU_MILLIS, 0, isFull = waiting.isNotEmpty())
        val byQueue = estimate.estimate(now, listOf(usage), listOf(PoolQueue(QUEUE, POOL, 0)), backlog.read(now))
        views += now to LoadPressure(byQueue, fractions.update(now))
    }

    private companion object {
        const val QUEUE = "q"
        const val POOL = "pool"
        const val LARGE = "large"
        const val SLOTS = 40
        const val CPU_MILLIS = 1_000L
        const val TASK_MILLIS = 1_000L
        const val OBJECTIVE_MILLIS = 3_000L
        const val TICK_MILLIS = 10L
        const val UPDATE_MILLIS = 500L
        const val LAST_ARRIVAL_MILLIS = 60_000L
        const val END_MILLIS = 90_000L
    }
}
