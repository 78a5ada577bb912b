package org.verbenagauge.cli

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.required
import kotlinx.coroutines.runBlocking
import org.verbenagauge.entry.entry
import org.verbenagauge.entry.settings.EntrySettings
import org.verbenagauge.entry.settings.SettingsOutcome
import org.verbenagauge.entry.settings.readSettings
import org.verbenagauge.entry.stopOnTermination
import java.nio.file.Path
import kotlin.system.exitProcess

@OptIn(ExperimentalCli::class)
internal class ServeCommand :
    Subcommand("serve", "Run one entry instance. Example: verbenagauge serve --settings entry-1.toml") {
    private val settingsFile by option(ArgType.String, "settings", description = "TOML settings file").required()

    override fun execute() {
        when (val outcome = readSettings(Path.of(settingsFile))) {
            is SettingsOutcome.Invalid -> {
                System.err.println(outcome.problem)
                exitProcess(ExitCode.SETTINGS.number)
            }

            is SettingsOutcome.Valid -> serve(outcome.settings)
        }
    }

    private fun serve(settings: EntrySettings) {
        val entry = entry(settings)
        val longestMillis = settings.limits.stopTimeoutMillis + settings.limits.stopLingerMillis + CLOSING_MILLIS
        stopOnTermination(entry, longestMillis)
        runBlocking { entry.start() }
        Thread.currentThread().join()
    }

    private companion object {
        const val CLOSING_MILLIS = 10_000L
    }
}
