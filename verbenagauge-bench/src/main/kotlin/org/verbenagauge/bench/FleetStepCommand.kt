package org.verbenagauge.bench

import com.sun.management.ThreadMXBean
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import org.HdrHistogram.Histogram
import org.verbenagauge.entry.fleet.FleetExecutor
import org.verbenagauge.entry.settings.FleetSettings
import org.verbenagauge.standin.fleet.VirtualPlatform
import java.lang.management.ManagementFactory

private const val WARM_UP = 300
private const val DECISIONS = 1_000
private const val NANOS_PER_MICRO = 1_000.0

/** Measures time and allocated memory of one decision of the fleet manager at the planned size. */
@OptIn(ExperimentalCli::class)
internal class FleetStepCommand : Subcommand("fleet-step", "Measure one decision of the fleet manager.") {
    override fun execute() {
        val scenario = fleetScenarios.first { it.name == "planned" }
        val platform = VirtualPlatform(scenario.instances(), { Long.MAX_VALUE }, listLagMillis = 0)
        scenario.seed(platform)
        platform.advance(1)
        val executor = FleetExecutor(FleetSettings())
        executor.update(platform.state)
        executor.listed(checkNotNull(platform.list()), askedAtMillis = 1)
        repeat(WARM_UP) { executor.tick(1, 1, rank = 0) }
        measure("planning decision") { executor.tick(1, 1, rank = 0) }
        val idle = FleetExecutor(FleetSettings())
        repeat(WARM_UP) { idle.tick(1, 1, rank = 0) }
        measure("decision with nothing to plan") { idle.tick(1, 1, rank = 0) }
    }

    private fun measure(
        name: String,
        decide: () -> Unit,
    ) {
        val threads = ManagementFactory.getThreadMXBean() as ThreadMXBean
        val nanos = Histogram(3)
        val before = threads.currentThreadAllocatedBytes
        repeat(DECISIONS) {
            val start = System.nanoTime()
            decide()
            nanos.recordValue(System.nanoTime() - start)
        }
        val bytes = (threads.currentThreadAllocatedBytes - before) / DECISIONS
        val p50 = nanos.getValueAtPercentile(50.0) / NANOS_PER_MICRO
        val p99 = nanos.getValueAtPercentile(99.0) / NANOS_PER_MICRO
        println("$name at 1,200 instances: p50 %.0f us, p99 %.0f us, %d bytes allocated".format(p50, p99, bytes))
    }
}
