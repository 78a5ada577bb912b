package org.verbenagauge.bench

import org.verbenagauge.entry.fleet.FleetExecutor
import org.verbenagauge.entry.fleet.WavePlanner
import org.verbenagauge.entry.settings.FleetSettings
import org.verbenagauge.entry.state.control.ControlState
import org.verbenagauge.entry.state.control.FleetEdit
import org.verbenagauge.entry.state.control.StepPurpose
import org.verbenagauge.entry.state.store.InstancePhase
import org.verbenagauge.entry.state.store.ListedInstance
import org.verbenagauge.standin.fleet.FleetObserver
import org.verbenagauge.standin.fleet.VirtualEntry
import org.verbenagauge.standin.fleet.VirtualFleet
import org.verbenagauge.standin.fleet.VirtualInstance
import org.verbenagauge.standin.fleet.VirtualPlatform
import kotlin.random.Random

private const val STALE_MILLIS = 60_000L
private const val LIST_LAG_MILLIS = 5_000L
private const val SHORTEST_REBOOT_MILLIS = 240_000L
private const val LONGEST_REBOOT_MILLIS = 360_000L
private const val FAILED_MILLIS = 600_000L
private const val REPAIR_MILLIS = 3_600_000L
private const val SINGLE_FAILURES = 3
private const val MOST_MILLIS = 8L * 24 * 3_600_000
private const val MILLIS_PER_HOUR = 3_600_000.0

/**
 * Figures of one wave in virtual time.
 *
 * @property rolloutMillis time until every instance was maintained, or null when the wave did not end.
 * @property lowerBoundMillis work of the slowest pool divided by its budget.
 * @property moves instances that changed their pool.
 * @property awayHours instance-hours that steps held instances out of placement.
 * @property lentHours instance-hours that spare instances served elsewhere.
 * @property mostAway most instances out of placement at once.
 */
internal class RolloutFigures(
    val rolloutMillis: Long?,
    val lowerBoundMillis: Long,
    val moves: Int,
    val awayHours: Double,
    val lentHours: Double,
    val mostAway: Int,
)

/** One wave over [scenario] in virtual time. */
internal class FleetRollout(
    private val scenario: FleetScenario,
    planner: WavePlanner,
    private val withFailures: Boolean,
    seed: Int,
) : FleetObserver {
    private val random = Random(seed)
    private val instances = scenario.instances()
    private val platform = VirtualPlatform(instances, { rebootMillis() }, LIST_LAG_MILLIS)
    private val entry = VirtualEntry(FleetExecutor(FleetSettings(), planner))
    private val fleet = VirtualFleet(platform, listOf(entry), this, random, scenario.stepMillis, STALE_MILLIS)
    private var moves = 0
    private var awayMillis = 0L
    private var lentMillis = 0L
    private var mostAway = 0
    private var reboots = 0

    /** Runs the wave to its end. */
    fun run(): RolloutFigures {
        scenario.seed(platform)
        val halfMillis = lowerBoundMillis() / 2
        var failed = !withFailures
        while (!isFinished() && fleet.nowMillis < MOST_MILLIS) {
            fleet.step()
            if (!failed && fleet.nowMillis >= halfMillis) {
                failSome()
                failed = true
            }
            count()
        }
        return RolloutFigures(
            rolloutMillis = fleet.nowMillis.takeIf { isFinished() },
            lowerBoundMillis = lowerBoundMillis(),
            moves = moves,
            awayHours = awayMillis / MILLIS_PER_HOUR,
            lentHours = lentMillis / MILLIS_PER_HOUR,
            mostAway = mostAway,
        )
    }

    override fun stored(
        before: ControlState,
        edit: FleetEdit,
        listed: List<ListedInstance>,
    ) {
        if (edit is FleetEdit.Begin && edit.purpose !is StepPurpose.Maintenance) moves++
    }

    override fun rejected(
        before: ControlState,
        edit: FleetEdit,
    ) = error("the shared state refused $edit")

    override fun rebooting(
        instance: VirtualInstance,
        state: ControlState,
        nowMillis: Long,
    ) {
        reboots++
    }

    // With failures the tenth instance to reboot stays away until it is repaired.
    private fun rebootMillis(): Long =
        if (withFailures &&
            reboots == 10
        ) {
            REPAIR_MILLIS
        } else {
            random.nextLong(SHORTEST_REBOOT_MILLIS, LONGEST_REBOOT_MILLIS)
        }

    private fun failSome() {
        val rackId = instances.random(random).place.rackId
        val failing =
            instances.filter { it.place.rackId == rackId } + List(SINGLE_FAILURES) { instances.random(random) }
        failing
            .filter { it.phase == InstancePhase.LIVE }
            .forEach { it.goDown(InstancePhase.GONE, fleet.nowMillis + FAILED_MILLIS) }
    }

    private fun isFinished() =
        platform.state.fleet.waves["wave"]
            ?.finishedIds
            ?.size == instances.size

    private fun count() {
        val state = platform.state.fleet
        awayMillis += state.stepByInstance.size * scenario.stepMillis
        lentMillis += state.homePoolIdByLent.size * scenario.stepMillis
        mostAway = maxOf(mostAway, state.stepByInstance.size)
    }

    // A pool without a budget can do with one lent instance at the most.
    private fun lowerBoundMillis(): Long {
        val stepMillis = MAX_RUN_MILLIS + (SHORTEST_REBOOT_MILLIS + LONGEST_REBOOT_MILLIS) / 2
        return scenario.poolSizes.maxOf { it * stepMillis / maxOf(1, scenario.maxAway(it)) }
    }
}
