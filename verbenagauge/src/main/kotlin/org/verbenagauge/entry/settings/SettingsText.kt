package org.verbenagauge.entry.settings

import com.akuleshov7.ktoml.Toml
import com.akuleshov7.ktoml.TomlInputConfig
import com.akuleshov7.ktoml.parsers.TomlParser
import kotlinx.serialization.KSerializer
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

private const val MAX_BYTES = 65_536
private const val MAX_DEPTH = 8

/** Reads the text of the settings in [file]; throws an [IOException] when it is no text or longer than settings are. */
internal fun readSettingsText(file: Path): String {
    val bytes = Files.newInputStream(file).use { it.readNBytes(MAX_BYTES + 1) }
    if (bytes.size > MAX_BYTES) throw IOException("it has more than $MAX_BYTES bytes")
    return bytes.decodeToString(throwOnInvalidSequence = true)
}

/**
 * Returns what makes [text] too large or too deeply nested to be parsed, or null. The TOML parser takes a frame of the
 * stack for each bracket, and memory that grows with the square of the parts of a key.
 */
private fun textProblem(text: String): String? {
    if (text.length > MAX_BYTES) return "write at most $MAX_BYTES characters"
    var depth = 0
    var parts = 0
    withoutQuotesAndComments(text).forEach { char ->
        when (char) {
            '[', '{' -> depth++
            ']', '}' -> depth = maxOf(0, depth - 1)
            '.' -> parts++
            '\n', ',', '=' -> parts = 0
        }
        if (depth > MAX_DEPTH) return "write lists and tables nested at most $MAX_DEPTH deep"
        if (parts > MAX_DEPTH) return "write keys of at most $MAX_DEPTH parts"
    }
    return null
}

/** Outcome of reading a text as settings of some form. */
internal sealed interface TomlOutcome<out T> {
    class Read<T>(
        val value: T,
    ) : TomlOutcome<T>

    /** [text] names the field and what to write, or says why the text is no TOML. */
    class Problem(
        val text: String,
    ) : TomlOutcome<Nothing>
}

/** Reads [text] as settings of the form that [serializer] describes. */
@Suppress("TooGenericExceptionCaught")
internal fun <T> readToml(
    text: String,
    serializer: KSerializer<T>,
): TomlOutcome<T> {
    textProblem(text)?.let { return TomlOutcome.Problem(it) }
    return try {
        val problem = shapeProblem(TomlParser(inputConfig).parseString(text), serializer.descriptor)
        if (problem == null) TomlOutcome.Read(toml.decodeFromString(serializer, text)) else TomlOutcome.Problem(problem)
    } catch (e: RuntimeException) {
        // The TOML parser reports some malformed input by unchecked exceptions of the language's library.
        TomlOutcome.Problem("is not valid TOML: ${e.message}")
    }
}

private val inputConfig = TomlInputConfig(ignoreUnknownNames = false)
private val toml = Toml(inputConfig = inputConfig)

// Quotes that are not closed in their line hide nothing.
private fun withoutQuotesAndComments(text: String): String = text.replace(quoteOrCommentPattern, "")

private val quoteOrCommentPattern = Regex("\"(?:[^\"\\\\\n]|\\\\.)*+\"|'[^'\n]*+'|#[^\n]*+")
