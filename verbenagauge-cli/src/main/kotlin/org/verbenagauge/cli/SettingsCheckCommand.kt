package org.verbenagauge.cli

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.required
import org.verbenagauge.platform.PlatformSettingsOutcome
import org.verbenagauge.platform.readPlatformSettings
import java.nio.file.Path
import kotlin.system.exitProcess

/**
 * What a check of settings says.
 *
 * @property text one line.
 * @property exitCode exit code of the command.
 */
internal data class SettingsReport(
    val text: String,
    val exitCode: ExitCode?,
)

/** Checks the settings of `run` in [file]; the exit code is null when they can be used. */
internal fun checkSettings(file: Path): SettingsReport =
    when (val outcome = readPlatformSettings(file)) {
        is PlatformSettingsOutcome.Invalid -> SettingsReport(outcome.problem, ExitCode.SETTINGS)
        is PlatformSettingsOutcome.Valid -> {
            val settings = outcome.settings
            val cores = "%.2f cores".format(settings.limits.cores)
            SettingsReport(
                "$file: valid, entry '${settings.entry.id}' in zone '${settings.entry.zoneId}', $cores",
                null,
            )
        }
    }

@OptIn(ExperimentalCli::class)
internal class SettingsCheckCommand :
    Subcommand(
        "settings-check",
        "Check settings of 'run' without starting. Example: verbenagauge settings-check --settings entry-1.toml",
    ) {
    private val settingsFile by option(ArgType.String, "settings", description = "TOML settings file").required()

    override fun execute() {
        val report = checkSettings(Path.of(settingsFile))
        if (report.exitCode == null) return println(report.text)
        System.err.println(report.text)
        exitProcess(report.exitCode.number)
    }
}
