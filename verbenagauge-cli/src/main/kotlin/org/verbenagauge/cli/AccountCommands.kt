package org.verbenagauge.cli

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.default
import kotlinx.cli.multiple
import org.verbenagauge.entry.account.AccountEvent
import org.verbenagauge.entry.account.AccountReport
import org.verbenagauge.entry.account.AccountStatus
import org.verbenagauge.entry.account.ChainId
import org.verbenagauge.entry.account.OrderedRecord
import org.verbenagauge.entry.account.RecordPlace
import org.verbenagauge.entry.account.SegmentSource
import org.verbenagauge.entry.account.provedOrder
import org.verbenagauge.entry.account.showAccount
import org.verbenagauge.entry.account.verifyAccount
import java.io.IOException
import java.nio.file.Path
import java.time.Instant
import java.time.format.DateTimeParseException

internal fun accountCommands() =
    CommandGroup(
        "account",
        "Who was served and who was refused. Example: verbenagauge account verify --segments copy-of-the-store",
        AccountVerifyCommand(),
        AccountShowCommand(),
        AccountOrderCommand(),
        AccountHeadCommand(),
    )

/** Command that reads segments from a directory or from the platform, without an entry instance. */
@OptIn(ExperimentalCli::class)
internal abstract class SegmentCommand(
    name: String,
    description: String,
) : PrintingCommand(name, description) {
    private val segments by option(
        ArgType.String,
        "segments",
        description = "Directory with a copy of the objects; it holds the folder 'account'",
    )
    private val platform by option(ArgType.String, "platform", description = "Address of the platform")

    final override suspend fun carryOut(): ExitCode {
        val directory = segments
        val url = platform
        val source =
            when {
                directory != null -> directorySegments(Path.of(directory))
                url != null -> platformSegments(url)
                else -> return fail("name the segments with --segments or --platform", ExitCode.USAGE)
            }
        return try {
            carryOut(source)
        } catch (e: IOException) {
            fail("the segments cannot be read: ${e.message}", ExitCode.UNAVAILABLE)
        }
    }

    protected abstract suspend fun carryOut(source: SegmentSource): ExitCode
}

@OptIn(ExperimentalCli::class)
internal class AccountVerifyCommand :
    SegmentCommand(
        "verify",
        "Verify the account; ends with 9 when it is damaged. Example: verbenagauge account verify --segments copy",
    ) {
    private val heads by option(
        ArgType.String,
        "head",
        description = "Head kept elsewhere, as 'account head' prints it; may be given more than once",
    ).multiple()

    override suspend fun carryOut(source: SegmentSource): ExitCode {
        val known = heads.map { parseHead(it) ?: return fail("'$it' is not CHAIN:SEQUENCE:HASH", ExitCode.USAGE) }
        val report = verifyAccount(source, known, SETTLE_MILLIS)
        print(AccountReport.serializer(), report) { reportText(report) }
        return if (report.findings.isEmpty()) ExitCode.OK else ExitCode.DAMAGED
    }
}

@OptIn(ExperimentalCli::class)
internal class AccountShowCommand :
    SegmentCommand(
        "show",
        "Print requests in order. Example: verbenagauge account show --segments copy --team growers " +
            "--from 2026-03-01T18:00:00Z --to 2026-03-02T06:00:00Z",
    ) {
    private val team by option(ArgType.String, "team", description = "Only this team")
    private val queue by option(ArgType.String, "queue", description = "Only this queue")
    private val from by option(ArgType.String, "from", description = "First time, as 2026-03-01T18:00:00Z")
        .default("1970-01-01T00:00:00Z")
    private val to by option(ArgType.String, "to", description = "First time that no longer counts")
        .default("9999-01-01T00:00:00Z")

    override suspend fun carryOut(source: SegmentSource): ExitCode {
        val fromMillis = millisOf(from) ?: return fail("--from: '$from' is no time", ExitCode.USAGE)
        val toMillis = millisOf(to) ?: return fail("--to: '$to' is no time", ExitCode.USAGE)
        val records =
            showAccount(source) {
                val event = it.event
                it.wallMillis in fromMillis until toMillis &&
                    (team == null || event.teamId == team) &&
                    (queue == null || event.queueId == queue)
            }
        printAll(OrderedRecord.serializer(), records, ::recordText)
        System.err.println(
            "${records.size} requests in the order of their hybrid times; the order of one chain is proved by its " +
                "hashes, the order between two chains rests on their clocks unless 'account order' says that it is proved",
        )
        return ExitCode.OK
    }
}

