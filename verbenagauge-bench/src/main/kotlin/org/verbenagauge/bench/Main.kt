package org.verbenagauge.bench

import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import org.verbenagauge.bench.engine.EngineScaleCommand
import org.verbenagauge.bench.rights.RightsControlCommand
import org.verbenagauge.bench.rights.RightsSharesCommand
import org.verbenagauge.bench.rights.RightsStrandedCommand

/** Entry point of the measurements; one subcommand each. */
@OptIn(ExperimentalCli::class)
public fun main(args: Array<String>) {
    val parser = ArgParser("verbenagauge-bench")
    parser.subcommands(*measurements())
    parser.parse(if (args.isEmpty()) arrayOf("--help") else args)
}

// One line each, so that measurements can be added side by side.
@OptIn(ExperimentalCli::class)
internal fun measurements(): Array<Subcommand> =
    arrayOf(
        PathLatencyCommand(),
        PathThroughputCommand(),
        ControlStateCommand(),
        UrgentBurstCommand(),
        ShareNearnessCommand(),
        RightsControlCommand(),
        RightsSharesCommand(),
        RightsStrandedCommand(),
        AccountCostCommand(),
        AccountVerifyCommand(),
        PeersCommand(),
        FleetRolloutCommand(),
        FleetStepCommand(),
        EngineScaleCommand(),
    )
