package org.verbenagauge.standin

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.required

@OptIn(ExperimentalCli::class)
internal class EndpointsCommand : Subcommand("endpoints", "Run stand-ins for endpoints on consecutive ports.") {
    private val port by option(ArgType.Int, "port", description = "Port of the first endpoint").required()
    private val count by option(ArgType.Int, "count", description = "Number of endpoints").default(8)
    private val runMillis by option(ArgType.Int, "run-millis", description = "Run time of a job").default(20)

    override fun execute() {
        repeat(count) { index ->
            EndpointStandIn("worker-$index", runMillis.toLong()).server("127.0.0.1", port + index).start(wait = false)
        }
        Thread.currentThread().join()
    }
}
