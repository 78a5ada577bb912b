package org.verbenagauge.cli

import io.ktor.http.HttpMethod
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.required
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.verbenagauge.entry.operator.DocumentView
import org.verbenagauge.entry.operator.FieldDifference
import org.verbenagauge.entry.operator.PreviewView
import org.verbenagauge.entry.operator.adminJson
import org.verbenagauge.entry.state.document.Configuration
import org.verbenagauge.entry.state.document.validate
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

private val readableJson =
    Json {
        encodeDefaults = true
        prettyPrint = true
    }

internal fun configCommands() =
    CommandGroup(
        "config",
        "The document. Example: verbenagauge config show",
        ConfigShowCommand(),
        ConfigCheckCommand(),
        ConfigDiffCommand(),
        ConfigApplyCommand(),
    )

internal class ConfigShowCommand :
    AdminCommand("show", "Print the document in force. Example: verbenagauge config show > document.json") {
    override suspend fun carryOut(client: AdminClient): ExitCode =
        ifDone(client.get("document"), DocumentView.serializer()) { view ->
            System.err.println("version ${view.version}")
            println(readableJson.encodeToString(Configuration.serializer(), view.document))
            ExitCode.OK
        }
}

@OptIn(ExperimentalCli::class)
internal class ConfigCheckCommand :
    PrintingCommand(
        "check",
        "Check a document without an entry instance. Example: verbenagauge config check --file document.json",
    ) {
    private val file by option(ArgType.String, "file", description = "Document as JSON").required()

    override suspend fun carryOut(): ExitCode =
        when (val read = readDocument(file)) {
            is DocumentRead.Unreadable -> fail(read.problem, ExitCode.SETTINGS)
            is DocumentRead.Read -> check(read.document)
        }

    private fun check(document: Configuration): ExitCode {
        val problems = validate(document)
        problems.forEach { System.err.println("$file: $it") }
        if (problems.isNotEmpty()) return ExitCode.INVALID
        println("$file: valid; 'config diff' checks it against the instances in its pools as well")
        return ExitCode.OK
    }
}

@OptIn(ExperimentalCli::class)
internal class ConfigDiffCommand :
    AdminCommand("diff", "Show what a document would change. Example: verbenagauge config diff --file document.json") {
    private val file by option(ArgType.String, "file", description = "Document as JSON").required()

    override suspend fun carryOut(client: AdminClient): ExitCode =
        when (val read = readDocument(file)) {
            is DocumentRead.Unreadable -> fail(read.problem, ExitCode.SETTINGS)
            is DocumentRead.Read ->
                ifDone(client.get("document"), DocumentView.serializer()) { view ->
                    val body = adminJson.encodeToString(Configuration.serializer(), read.document)
                    val answer = client.change(HttpMethod.Put, "document?preview=true", body, "\"${view.version}\"")
                    ifDone(answer, PreviewView.serializer()) { preview ->
                        print(PreviewView.serializer(), preview) { differenceText(preview.difference) }
                        ExitCode.OK
                    }
                }
        }
}

@OptIn(ExperimentalCli::class)
internal class ConfigApplyCommand :
    AdminCommand(
        "apply",
        "Replace the document. Example: verbenagauge config apply --file document.json --if-version 17",
    ) {
    private val file by option(ArgType.String, "file", description = "Document as JSON").required()
    private val ifVersion by option(
        ArgType.String,
        "if-version",
        description = "Version that the file was made from, as 'config show' names it",
    ).required()

    override suspend fun carryOut(client: AdminClient): ExitCode =
        when (val read = readDocument(file)) {
            is DocumentRead.Unreadable -> fail(read.problem, ExitCode.SETTINGS)
            is DocumentRead.Read -> {
                val body = adminJson.encodeToString(Configuration.serializer(), read.document)
                accept(client.change(HttpMethod.Put, "document", body, "\"$ifVersion\""))
            }
        }
}

private sealed interface DocumentRead {
    class Read(
        val document: Configuration,
    ) : DocumentRead

    class Unreadable(
        val problem: String,
    ) : DocumentRead
}

private fun readDocument(file: String): DocumentRead =
    try {
        DocumentRead.Read(adminJson.decodeFromString(Configuration.serializer(), Files.readString(Path.of(file))))
    } catch (e: IOException) {
        DocumentRead.Unreadable("$file: cannot be read: ${e.message}")
    } catch (e: SerializationException) {
        DocumentRead.Unreadable("$file: ${e.message}")
    }

private fun differenceText(difference: List<FieldDifference>): String =
    if (difference.isEmpty()) {
        "no difference"
    } else {
        difference.joinToString("\n") { "${it.path}: ${it.before ?: "(none)"} -> ${it.after ?: "(none)"}" }
    }
