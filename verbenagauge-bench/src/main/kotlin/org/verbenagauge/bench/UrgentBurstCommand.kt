package org.verbenagauge.bench

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import org.verbenagauge.entry.Reason
import org.verbenagauge.entry.admission.JobRequest
import org.verbenagauge.entry.state.document.Queue
import org.verbenagauge.entry.state.document.QueueClass
import org.verbenagauge.entry.state.document.Team
import kotlin.math.ceil
import kotlin.math.ln
import kotlin.random.Random

private const val WORKERS = 8
private const val SLOTS = 8
private const val MEAN_RUN_MILLIS = 200.0
private const val END_MILLIS = 60_000L
private const val BURST_FROM_MILLIS = 20_000L
private const val BURST_TO_MILLIS = 25_000L
private const val BURST_FACTOR = 5.0
private const val TEAMS = 6
private const val BACKGROUND_WAIT_MILLIS = 20_000L
private const val MILLIS_PER_SECOND = 1_000.0

/**
 * Load of the pool, as parts of what it can serve.
 *
 * @property urgent mean of the urgent queue.
 * @property ordinary mean of the ordinary queue.
 * @property deferrable mean of the deferrable queue.
 */
private data class BurstLoad(
    val name: String,
    val urgent: Double,
    val ordinary: Double,
    val deferrable: Double,
)

@OptIn(ExperimentalCli::class)
internal class UrgentBurstCommand :
    Subcommand("urgent-burst", "Virtual time: wait of urgent work while its queue asks five times its mean.") {
    private val seed by option(ArgType.Int, "seed", description = "Seed of arrivals and run times").default(1)

    override fun execute() {
        for (load in loads) {
            report("${load.name}, verbenagauge", simulate(load, dispatcherPolicy(WORKERS, SLOTS), URGENT_WAIT_MILLIS))
            report("${load.name}, FIFO", simulate(load, fifoPolicy(WORKERS * SLOTS), URGENT_WAIT_MILLIS))
            report("${load.name}, FIFO, long wait", simulate(load, fifoPolicy(WORKERS * SLOTS), BACKGROUND_WAIT_MILLIS))
        }
    }

    private fun simulate(
        load: BurstLoad,
        policy: ServicePolicy,
        urgentWaitMillis: Long,
    ): List<SimulatedRequest> {
        val random = Random(seed)
        val simulation = PoolSimulation(listOf(policy))
        val requests =
            arrivals(random, load.urgent, QueueClass.URGENT, urgentWaitMillis) +
                arrivals(random, load.ordinary, QueueClass.ORDINARY, BACKGROUND_WAIT_MILLIS) +
                arrivals(random, load.deferrable, QueueClass.DEFERRABLE, BACKGROUND_WAIT_MILLIS)
        requests.forEach(simulation::arrive)
        simulation.run(END_MILLIS + 2 * BACKGROUND_WAIT_MILLIS)
        return requests
    }

    private fun arrivals(
        random: Random,
        part: Double,
        queueClass: QueueClass,
        maxWaitMillis: Long,
    ): List<SimulatedRequest> {
        val queue = Queue(queueClass.name, "pool", queueClass, maxQueued = MAX_QUEUED, maxWaitMillis = maxWaitMillis)
        val meanPerMilli = part * WORKERS * SLOTS / MEAN_RUN_MILLIS
        val requests = ArrayList<SimulatedRequest>()
        var atMillis = 0.0
        while (true) {
            val inBurst =
                queueClass == QueueClass.URGENT && atMillis.toLong() in BURST_FROM_MILLIS until BURST_TO_MILLIS
            atMillis += exponential(random) / (meanPerMilli * if (inBurst) BURST_FACTOR else 1.0)
            if (atMillis >= END_MILLIS) return requests
            requests += request(random, queue, atMillis.toLong())
        }
    }

    private fun request(
        random: Random,
        queue: Queue,
        atMillis: Long,
    ): SimulatedRequest {
        val team = teams.random(random)
        val request = JobRequest(nextId++, team, queue, startByMillis = atMillis + queue.maxWaitMillis)
        return SimulatedRequest(request, atMillis, ceil(MEAN_RUN_MILLIS * exponential(random)).toLong())
    }

    private fun exponential(random: Random) = -ln(1 - random.nextDouble())

    private fun report(
        name: String,
        requests: List<SimulatedRequest>,
    ) {
        val urgent = requests.filter { it.request.queue.queueClass == QueueClass.URGENT }
        val waits = urgent.mapNotNull { r -> r.startedAtMillis?.let { it - r.arrivedAtMillis } }.sorted()
        val refusedAtOnce = urgent.count { it.reason == Reason.DEADLINE_UNREACHABLE || it.reason == Reason.QUEUE_FULL }
        val expired = urgent.count { it.reason == Reason.DEADLINE_EXCEEDED }
        val othersStarted = requests.count { it !in urgent && it.startedAtMillis != null }
        println(
            "%-52s urgent %d: started %d, refused at once %d, expired %d; wait p50 %d p99 %d p99.9 %d ms; others started %d"
                .format(
                    name,
                    urgent.size,
                    waits.size,
                    refusedAtOnce,
                    expired,
                    percentile(waits, 0.5),
                    percentile(waits, 0.99),
                    percentile(waits, 0.999),
                    othersStarted,
                ),
        )
    }

    private fun percentile(
        sorted: List<Long>,
        part: Double,
    ): Long = if (sorted.isEmpty()) 0 else sorted[minOf(sorted.size - 1, (sorted.size * part).toInt())]

    private var nextId = 0L

    private companion object {
        const val URGENT_WAIT_MILLIS = 1_300L
        const val MAX_QUEUED = 100_000
        val teams = List(TEAMS) { Team("team-$it", shareWeight = it + 1, maxRunning = WORKERS * SLOTS) }
        val loads =
            listOf(
                BurstLoad("urgent alone fits", urgent = 0.15, ordinary = 0.35, deferrable = 0.25),
                BurstLoad("urgent alone exceeds the pool", urgent = 0.3, ordinary = 0.3, deferrable = 0.2),
            )
    }
}
