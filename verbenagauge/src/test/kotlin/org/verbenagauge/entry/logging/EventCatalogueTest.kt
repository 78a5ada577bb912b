package org.verbenagauge.entry.logging

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import java.nio.file.Files
import java.nio.file.Path

private val docs = Path.of("..", "docs")

class EventCatalogueTest :
    FunSpec({
        context("docs/EVENTS.md has a row for") {
            val text = Files.readString(docs.resolve("EVENTS.md"))
            withData(nameFn = { it.name }, Event.entries) { event ->
                text shouldContain "| ${event.number} | ${event.name} | ${event.level.name().lowercase()} |"
            }
        }

        test("docs/OPERATIONS.md names only events that exist, by their number") {
            val text = Files.readString(docs.resolve("OPERATIONS.md"))
            val known = Event.entries.associate { it.number.toString() to it.name }
            Regex("^ {7}(\\d{4}) ([A-Z_]+) ", RegexOption.MULTILINE).findAll(text).forEach { line ->
                known[line.groupValues[1]] shouldBe line.groupValues[2]
            }
        }

        test("numbers of events are unique") {
            Event.entries
                .map { it.number }
                .toSet()
                .size shouldBe Event.entries.size
        }
    })
