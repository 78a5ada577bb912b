package org.verbenagauge.cli

import io.ktor.http.HttpMethod
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.default
import kotlinx.cli.required
import org.verbenagauge.entry.operator.AuditView
import org.verbenagauge.entry.operator.ChangeView
import org.verbenagauge.entry.operator.StatusView
import org.verbenagauge.entry.operator.WaveCommandRequest
import org.verbenagauge.entry.operator.WaveView
import org.verbenagauge.entry.operator.adminJson
import org.verbenagauge.entry.operator.auditProblems
import org.verbenagauge.entry.state.document.Wave
import org.verbenagauge.entry.state.document.WaveCommand
import java.time.Instant

private const val AUDIT_PAGE = 500

internal fun waveCommands() =
    CommandGroup(
        "wave",
        "Maintenance waves. Example: verbenagauge wave status",
        WaveStartCommand(),
        WaveOrderCommand("pause", "Take no further instance out", WaveCommand.PAUSE),
        WaveOrderCommand("resume", "Let a paused wave go on", WaveCommand.RUN),
        WaveOrderCommand("cancel", "End a wave; instances that still drain go back", WaveCommand.CANCEL),
        WaveStatusCommand(),
    )

@OptIn(ExperimentalCli::class)
internal class WaveStartCommand :
    AdminCommand("start", "Start a wave. Example: verbenagauge wave start --id march --pools inspection,ledger") {
    private val id by option(ArgType.String, "id", description = "Name of the wave").required()
    private val pools by option(ArgType.String, "pools", description = "Pools, with commas; else all").default("")

    override suspend fun carryOut(client: AdminClient): ExitCode =
        changeDocument(client) {
            val wave = Wave(id, poolIds = pools.split(',').filter(String::isNotBlank))
            DocumentRequest(HttpMethod.Put, "waves/$id", adminJson.encodeToString(Wave.serializer(), wave))
        }
}

@OptIn(ExperimentalCli::class)
internal class WaveOrderCommand(
    name: String,
    what: String,
    private val command: WaveCommand,
) : AdminCommand(name, "$what. Example: verbenagauge wave $name --id march") {
    private val id by option(ArgType.String, "id", description = "Name of the wave").required()

    override suspend fun carryOut(client: AdminClient): ExitCode {
        val body = adminJson.encodeToString(WaveCommandRequest.serializer(), WaveCommandRequest(command))
        return accept(client.change(HttpMethod.Put, "waves/$id/command", body, "*"))
    }
}

internal class WaveStatusCommand : AdminCommand("status", "Print every wave. Example: verbenagauge wave status") {
    override suspend fun carryOut(client: AdminClient): ExitCode =
        ifDone(client.get("status"), StatusView.serializer()) { status ->
            printAll(WaveView.serializer(), status.waves, ::waveText)
            ExitCode.OK
        }
}

internal class StatusCommand :
    AdminCommand("status", "Print the state of the fleet. Example: verbenagauge status --output json") {
    override suspend fun carryOut(client: AdminClient): ExitCode =
        ifDone(client.get("status"), StatusView.serializer()) { status ->
            print(StatusView.serializer(), status) { statusText(status) }
            ExitCode.OK
        }
}

@OptIn(ExperimentalCli::class)
internal class AuditCommand :
    AdminCommand(
        "audit",
        "Print the changes after a version and verify their chain; ends with 9 when it is broken. " +
            "Example: verbenagauge audit --after 100",
    ) {
    private val after by option(ArgType.Int, "after", description = "Version after which to begin").default(0)

    override suspend fun carryOut(client: AdminClient): ExitCode {
        val changes = mutableListOf<ChangeView>()
        while (true) {
            val from = changes.lastOrNull()?.version ?: after.toLong()
            val before = changes.size
            val exitCode =
                ifDone(client.get("audit?after=$from&limit=$AUDIT_PAGE"), AuditView.serializer()) { page ->
                    changes += page.changes
                    ExitCode.OK
                }
            if (exitCode != ExitCode.OK) return exitCode
            if (changes.size == before) break
        }
        printAll(ChangeView.serializer(), changes, ::changeLine)
        val problems = auditProblems(changes, after.toLong())
        problems.forEach(System.err::println)
        return if (problems.isEmpty()) ExitCode.OK else ExitCode.DAMAGED
    }
}

/** Returns one line that tells who changed what and when. */
internal fun changeLine(change: ChangeView): String {
    val inForce = change.inForceAtWallMillis?.let { "in force ${Instant.ofEpochMilli(it)}" } ?: "not seen in force yet"
    return "${change.version} ${Instant.ofEpochMilli(change.acceptedAtWallMillis)} ${change.author} ${change.kind} " +
        "($inForce) ${change.edit}"
}

private fun waveText(wave: WaveView): String {
    val hold = wave.hold?.let { ", held: $it" }.orEmpty()
    val command = wave.command.name.lowercase()
    return "wave ${wave.id}: $command, ${wave.finished} of ${wave.total} done, ${wave.out} out$hold"
}

private fun statusText(status: StatusView): String =
    buildString {
        appendLine(
            "entry ${status.entryId} holds version ${status.version}, document ${status.documentVersion}, " +
                "in force everywhere ${status.inForceVersion}",
        )
        status.entries.forEach { appendLine("entry ${it.id} in ${it.zoneId} of ${it.regionId}") }
        status.pools.forEach {
            appendLine("pool ${it.id}: ${it.instances} instances, ${it.away} away of at most ${it.maxAway}")
        }
        status.waves.forEach { appendLine(waveText(it)) }
        status.teams.forEach {
            appendLine(
                "team %s: limit %d, share %d, last minute here: %d requests, %.1f running, %.0f%% of %.0f%%".format(
                    it.id,
                    it.maxRunning,
                    it.shareWeight,
                    it.answered,
                    it.meanRunning,
                    it.usedPart * PERCENT,
                    it.entitledPart * PERCENT,
                ),
            )
        }
    }.trimEnd()

private const val PERCENT = 100
