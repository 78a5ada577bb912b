package org.verbenagauge.entry.settings

import com.akuleshov7.ktoml.tree.nodes.TomlFile
import com.akuleshov7.ktoml.tree.nodes.TomlKeyValueArray
import com.akuleshov7.ktoml.tree.nodes.TomlKeyValuePrimitive
import com.akuleshov7.ktoml.tree.nodes.TomlNode
import com.akuleshov7.ktoml.tree.nodes.TomlStubEmptyNode
import com.akuleshov7.ktoml.tree.nodes.TomlTable
import com.akuleshov7.ktoml.tree.nodes.pairs.values.TomlArray
import com.akuleshov7.ktoml.tree.nodes.pairs.values.TomlBasicString
import com.akuleshov7.ktoml.tree.nodes.pairs.values.TomlBoolean
import com.akuleshov7.ktoml.tree.nodes.pairs.values.TomlLiteralString
import com.akuleshov7.ktoml.tree.nodes.pairs.values.TomlLong
import com.akuleshov7.ktoml.tree.nodes.pairs.values.TomlValue
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.descriptors.elementNames

/** Returns the first field of [file] that does not fit [descriptor], with what to write; null when all fit. */
internal fun shapeProblem(
    file: TomlFile,
    descriptor: SerialDescriptor,
): String? = tableProblem(file, descriptor, path = "")

private fun tableProblem(
    table: TomlNode,
    descriptor: SerialDescriptor,
    path: String,
): String? {
    val children = table.children.filter { it !is TomlStubEmptyNode }
    val names = children.map { it.name.trim('"', '\'') }
    val repeated =
        names
            .groupingBy { it }
            .eachCount()
            .entries
            .firstOrNull { it.value > 1 }
    if (repeated != null) return "$path${repeated.key}: stands more than once; keep one"
    children.zip(names).forEach { (child, name) ->
        val problem = childProblem(child, name, descriptor, path)
        if (problem != null) return problem
    }
    return missingProblem(names, descriptor, path)
}

private fun childProblem(
    child: TomlNode,
    name: String,
    descriptor: SerialDescriptor,
    path: String,
): String? {
    val index = descriptor.getElementIndex(name)
    if (index < 0) return unknownProblem(name, descriptor, path)
    val element = descriptor.getElementDescriptor(index)
    return when {
        element.kind == StructureKind.CLASS && child is TomlTable -> tableProblem(child, element, "$path$name.")
        element.kind == StructureKind.CLASS -> "$path$name: write a table, [$path$name]"
        child is TomlKeyValuePrimitive -> valueProblem(child.value, element, path, name)
        child is TomlKeyValueArray -> valueProblem(child.value, element, path, name)
        else -> "$path$name: write ${expected(name, element)}"
    }
}

private fun unknownProblem(
    name: String,
    descriptor: SerialDescriptor,
    path: String,
): String {
    val similar = descriptor.elementNames.firstOrNull { withoutUnit(it).equals(withoutUnit(name), ignoreCase = true) }
    if (similar == null) {
        return "$path$name: does not exist; write one of ${descriptor.elementNames.joinToString()}"
    }
    val element = descriptor.getElementDescriptor(descriptor.getElementIndex(similar))
    return "$path$name: does not exist; write $similar, ${expected(similar, element)}"
}

private fun valueProblem(
    value: TomlValue,
    element: SerialDescriptor,
    path: String,
    name: String,
): String? {
    val fits =
        when (element.kind) {
            PrimitiveKind.STRING -> value is TomlBasicString || value is TomlLiteralString
            PrimitiveKind.BOOLEAN -> value is TomlBoolean
            PrimitiveKind.LONG -> value is TomlLong
            PrimitiveKind.INT -> value is TomlLong && (value.content as Long) in Int.MIN_VALUE..Int.MAX_VALUE
            StructureKind.LIST -> value is TomlArray
            else -> true
        }
    return if (fits) null else "$path$name: write ${expected(name, element)}, not ${shown(value)}"
}

private fun missingProblem(
    names: List<String>,
    descriptor: SerialDescriptor,
    path: String,
): String? {
    val missing =
        (0 until descriptor.elementsCount).firstOrNull {
            !descriptor.isElementOptional(it) && descriptor.getElementName(it) !in names
        } ?: return null
    val name = descriptor.getElementName(missing)
    val element = descriptor.getElementDescriptor(missing)
    if (element.kind == StructureKind.CLASS) return "$path$name: is missing; write the table [$path$name]"
    return "$path$name: is missing; write ${expected(name, element)}"
}

private fun expected(
    name: String,
    element: SerialDescriptor,
): String =
    when (element.kind) {
        PrimitiveKind.STRING -> "a text in quotes"
        PrimitiveKind.BOOLEAN -> "true or false"
        PrimitiveKind.INT, PrimitiveKind.LONG -> expectedNumber(name)
        StructureKind.LIST -> "a list in square brackets"
        StructureKind.CLASS -> "a table"
        else -> "a value of ${element.serialName}"
    }

private fun expectedNumber(name: String): String {
    val unit = units.firstOrNull { name.endsWith(it.suffix) } ?: return "a whole number"
    return "a whole number of ${unit.text}"
}

private fun withoutUnit(name: String): String {
    val unit = units.firstOrNull { name.endsWith(it.suffix) } ?: return name
    return name.removeSuffix(unit.suffix)
}

private fun shown(value: TomlValue): String =
    when (value) {
        is TomlBasicString, is TomlLiteralString -> "the text '${value.content.toString().take(SHOWN_CHARS)}'"
        is TomlArray -> "a list"
        else -> value.content.toString().take(SHOWN_CHARS)
    }

private class SettingsUnit(
    val suffix: String,
    val text: String,
)

private const val SHOWN_CHARS = 40

// The longest suffix that matches comes first.
private val units =
    listOf(
        SettingsUnit("Millis", "milliseconds"),
        SettingsUnit("Seconds", "seconds"),
        SettingsUnit("Minutes", "minutes"),
        SettingsUnit("KiloBytes", "kilobytes"),
        SettingsUnit("MegaBytes", "megabytes"),
        SettingsUnit("Bytes", "bytes"),
    )
