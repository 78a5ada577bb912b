package org.verbenagauge.cli

import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlin.system.exitProcess

private val helpFlags = setOf("--help", "-h")

@OptIn(ExperimentalCli::class)
private val commandByName: Map<String, () -> Subcommand> =
    linkedMapOf(
        "serve" to { ServeCommand() },
        "run" to { RunCommand() },
        "settings-check" to { SettingsCheckCommand() },
        "warm-up" to { WarmUpCommand() },
        "members" to { MembersCommand() },
        "status" to { StatusCommand() },
        "audit" to { AuditCommand() },
        "config" to { configCommands() },
        "team" to { teamCommands() },
        "key" to { keyCommands() },
        "pool" to { poolCommands() },
        "wave" to { waveCommands() },
        "account" to { accountCommands() },
        "job" to { jobCommands() },
        "queue" to { queueCommands() },
    )

/** Entry point of the command line. */
@OptIn(ExperimentalCli::class)
public fun main(args: Array<String>) {
    // Each entry is a process of its own, which pays for the parser and for every command that is made.
    if (args.contentEquals(arrayOf("run"))) runEntry(settingsFile = null)
    val named = commandByName[args.firstOrNull()]?.invoke()
    // The parser of a group would answer with the help of the group.
    if (args.size > 2 && args.last() in helpFlags) (named as? CommandGroup)?.printHelpOf(args[1])
    val commands = named?.let(::listOf) ?: commandByName.values.map { it() }
    val parser = ArgParser("verbenagauge")
    parser.subcommands(*commands.toTypedArray())
    parser.parse(if (args.isEmpty()) arrayOf("--help") else args)
    exitProcess(ExitCode.OK.number)
}
