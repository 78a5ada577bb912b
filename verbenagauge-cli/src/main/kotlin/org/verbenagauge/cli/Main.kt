package org.verbenagauge.cli

import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli
import kotlin.system.exitProcess

private val helpFlags = setOf("--help", "-h")

/** Entry point of the command line. */
@OptIn(ExperimentalCli::class)
public fun main(args: Array<String>) {
    val groups =
        listOf(
            configCommands(),
            teamCommands(),
            keyCommands(),
            poolCommands(),
            waveCommands(),
            accountCommands(),
            jobCommands(),
            queueCommands(),
        )
    // The parser of a group would answer with the help of the group.
    if (args.size > 2 && args.last() in helpFlags) groups.firstOrNull { it.name == args[0] }?.printHelpOf(args[1])
    val parser = ArgParser("verbenagauge")
    val commands =
        listOf(
            ServeCommand(),
            RunCommand(),
            SettingsCheckCommand(),
            WarmUpCommand(),
            MembersCommand(),
            StatusCommand(),
            AuditCommand(),
        )
    parser.subcommands(*(commands + groups).toTypedArray())
    parser.parse(if (args.isEmpty()) arrayOf("--help") else args)
    exitProcess(ExitCode.OK.number)
}
