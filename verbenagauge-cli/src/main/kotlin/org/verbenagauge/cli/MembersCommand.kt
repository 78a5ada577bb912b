package org.verbenagauge.cli

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.required
import kotlinx.coroutines.runBlocking
import org.verbenagauge.entry.clock.systemClock
import org.verbenagauge.entry.model.PeerId
import org.verbenagauge.entry.state.control.Membership
import org.verbenagauge.entry.state.control.MembershipEdit
import org.verbenagauge.entry.state.control.RemoveCause
import org.verbenagauge.entry.state.log.ChangeLog
import org.verbenagauge.entry.state.log.ProposeOutcome
import org.verbenagauge.entry.state.log.changeLog
import org.verbenagauge.entry.state.store.ReadOutcome
import org.verbenagauge.entry.state.store.httpPlatform
import java.util.UUID
import kotlin.system.exitProcess

private const val TIMEOUT_MILLIS = 5_000L

@OptIn(ExperimentalCli::class)
internal class MembersCommand : Subcommand("members", "List the members, or say that the process of one has ended.") {
    private val platform by option(ArgType.String, "platform", description = "Address of the platform").required()
    private val stopped by option(
        ArgType.String,
        "stopped",
        description = "Entry whose process has ended for sure, as ENTRY:INCARNATION",
    )
    private val author by option(ArgType.String, "author", description = "Your name, for the audit trail")

    override fun execute() {
        val problem =
            runBlocking { run(changeLog(httpPlatform(platform, TIMEOUT_MILLIS).table, systemClock())) } ?: return
        System.err.println(problem)
        exitProcess(ExitCode.UNAVAILABLE.number)
    }

    private suspend fun run(changes: ChangeLog): String? {
        val read = changes.check()
        if (read is ReadOutcome.Unavailable) return "the table service at $platform does not answer: ${read.cause}"
        val ended = stopped ?: return null.also { print(changes.state.value.membership) }
        val id = parse(ended) ?: return "--stopped '$ended': write ENTRY:INCARNATION as the list shows it"
        val operator = author ?: return "--author: write your name, for the audit trail"
        val edit = MembershipEdit.Remove(id, RemoveCause.STOPPED, acceptedVersion = 0)
        val version = changes.state.value.version
        return when (val outcome = changes.propose(version, edit, operator, UUID.randomUUID().toString())) {
            is ProposeOutcome.Stored -> null.also { println("stored as version ${outcome.version}") }
            else -> "not stored: $outcome"
        }
    }

    private fun print(membership: Membership) {
        membership.members.forEach { println("member ${name(it.id)} at ${it.host}:${it.port} in ${it.zoneId}") }
        val past = membership.past.flatMap { it.ids }.toSet() - membership.ids - membership.stopped.toSet()
        past.forEach { println("past   ${name(it)}, may still run") }
    }

    private fun name(id: PeerId) = "${id.entryId}:${id.incarnation}"

    private fun parse(text: String): PeerId? {
        val incarnation = text.substringAfterLast(':', "").toLongOrNull() ?: return null
        return PeerId(text.substringBeforeLast(':'), incarnation)
    }
}
