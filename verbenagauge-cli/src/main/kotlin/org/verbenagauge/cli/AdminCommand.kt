package org.verbenagauge.cli

import io.ktor.http.HttpMethod
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.KSerializer
import kotlinx.serialization.builtins.ListSerializer
import org.verbenagauge.entry.operator.AcceptedView
import org.verbenagauge.entry.operator.DocumentView
import org.verbenagauge.entry.operator.Problem
import org.verbenagauge.entry.operator.adminJson
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import kotlin.system.exitProcess

/** Environment variable with the address of an operator listener. */
internal const val ENTRY_VARIABLE = "VERBENAGAUGE_ENTRY"

/** Environment variable with the operator key. */
internal const val KEY_VARIABLE = "VERBENAGAUGE_KEY"

/** Form of what a command prints. */
internal enum class OutputFormat {
    TEXT,
    JSON,
}

/** Group of commands, such as `config`. */
@OptIn(ExperimentalCli::class)
internal class CommandGroup(
    name: String,
    description: String,
    private vararg val commands: Subcommand,
) : Subcommand(name, description) {
    init {
        subcommands(*commands)
    }

    /** Prints the help of the command [name] of this group; returns when there is none. */
    fun printHelpOf(name: String) {
        val command = commands.firstOrNull { it.name == name } ?: return
        println(command.actionDescription)
        command.parse(arrayOf("--help"))
    }

    override fun execute() = Unit
}

/** Command that prints text or JSON and ends with an exit code. */
@OptIn(ExperimentalCli::class)
internal abstract class PrintingCommand(
    name: String,
    description: String,
) : Subcommand(name, description) {
    protected val output by option(ArgType.Choice<OutputFormat>(), "output", description = "Form of the output")
        .default(OutputFormat.TEXT)

    final override fun execute() {
        val exitCode = runBlocking { carryOut() }
        System.out.flush()
        exitProcess(exitCode.number)
    }

    protected abstract suspend fun carryOut(): ExitCode

    protected fun <T> print(
        serializer: KSerializer<T>,
        value: T,
        text: () -> String,
    ) {
        if (output == OutputFormat.JSON) println(adminJson.encodeToString(serializer, value)) else println(text())
    }

    protected fun <T> printAll(
        serializer: KSerializer<T>,
        values: List<T>,
        text: (T) -> String,
    ) {
        print(ListSerializer(serializer), values) { values.joinToString("\n", transform = text) }
    }

    protected fun fail(
        message: String,
        exitCode: ExitCode,
    ): ExitCode {
        System.err.println(message)
        return exitCode
    }
}

/** Command that speaks to the administration API. */
@OptIn(ExperimentalCli::class)
internal abstract class AdminCommand(
    name: String,
    description: String,
) : PrintingCommand(name, description) {
    private val entry by option(
        ArgType.String,
        "entry",
        description = "Address of an operator listener, as http://IP:PORT; else from $ENTRY_VARIABLE",
    )
    private val keyFile by option(
        ArgType.String,
        "key-file",
        description = "File with the operator key; else the key from $KEY_VARIABLE",
    )

    final override suspend fun carryOut(): ExitCode {
        val address = entry ?: System.getenv(ENTRY_VARIABLE)
        val key = keyFile?.let(::readKey) ?: System.getenv(KEY_VARIABLE)
        return when {
            address == null -> fail("name an entry instance with --entry or $ENTRY_VARIABLE", ExitCode.USAGE)
            key == null -> fail("give the operator key with --key-file or $KEY_VARIABLE", ExitCode.USAGE)
            else -> carryOut(AdminClient(address.removeSuffix("/"), key))
        }
    }

    protected abstract suspend fun carryOut(client: AdminClient): ExitCode

    /** Hands the body of [answer] to [done], or prints why there is none. */
    protected suspend fun <T> ifDone(
        answer: AdminAnswer,
        serializer: KSerializer<T>,
        done: suspend (T) -> ExitCode,
    ): ExitCode =
        when (answer) {
            is AdminAnswer.Done -> done(adminJson.decodeFromString(serializer, answer.body))
            is AdminAnswer.Silent -> fail(answer.cause, answer.exitCode)
            is AdminAnswer.Refused -> {
                printProblem(answer.problem)
                answer.exitCode
            }
        }

    /** Reads the document and asks for a change on condition that it is still the same. */
    protected suspend fun changeDocument(
        client: AdminClient,
        request: (DocumentView) -> DocumentRequest,
    ): ExitCode =
        ifDone(client.get("document"), DocumentView.serializer()) { view ->
            val asked = request(view)
            accept(client.change(asked.method, asked.path, asked.body, "\"${view.version}\""))
        }

    protected suspend fun accept(answer: AdminAnswer): ExitCode =
        ifDone(answer, AcceptedView.serializer()) {
            print(AcceptedView.serializer(), it) { "accepted as version ${it.version}" }
            ExitCode.OK
        }

    private fun printProblem(problem: Problem) {
        if (output == OutputFormat.JSON) {
            System.err.println(adminJson.encodeToString(Problem.serializer(), problem))
            return
        }
        System.err.println(listOfNotNull(problem.title, problem.detail).joinToString(" "))
        problem.errors.drop(1).forEach { System.err.println("  ${it.field}: ${it.message}") }
        problem.changes.forEach { System.err.println("  in between: ${changeLine(it)}") }
    }

    private fun readKey(file: String): String? =
        try {
            Files.readString(Path.of(file)).trim()
        } catch (e: IOException) {
            System.err.println("$file: cannot be read: ${e.message}")
            null
        }
}

/**
 * Change of the document that a command asks for.
 *
 * @property path path below `/v1/admin`.
 * @property body JSON, or null.
 */
internal class DocumentRequest(
    val method: HttpMethod,
    val path: String,
    val body: String? = null,
)
