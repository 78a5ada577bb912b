package org.verbenagauge.entry.settings

import java.io.IOException
import java.nio.file.Path

internal const val MAX_PORT = 65_535
private const val MIN_SESSION_SECRET_CHARS = 32
private val hashPattern = Regex("[0-9a-f]{64}")

/** Reads and checks the settings in [file]. */
public fun readSettings(file: Path): SettingsOutcome =
    try {
        parseSettings(readSettingsText(file), file.toString())
    } catch (e: IOException) {
        SettingsOutcome.Invalid("$file: cannot be read: ${e.message}")
    }

/** Reads and checks settings from [text]; [fileName] is used in messages. */
public fun parseSettings(
    text: String,
    fileName: String,
): SettingsOutcome {
    val settings =
        when (val read = readToml(text, EntrySettings.serializer())) {
            is TomlOutcome.Problem -> return SettingsOutcome.Invalid("$fileName: ${read.text}")
            is TomlOutcome.Read -> read.value
        }
    val valueProblem = firstProblem(settings) ?: return SettingsOutcome.Valid(settings)
    return SettingsOutcome.Invalid("$fileName: $valueProblem")
}

private fun firstProblem(settings: EntrySettings): String? =
    listOfNotNull(
        "entry.id: write a name that is unique over the fleet".takeIf { settings.entry.id.isBlank() },
        "entry.count: write a number of at least 1".takeIf { settings.entry.count < 1 },
        "entry.index: write a number from 0 to entry.count - 1"
            .takeIf { settings.entry.index !in 0 until settings.entry.count },
        portProblem("caller.port", settings.caller.port),
        portProblem("operator.port", settings.operator.port),
        atLeastOne("platform.timeoutMillis", settings.platform.timeoutMillis),
        atLeastOne("platform.pollMillis", settings.platform.pollMillis),
        atLeastOne("limits.maxBodyBytes", settings.limits.maxBodyBytes),
        atLeastOne("limits.maxHeaderBytes", settings.limits.maxHeaderBytes.toLong()),
        atLeastOne("limits.maxAnswerBytes", settings.limits.maxAnswerBytes),
        atLeastOne("limits.maxJobs", settings.limits.maxJobs.toLong()),
        atLeastOne("limits.maxQueuedPerPool", settings.limits.maxQueuedPerPool.toLong()),
        atLeastOne("limits.connectTimeoutMillis", settings.limits.connectTimeoutMillis),
        atLeastOne("limits.staleAfterMillis", settings.limits.staleAfterMillis),
        atLeastOne("limits.stopTimeoutMillis", settings.limits.stopTimeoutMillis),
        settings.peers?.let(::peerProblem),
        administrationProblem(settings.administration),
        fleetProblem(settings.fleet),
    ).firstOrNull()

private fun portProblem(
    field: String,
    port: Int,
): String? = "$field: write a port from 0 to $MAX_PORT".takeIf { port !in 0..MAX_PORT }

private fun atLeastOne(
    field: String,
    value: Long,
): String? = "$field: write a number of at least 1".takeIf { value < 1 }

private fun administrationProblem(administration: AdministrationSettings): String? =
    when {
        administration.bootstrapKeySha256.isNotEmpty() && !hashPattern.matches(administration.bootstrapKeySha256) ->
            "administration.bootstrapKeySha256: write 64 hexadecimal digits in lower case"
        administration.sessionSecret.length in 1 until MIN_SESSION_SECRET_CHARS ->
            "administration.sessionSecret: write at least $MIN_SESSION_SECRET_CHARS characters"
        else -> null
    }

private fun fleetProblem(fleet: FleetSettings): String? =
    listOfNotNull(
        atLeastOne("fleet.tickMillis", fleet.tickMillis),
        atLeastOne("fleet.drainMarginMillis", fleet.drainMarginMillis),
        atLeastOne("fleet.healthyMillis", fleet.healthyMillis),
        atLeastOne("fleet.maxListAgeMillis", fleet.maxListAgeMillis),
        atLeastOne("fleet.takeoverMillis", fleet.takeoverMillis),
        atLeastOne("fleet.urgentMemoryMillis", fleet.urgentMemoryMillis),
        atLeastOne("fleet.urgentPatienceMillis", fleet.urgentPatienceMillis),
        atLeastOne("fleet.resumeMillis", fleet.resumeMillis),
    ).firstOrNull()
