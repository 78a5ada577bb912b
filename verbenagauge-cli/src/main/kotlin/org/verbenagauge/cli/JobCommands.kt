package org.verbenagauge.cli

import io.ktor.http.HttpMethod
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.optional
import kotlinx.cli.required
import kotlinx.cli.vararg
import kotlinx.serialization.builtins.serializer
import org.verbenagauge.entry.jobs.front.JobCallAnswer
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** Environment variable with the key of a team. */
internal const val TEAM_KEY_VARIABLE = "VERBENAGAUGE_TEAM_KEY"

/** Environment variable with the address of a caller listener. */
internal const val CALLER_VARIABLE = "VERBENAGAUGE_CALLER"

internal fun jobCommands() =
    CommandGroup(
        "job",
        "Jobs. Example: verbenagauge job show --queue tallies --id lot-17",
        JobSubmitCommand(),
        JobShowCommand(),
        JobCancelCommand(),
        JobExplainCommand(),
    )

internal fun queueCommands() =
    CommandGroup("queue", "Queues of jobs. Example: verbenagauge queue show --queue tallies", QueueShowCommand())

/** Command that calls the interface for jobs. */
@OptIn(ExperimentalCli::class)
internal abstract class JobCallCommand(
    name: String,
    description: String,
) : PrintingCommand(name, description) {
    private val caller by option(
        ArgType.String,
        "caller",
        description = "Address of a caller listener, as http://IP:PORT; else from $CALLER_VARIABLE",
    )
    protected val queue by option(ArgType.String, "queue", description = "Queue").required()

    final override suspend fun carryOut(): ExitCode {
        val address =
            caller ?: System.getenv(CALLER_VARIABLE)
                ?: return fail("no address: give --caller http://IP:PORT or set $CALLER_VARIABLE", ExitCode.USAGE)
        return when (val outcome = call(JobClient(address, System.getenv(TEAM_KEY_VARIABLE)))) {
            is JobCallOutcome.Failed -> fail(outcome.cause, outcome.exitCode)
            is JobCallOutcome.Done -> {
                print(JobCallAnswer.serializer(), outcome.answer) { text(outcome.answer) }
                ExitCode.OK
            }
        }
    }

    protected abstract suspend fun call(client: JobClient): JobCallOutcome

    protected abstract fun text(answer: JobCallAnswer): String
}

@OptIn(ExperimentalCli::class)
internal class JobSubmitCommand :
    JobCallCommand(
        "submit",
        "Hand a job in; the same id is one job however often it is sent. " +
            "Example: verbenagauge job submit --queue tallies --id lot-17 --file lot-17.json",
    ) {
    private val id by option(ArgType.String, "id", description = "Id of the job").required()
    private val file by option(ArgType.String, "file", description = "JSON file with the job").required()

    override suspend fun call(client: JobClient): JobCallOutcome {
        val text =
            try {
                Files.readString(Path.of(file))
            } catch (e: IOException) {
                return JobCallOutcome.Failed("$file: cannot be read: ${e.message}", ExitCode.SETTINGS)
            }
        return client.call(HttpMethod.Put, "$queue/$id", text)
    }

    override fun text(answer: JobCallAnswer): String = "accepted"
}

@OptIn(ExperimentalCli::class)
internal class JobShowCommand :
    JobCallCommand("show", "Tell the state of a job. Example: verbenagauge job show --queue tallies --id lot-17") {
    private val id by option(ArgType.String, "id", description = "Id of the job").required()

    override suspend fun call(client: JobClient): JobCallOutcome = client.call(HttpMethod.Get, "$queue/$id")

    override fun text(answer: JobCallAnswer): String = answer.state.orEmpty()
}

@OptIn(ExperimentalCli::class)
internal class JobCancelCommand :
    JobCallCommand("cancel", "Cancel a job. Example: verbenagauge job cancel --queue tallies --id lot-17") {
    private val id by option(ArgType.String, "id", description = "Id of the job").required()

    override suspend fun call(client: JobClient): JobCallOutcome = client.call(HttpMethod.Delete, "$queue/$id")

    override fun text(answer: JobCallAnswer): String = "cancelled"
}

@OptIn(ExperimentalCli::class)
internal class QueueShowCommand :
    JobCallCommand("show", "Tell how many jobs wait. Example: verbenagauge queue show --queue tallies --output json") {
    override suspend fun call(client: JobClient): JobCallOutcome = client.call(HttpMethod.Get, queue)

    override fun text(answer: JobCallAnswer): String = "${answer.pending} jobs wait for their first task"
}

@OptIn(ExperimentalCli::class)
internal class JobExplainCommand :
    PrintingCommand(
        "explain",
        "Print what the logs of all entries say of one job, in order. " +
            "Example: verbenagauge job explain --id lot-17 entry-*.log",
    ) {
    private val id by option(ArgType.String, "id", description = "Id of the job").required()
    private val files by argument(ArgType.String, "files", "Log files; standard input when none is named")
        .vararg()
        .optional()

    override suspend fun carryOut(): ExitCode {
        val story = JobStory(id)
        try {
            if (files.isEmpty()) System.`in`.bufferedReader().forEachLine(story::read)
            files.forEach { file -> Files.newBufferedReader(Path.of(file)).use { it.forEachLine(story::read) } }
        } catch (e: IOException) {
            return fail("${e.message}: cannot be read", ExitCode.SETTINGS)
        }
        val lines = story.inOrder()
        if (lines.isEmpty()) return fail("no line of the logs is about '$id'", ExitCode.INVALID)
        printAll(String.serializer(), lines) { it }
        return ExitCode.OK
    }
}
