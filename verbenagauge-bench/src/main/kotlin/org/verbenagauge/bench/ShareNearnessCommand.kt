package org.verbenagauge.bench

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import org.verbenagauge.entry.admission.JobRequest
import org.verbenagauge.entry.state.document.Queue
import org.verbenagauge.entry.state.document.Team
import kotlin.math.abs
import kotlin.random.Random

/**
 * A backlogged team.
 *
 * @property meanRunMillis mean run time of its requests.
 */
private data class BackloggedTeam(
    val team: Team,
    val meanRunMillis: Long,
)

@OptIn(ExperimentalCli::class)
internal class ShareNearnessCommand :
    Subcommand("share-nearness", "Virtual time: distance of each team's slot time from its share in 10 s windows.") {
    private val seed by option(ArgType.Int, "seed", description = "Seed of run times").default(1)
    private val entries by option(ArgType.Int, "entries", description = "Entries with a fixed split").default(8)

    override fun execute() {
        report("verbenagauge, 1 entry", simulate(listOf(dispatcherPolicy(WORKERS, SLOTS))))
        val split = List(entries) { dispatcherPolicy(WORKERS, SLOTS, it, entries) }
        report("verbenagauge, $entries entries", simulate(split))
        report("FIFO", simulate(listOf(fifoPolicy(WORKERS * SLOTS))))
    }

    private fun simulate(policies: List<ServicePolicy>): List<SimulatedRequest> {
        val random = Random(seed)
        val all = ArrayList<SimulatedRequest>()
        // Ids are dealt so that each entry keeps the same backlog of each team.
        val simulation = PoolSimulation(policies) { done -> arrive(next(random, done, nowMillis, policies.size, all)) }
        val perEntry = BACKLOG / policies.size
        for (entry in policies.indices) {
            repeat(perEntry) {
                for (team in backlogged) {
                    simulation.arrive(request(random, team, 0, idFor(entry, policies.size), all))
                }
            }
        }
        simulation.run(END_MILLIS)
        return all
    }

    private fun next(
        random: Random,
        done: SimulatedRequest,
        nowMillis: Long,
        entries: Int,
        all: MutableList<SimulatedRequest>,
    ): SimulatedRequest {
        val team = backlogged.first { it.team.id == done.request.team.id }
        return request(random, team, nowMillis, idFor((done.request.id % entries).toInt(), entries), all)
    }

    private fun idFor(
        entry: Int,
        entries: Int,
    ) = sequence++ * entries + entry

    private fun request(
        random: Random,
        team: BackloggedTeam,
        atMillis: Long,
        id: Long,
        all: MutableList<SimulatedRequest>,
    ): SimulatedRequest {
        val runMillis = random.nextLong(team.meanRunMillis / 2, team.meanRunMillis * 3 / 2)
        val request = JobRequest(id, team.team, queue, startByMillis = Long.MAX_VALUE / 2)
        return SimulatedRequest(request, atMillis, runMillis).also { all += it }
    }

    private fun report(
        name: String,
        requests: List<SimulatedRequest>,
    ) {
        val weights = backlogged.sumOf { it.team.shareWeight }
        val worstByTeam =
            backlogged.associate { team ->
                val share = team.team.shareWeight.toDouble() / weights
                team.team.id to windows().maxOf { abs(partIn(it, team.team.id, requests) / share - 1) }
            }
        val teams = worstByTeam.entries.joinToString { (id, worst) -> "%s %.1f%%".format(id, worst * PERCENT) }
        println("%-24s worst distance from share %.1f%% (%s)".format(name, worstByTeam.values.max() * PERCENT, teams))
    }

    private fun windows() = WARM_UP_MILLIS..(END_MILLIS - WINDOW_MILLIS) step STEP_MILLIS

    private fun partIn(
        fromMillis: Long,
        teamId: String,
        requests: List<SimulatedRequest>,
    ): Double {
        val used = usedByTeam(fromMillis, requests)
        return used.getValue(teamId).toDouble() / used.values.sum()
    }

    private val usedByWindow = HashMap<Pair<Long, Int>, Map<String, Long>>()

    private fun usedByTeam(
        fromMillis: Long,
        requests: List<SimulatedRequest>,
    ): Map<String, Long> =
        usedByWindow.getOrPut(fromMillis to System.identityHashCode(requests)) {
            val used = backlogged.associateTo(HashMap()) { it.team.id to 0L }
            for (request in requests) {
                val startedAtMillis = request.startedAtMillis ?: continue
                val toMillis = minOf(startedAtMillis + request.runMillis, fromMillis + WINDOW_MILLIS)
                val overlap = toMillis - maxOf(startedAtMillis, fromMillis)
                if (overlap > 0) used.merge(request.request.team.id, overlap, Long::plus)
            }
            used
        }

    private var sequence = 0L

    private companion object {
        const val WORKERS = 8
        const val SLOTS = 8
        const val BACKLOG = 320
        const val END_MILLIS = 120_000L
        const val WARM_UP_MILLIS = 20_000L
        const val WINDOW_MILLIS = 10_000L
        const val STEP_MILLIS = 500L
        const val PERCENT = 100
        val queue = Queue("sales", "pool", maxQueued = 100_000)
        val backlogged =
            listOf(8 to 200L, 4 to 50L, 2 to 800L, 1 to 400L, 1 to 100L, 1 to 200L).mapIndexed { index, (weight, run) ->
                BackloggedTeam(Team("team-$index", shareWeight = weight, maxRunning = WORKERS * SLOTS), run)
            }
    }
}
