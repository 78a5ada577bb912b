package org.verbenagauge.standin

import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli
import org.verbenagauge.standin.jobs.JobsCommand
import org.verbenagauge.standin.soak.SoakCommand

/** Entry point of the stand-ins. */
@OptIn(ExperimentalCli::class)
public fun main(args: Array<String>) {
    val parser = ArgParser("verbenagauge-standin")
    parser.subcommands(
        PlatformCommand(),
        EndpointsCommand(),
        SeedCommand(),
        CallersCommand(),
        JobsCommand(),
        SoakCommand(),
    )
    parser.parse(if (args.isEmpty()) arrayOf("--help") else args)
}
