package org.verbenagauge.cli

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import org.verbenagauge.platform.PlatformEntry
import org.verbenagauge.platform.PlatformSettingsOutcome
import org.verbenagauge.platform.readPlatformSettings
import java.nio.file.Path
import kotlin.system.exitProcess

/** Time kept back of the time to stop, so that the process ends by itself. */
private const val STOP_MARGIN_MILLIS = 800L

/** Variable that names the settings file when the option is left out. */
private const val SETTINGS_VARIABLE = "VERBENAGAUGE_NODE_FILE"

@OptIn(ExperimentalCli::class)
internal class RunCommand :
    Subcommand("run", "Run one entry on the platform. Example: verbenagauge run --settings entry-1.toml") {
    private val settingsFile by option(ArgType.String, "settings", description = "TOML settings file")

    override fun execute() = runEntry(settingsFile)
}

/** Runs one entry with [settingsFile], or with the file that the variable names, until the process ends. */
internal fun runEntry(settingsFile: String?) {
    val file = settingsFile ?: System.getenv(SETTINGS_VARIABLE)
    if (file == null) {
        System.err.println("no settings file: give --settings FILE or set $SETTINGS_VARIABLE")
        exitProcess(ExitCode.USAGE.number)
    }
    when (val outcome = readPlatformSettings(Path.of(file))) {
        is PlatformSettingsOutcome.Invalid -> {
            System.err.println(outcome.problem)
            exitProcess(ExitCode.SETTINGS.number)
        }

        is PlatformSettingsOutcome.Valid -> {
            val entry = PlatformEntry(outcome.settings, Path.of(file))
            Runtime.getRuntime().addShutdownHook(
                Thread {
                    val stopping = Thread(entry::stop, "stop").also { it.start() }
                    stopping.join(entry.stopMillis - STOP_MARGIN_MILLIS)
                    Runtime.getRuntime().halt(if (stopping.isAlive) ExitCode.STOP_TIMEOUT.number else 0)
                },
            )
            entry.start()
            Thread.currentThread().join()
        }
    }
}