@OptIn(ExperimentalCli::class)
internal class AccountOrderCommand :
    SegmentCommand(
        "order",
        "Say which of two requests came first, and whether that is proved. Example: verbenagauge account order " +
            "--segments copy --request 1f0c --request 77aa",
    ) {
    private val requests by option(ArgType.String, "request", description = "Request id; give two").multiple()

    override suspend fun carryOut(source: SegmentSource): ExitCode {
        if (requests.size != 2) return fail("name two requests with --request", ExitCode.USAGE)
        val found = showAccount(source) { it.event.requestId in requests }
        if (found.size != 2) return fail("the account holds ${found.size} of these requests", ExitCode.INVALID)
        val (first, second) = found.map { RecordPlace(it.chain, it.sequence) }
        val order = provedOrder(source)
        val claim = "answer to ${found[0].event.requestId} before answer to ${found[1].event.requestId}"
        when {
            order.isBefore(first, second) -> println("$claim: proved by the hashes")
            order.isBefore(second, first) -> println("$claim by the clocks, but the hashes prove the opposite")
            else -> println("$claim by the clocks of the entries alone; the hashes prove neither order")
        }
        return ExitCode.OK
    }
}

internal class AccountHeadCommand :
    AdminCommand(
        "head",
        "Print the head of an entry's chain, to be kept elsewhere. Example: verbenagauge account head >> heads.txt",
    ) {
    override suspend fun carryOut(client: AdminClient): ExitCode =
        ifDone(client.get("account"), AccountStatus.serializer()) { status ->
            print(AccountStatus.serializer(), status) { status.head ?: "no record yet" }
            ExitCode.OK
        }
}

private fun millisOf(text: String): Long? =
    try {
        Instant.parse(text).toEpochMilli()
    } catch (e: DateTimeParseException) {
        null
    }

private fun parseHead(text: String): AccountEvent.PeerHead? {
    val parts = text.split(':')
    if (parts.size != HEAD_PARTS) return null
    val (chain, digits, hash) = parts
    val sequence = digits.toLongOrNull() ?: return null
    return AccountEvent.PeerHead(
        ChainId(chain.substringBeforeLast('-'), chain.substringAfterLast('-')),
        sequence,
        hash,
    )
}

private const val HEAD_PARTS = 3
private const val SETTLE_MILLIS = 30_000L

private fun reportText(report: AccountReport): String =
    buildString {
        report.chains.forEach {
            appendLine(
                "chain ${it.chain}: ${it.records} records, ${it.answered} requests, ${it.counted} only counted, " +
                    "${Instant.ofEpochMilli(it.firstWallMillis)} to ${Instant.ofEpochMilli(it.lastWallMillis)}, " +
                    "witnessed through ${it.witnessedThrough} of ${it.lastSequence}, " +
                    if (it.closed) "closed" else "open",
            )
        }
        report.findings.forEach { appendLine("DAMAGE ${it.place}: ${it.kind.text}: ${it.detail}") }
        appendLine(if (report.findings.isEmpty()) "no damage was found" else "${report.findings.size} findings")
        appendLine("not proved:")
        report.notProved().forEach { appendLine("  $it") }
    }.trimEnd()

private fun recordText(record: OrderedRecord): String {
    val event = record.event
    return "${Instant.ofEpochMilli(record.wallMillis)} ${record.chain}/${record.sequence} " +
        "${event.teamId ?: "-"} ${event.queueId} ${event.verdict} ${event.reason} request ${event.requestId} " +
        "job ${event.jobId ?: "-"} waited ${event.waitedMillis} ms ran ${event.ranMillis} ms " +
        "on ${event.instanceId ?: "-"}"
}
