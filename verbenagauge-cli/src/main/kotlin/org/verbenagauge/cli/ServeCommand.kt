package org.verbenagauge.cli

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.required
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import org.apache.logging.log4j.LogManager
import org.verbenagauge.entry.Entry
import org.verbenagauge.entry.entry
import org.verbenagauge.entry.settings.EntrySettings
import org.verbenagauge.entry.settings.SettingsOutcome
import org.verbenagauge.entry.settings.readSettings
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
        Runtime.getRuntime().addShutdownHook(Thread { stop(entry, longestMillis) })
        runBlocking { entry.start() }
        Thread.currentThread().join()
    }

    // A process that ends by a signal would not exit with 0 by itself.
    private fun stop(
        entry: Entry,
        longestMillis: Long,
    ) {
        val stopped = runBlocking { withTimeoutOrNull(longestMillis) { entry.stop() } }
        LogManager.shutdown()
        Runtime.getRuntime().halt(if (stopped == null) ExitCode.STOP_TIMEOUT.number else ExitCode.OK.number)
    }

    private companion object {
        const val CLOSING_MILLIS = 10_000L
    }
}
