package org.verbenagauge.entry.operator

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import org.verbenagauge.entry.state.document.Configuration
import org.verbenagauge.entry.state.document.changeJson

/** Returns every field that differs between [before] and [after]; things with names are matched by name. */
public fun documentDifference(
    before: Configuration,
    after: Configuration,
): List<FieldDifference> = buildList { compare("", tree(before), tree(after)) }

private fun tree(configuration: Configuration) =
    changeJson.encodeToJsonElement(Configuration.serializer(), configuration)

private fun MutableList<FieldDifference>.compare(
    path: String,
    before: JsonElement?,
    after: JsonElement?,
) {
    if (before == after) return
    when {
        isObject(before, after) -> compareFields(path, before as? JsonObject, after as? JsonObject)
        isNamedList(before) || isNamedList(after) -> compareNamed(path, before as? JsonArray, after as? JsonArray)
        else -> add(FieldDifference(path, text(before), text(after)))
    }
}

private fun isObject(
    before: JsonElement?,
    after: JsonElement?,
) = (before is JsonObject || after is JsonObject) &&
    (before == null || before is JsonObject) &&
    (after == null || after is JsonObject)

private fun isNamedList(element: JsonElement?) = element is JsonArray && element.any { idOf(it) != null }

private fun idOf(element: JsonElement) = ((element as? JsonObject)?.get("id") as? JsonPrimitive)?.contentOrNull

private fun MutableList<FieldDifference>.compareFields(
    path: String,
    before: JsonObject?,
    after: JsonObject?,
) {
    val names = before?.keys.orEmpty() + after?.keys.orEmpty()
    names.forEach { name ->
        val fieldPath = if (path.isEmpty()) name else "$path.$name"
        compare(fieldPath, before?.get(name), after?.get(name))
    }
}

private fun MutableList<FieldDifference>.compareNamed(
    path: String,
    before: JsonArray?,
    after: JsonArray?,
) {
    val beforeById = before.orEmpty().associateBy { idOf(it).orEmpty() }
    val afterById = after.orEmpty().associateBy { idOf(it).orEmpty() }
    (beforeById.keys + afterById.keys).forEach { id -> compare("$path['$id']", beforeById[id], afterById[id]) }
}

private fun text(element: JsonElement?): String? =
    when (element) {
        null, JsonNull -> null
        is JsonPrimitive -> element.content
        else -> element.toString()
    }
