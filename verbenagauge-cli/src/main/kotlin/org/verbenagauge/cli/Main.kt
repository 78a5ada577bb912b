package org.verbenagauge.cli

import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli
import kotlin.system.exitProcess

/** Entry point of the command line. */
@OptIn(ExperimentalCli::class)
public fun main(args: Array<String>) {
    val parser = ArgParser("verbenagauge")
    parser.subcommands(
        ServeCommand(),
        configCommands(),
        teamCommands(),
        keyCommands(),
        poolCommands(),
        waveCommands(),
        StatusCommand(),
        accountCommands(),
        AuditCommand(),
        MembersCommand(),
    )
    parser.parse(if (args.isEmpty()) arrayOf("--help") else args)
    exitProcess(ExitCode.OK.number)
}
