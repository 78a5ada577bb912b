package org.verbenagauge.cli

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive

/** Collects what log lines of any number of processes say of the job [id] and its tasks. */
internal class JobStory(
    private val id: String,
) {
    private class Line(
        val time: String,
        val text: String,
    )

    private val lines = ArrayList<Line>()

    /** Takes in one line of a log; text before the JSON object, such as the name of the process, is passed over. */
    fun read(line: String) {
        if (id !in line) return
        val start = line.indexOf('{')
        if (start < 0) return
        val entry =
            try {
                Json.parseToJsonElement(line.substring(start)).jsonObject
            } catch (e: SerializationException) {
                lines += Line("", "not a log line of this product (${e.message?.lineSequence()?.first()}): $line")
                return
            }
        if (isAbout(entry)) lines += Line(entry.text("time"), describe(entry))
    }

    // An id may be the beginning of another one; the tasks of a job carry its id and a dot.
    private fun isAbout(entry: JsonObject): Boolean {
        val subject = entry["context"]?.jsonObject?.text("subject").orEmpty()
        if (subject == id || subject.startsWith("$id.")) return true
        return Regex("(?<![A-Za-z0-9_-])${Regex.escape(id)}(?![A-Za-z0-9_-])").containsMatchIn(entry.text("message"))
    }

    private fun describe(entry: JsonObject): String {
        val context = entry["context"]?.jsonObject
        val event = "${context?.text("event")} ${context?.text("name")}"
        return "${entry.text("time")} ${context?.text("entry")} $event ${entry.text("message")}"
    }

    private fun JsonObject.text(name: String): String = this[name]?.jsonPrimitive?.content.orEmpty()

    /** Returns the lines by time; lines of one time keep the order in which they were read. */
    fun inOrder(): List<String> = lines.sortedBy { it.time }.map { it.text }
}
