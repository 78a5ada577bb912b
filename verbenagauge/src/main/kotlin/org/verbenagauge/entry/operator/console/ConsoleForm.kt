package org.verbenagauge.entry.operator.console

import org.verbenagauge.entry.operator.FieldProblem
import org.verbenagauge.entry.state.control.ConfigurationEdit
import org.verbenagauge.entry.state.document.Configuration

/**
 * Field of a form; its name is that of the field of the document, so that errors find it.
 *
 * @property name name.
 * @property label what the operator reads.
 * @property choices values to choose from, or empty for free text.
 */
internal data class FormField(
    val name: String,
    val label: String,
    val choices: List<String> = emptyList(),
)

/** What was typed into a form. */
internal class FormValues(
    private val values: Map<String, String>,
) {
    val problems = mutableListOf<FieldProblem>()

    fun text(name: String): String = values[name].orEmpty().trim()

    fun list(name: String): List<String> = text(name).split(',').map { it.trim() }.filter { it.isNotEmpty() }

    fun flag(name: String): Boolean = text(name) == YES

    fun number(
        name: String,
        default: Int = 0,
    ): Int = parsed(name, default) { it.toIntOrNull() }

    fun long(name: String): Long = parsed(name, 0L) { it.toLongOrNull() }

    fun optionalNumber(name: String): Int? = if (text(name).isEmpty()) null else number(name)

    fun <T> choice(
        name: String,
        entries: List<T>,
        textOf: (T) -> String,
    ): T = entries.firstOrNull { textOf(it) == text(name) } ?: entries.first().also { reject(name, "choose a value") }

    private fun <T> parsed(
        name: String,
        default: T,
        parse: (String) -> T?,
    ): T = parse(text(name)) ?: default.also { reject(name, "write a whole number") }

    fun reject(
        name: String,
        message: String,
    ) {
        problems += FieldProblem(name, message)
    }

    companion object {
        const val YES = "yes"
        const val NO = "no"
    }
}

/**
 * One form of the console.
 *
 * @property name name in the path.
 * @property title heading.
 * @property fields fields.
 * @property grantsKey whether accepting it shows a new key once.
 * @property valuesOf what the fields hold for the thing with the given name.
 * @property editOf the edit that the typed values stand for; problems are noted in the values.
 */
internal class ConsoleForm(
    val name: String,
    val title: String,
    val fields: List<FormField>,
    val grantsKey: Boolean = false,
    val valuesOf: (Configuration, String) -> Map<String, String> = { _, id -> mapOf("id" to id) },
    val editOf: (FormValues, newKeySha256Hex: String) -> ConfigurationEdit,
)
