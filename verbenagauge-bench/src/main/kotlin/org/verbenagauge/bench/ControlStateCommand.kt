package org.verbenagauge.bench

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.serialization.json.Json
import org.verbenagauge.entry.model.sha256Hex
import org.verbenagauge.entry.state.control.ApplyOutcome
import org.verbenagauge.entry.state.control.ConfigurationEdit
import org.verbenagauge.entry.state.control.ControlState
import org.verbenagauge.entry.state.control.Edit
import org.verbenagauge.entry.state.control.FleetEdit
import org.verbenagauge.entry.state.document.AvailabilityBudget
import org.verbenagauge.entry.state.document.Configuration
import org.verbenagauge.entry.state.document.Pool
import org.verbenagauge.entry.state.document.Queue
import org.verbenagauge.entry.state.document.Team
import org.verbenagauge.entry.state.document.TeamKey

private const val NANOS_PER_MICRO = 1_000L
private const val GC_ROUNDS = 3
private const val GC_PAUSE_MILLIS = 100L

/** Measures the size of the shared state and the cost of a change, as workers, pools and teams grow. */
@OptIn(ExperimentalCli::class)
internal class ControlStateCommand :
    Subcommand("control-state", "Bytes of the shared state and time of one change at a given size.") {
    private val workers by option(ArgType.Int, "workers", description = "Number of workers").default(1_200)
    private val pools by option(ArgType.Int, "pools", description = "Number of pools").default(36)
    private val teams by option(ArgType.Int, "teams", description = "Number of teams").default(120)
    private val changes by option(ArgType.Int, "changes", description = "Changes that are timed").default(5_000)

    override fun execute() {
        val heapBefore = usedHeapBytes()
        val state = assign(ControlState(), workers, pools, teams)
        val heapBytes = usedHeapBytes() - heapBefore
        val snapshotBytes = Json.encodeToString(ControlState.serializer(), state).length
        timeChanges(state)
        val micros = timeChanges(state)
        println(
            "workers=$workers pools=$pools teams=$teams heap=$heapBytes B snapshot=$snapshotBytes B " +
                "change=$micros us over $changes changes",
        )
    }

    // Every change puts one team in force again with another limit.
    private fun timeChanges(start: ControlState): Long {
        var state = start
        val startNanos = System.nanoTime()
        repeat(changes) { index ->
            state = state.after(ConfigurationEdit.PutTeam(team(index % teams, maxRunning = index)))
        }
        return (System.nanoTime() - startNanos) / NANOS_PER_MICRO / changes
    }

    private fun usedHeapBytes(): Long {
        repeat(GC_ROUNDS) {
            System.gc()
            Thread.sleep(GC_PAUSE_MILLIS)
        }
        val runtime = Runtime.getRuntime()
        return runtime.totalMemory() - runtime.freeMemory()
    }
}

private fun assign(
    start: ControlState,
    workers: Int,
    pools: Int,
    teams: Int,
): ControlState {
    val configured = start.after(ConfigurationEdit.Replace(configuration(pools, teams)))
    return (0 until workers).fold(configured) { state, index ->
        state.after(FleetEdit.AssignInstance("worker-$index", "pool-${index % pools}"))
    }
}

private fun configuration(
    pools: Int,
    teams: Int,
) = Configuration(
    pools = List(pools) { Pool("pool-$it", "service-$it", AvailabilityBudget(maxAway = 4)) },
    teams = List(teams) { team(it, maxRunning = 100) },
    queues = List(pools * 2) { Queue("queue-$it", "pool-${it / 2}") },
)

private fun team(
    index: Int,
    maxRunning: Int,
) = Team("team-$index", List(2) { TeamKey("key-$it", sha256Hex("$index/$it")) }, shareWeight = 1, maxRunning)

private fun ControlState.after(edit: Edit): ControlState =
    when (val outcome = apply(edit, lastHash)) {
        is ApplyOutcome.Applied -> outcome.state
        is ApplyOutcome.Rejected -> error("change rejected: ${outcome.problems}")
    }
