package org.verbenagauge.standin

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import org.verbenagauge.entry.state.store.InstancePhase
import org.verbenagauge.entry.state.store.ListedInstance

private const val INSTANCES_PER_RACK = 4

@OptIn(ExperimentalCli::class)
internal class PlatformCommand : Subcommand("platform", "Run the stand-in for the platform.") {
    private val port by option(ArgType.Int, "port", description = "TCP port").default(0)
    private val endpointPort by option(
        ArgType.Int,
        "endpoint-port",
        description = "Port of the first endpoint",
    ).default(0)
    private val endpoints by option(ArgType.Int, "endpoints", description = "Number of endpoints listed").default(0)

    override fun execute() {
        val platform = PlatformStandIn()
        repeat(endpoints) { platform.put(demoInstance(it, endpointPort + it)) }
        platform.server("127.0.0.1", port).start(wait = true)
    }
}

/** Returns the instance [index] of the demo, with its endpoint on [port]. */
internal fun demoInstance(
    index: Int,
    port: Int,
): ListedInstance =
    ListedInstance(
        id = "worker-$index",
        host = "127.0.0.1",
        port = port,
        zoneId = "zone-${index / INSTANCES_PER_RACK}",
        rackId = "rack-${index / INSTANCES_PER_RACK}",
        regionId = "region-0",
        phase = InstancePhase.LIVE,
    )
